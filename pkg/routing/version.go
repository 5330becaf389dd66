package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// VersionFor chooses a version for a session or request hash by weighted
// rendezvous hashing. The choice depends only on the arguments. When shares
// change, a session moves from version a to b only if b's share grew relative
// to a's; with two versions, raising the share of one moves sessions only to
// that one. Versions whose share is not positive are never chosen. The result is
// empty if no share is positive.
func VersionFor(shares []object.Share, hash uint64) string {
	best, bestScore := "", math.Inf(1)
	for _, s := range shares {
		if !(s.Percent > 0) {
			continue
		}
		// 53 random bits, shifted by half a step so that the logarithm is
		// finite.
		u := (float64(hashPair(hash, xxhash.Sum64String(s.Version))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(u) / s.Percent; score < bestScore {
			best, bestScore = s.Version, score
		}
	}
	return best
}

// SessionHash returns the hash of a session for VersionFor.
func SessionHash(session string) uint64 { return xxhash.Sum64String(session) }
