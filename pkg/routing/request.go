package routing

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Request describes one attempt that needs an upstream.
type Request struct {
	Service string
	// Version restricts the upstreams; empty allows all versions.
	Version  string
	Class    object.RequestClass
	Priority int
	Account  string
	// Blocks are the chained hashes of the prompt's blocks, as BlockHashes
	// returns them. Equal hashes at index i mean equal prompts up to block i.
	Blocks []uint64
	// BlockWork is the work of one block in work units.
	BlockWork float64
	// Work is the work of the whole request without any cached prefix, in
	// work units; values below 1 count as 1.
	Work    float64
	Session string
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// Excluded names upstreams that earlier attempts used.
	Excluded []string
	// DataCentre is the data centre of this daemon.
	DataCentre string
}

func (r *Request) work() float64 {
	if r.Work < 1 {
		return 1
	}
	return r.Work
}

// BlockHashes splits prompt into blocks of blockBytes bytes and returns one
// hash per complete block. Each hash covers the block and the hash before it,
// so it identifies the whole prefix. The scope separates models or versions
// that don't share a cache. blockBytes must be positive.
func BlockHashes(scope string, prompt []byte, blockBytes int) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := xxhash.Sum64String(scope)
	for len(prompt) >= blockBytes {
		previous = ChainHash(previous, prompt[:blockBytes])
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// ChainHash returns the hash of a block that follows the prefix with hash
// previous.
func ChainHash(previous uint64, block []byte) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.Write(block)
	return d.Sum64()
}

// hashPair mixes two hashes into one that ranks a member for a key.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
