package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an upstream or daemon for Subset.
type Member struct {
	Name       string
	DataCentre string
}

// ownDataCentreShare is the part of a subset that is reserved for the daemon's
// own data centre. With the rest, the daemon can still serve requests when all
// instances of that data centre are reclaimed.
const ownDataCentreShare = 0.75

// Subset returns the upstreams that daemon self should use: at most size
// members by rendezvous hash, three quarters from its own data centre as far
// as there are enough. Adding or removing one member changes at most one
// entry. The result is sorted by name; members is not modified.
func Subset(members []Member, self Member, size int) []Member {
	if size >= len(members) {
		size = len(members)
	}
	if size <= 0 {
		return nil
	}
	own, other := rankMembers(members, self)
	n := min(len(own), int(ownDataCentreShare*float64(size)+0.5))
	n = max(n, size-len(other))
	subset := append(slices.Clone(own[:n]), other[:size-n]...)
	slices.SortFunc(subset, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return subset
}

// rankMembers splits members into those of the daemon's own data centre and the
// others, each in descending order of rank.
func rankMembers(members []Member, self Member) (own, other []Member) {
	type ranked struct {
		Member
		rank uint64
	}
	key := xxhash.Sum64String(self.Name)
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, hashPair(key, xxhash.Sum64String(m.Name))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range all {
		if m.DataCentre == self.DataCentre {
			own = append(own, m.Member)
		} else {
			other = append(other, m.Member)
		}
	}
	return own, other
}
