package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// holdersPerBlock is the maximum number of upstreams stored for a block.
	holdersPerBlock = 4
	// hintLifetime is the age after which a hint is ignored. When a cache event
	// is lost, the index isn't told that an engine has reused the memory.
	hintLifetime = 10 * time.Minute
	// DefaultIndexBlocks bounds an index to 12 MB of heap.
	DefaultIndexBlocks = 1 << 16
	// indexStride is the distance between indexed blocks, in blocks. A hint
	// needs no finer resolution, and indexing every block took half of the time
	// of a pick.
	indexStride = 4
)

// PrefixIndex stores which upstreams probably hold which prompt blocks in their
// cache. It is updated from picks, replies and cache events. Any of these may be
// late or missing, so an entry is only a hint.
type PrefixIndex struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, *blockHolders]
}

// blockHolders are the hints for one block: the upstreams that probably hold it
// and when each hint was stored.
type blockHolders struct {
	ids [holdersPerBlock]uint64 // hashes of upstream names; 0 means empty
	at  [holdersPerBlock]int64  // Unix nanoseconds
}

// holder is an upstream that probably holds a prefix of depth blocks.
type holder struct {
	id    uint64 // hash of the upstream's name
	depth int
}

// NewPrefixIndex returns an index of at most capacity blocks; a capacity below
// 1 means DefaultIndexBlocks.
func NewPrefixIndex(capacity int) *PrefixIndex {
	if capacity < 1 {
		capacity = DefaultIndexBlocks
	}
	blocks, err := simplelru.NewLRU[uint64, *blockHolders](capacity, nil)
	if err != nil {
		panic(err) // only returned for a capacity below 1
	}
	return &PrefixIndex{blocks: blocks}
}

// Add records that the upstream got a request with these blocks or stored
// them. The blocks start at the beginning of the prompt.
func (x *PrefixIndex) Add(upstream string, blocks []uint64, now time.Time) {
	x.add(xxhash.Sum64String(upstream), blocks, now)
}

func (x *PrefixIndex) add(id uint64, blocks []uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := now.UnixNano()
	for i := indexStride - 1; i < len(blocks); i += indexStride {
		h, ok := x.blocks.Get(blocks[i])
		if !ok {
			h = &blockHolders{}
			x.blocks.Add(blocks[i], h)
		}
		h.put(id, at)
	}
}

// Remove records that the upstream evicted these blocks, in any order.
func (x *PrefixIndex) Remove(upstream string, blocks []uint64) {
	id := xxhash.Sum64String(upstream)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		if h, ok := x.blocks.Peek(b); ok {
			h.remove(id)
		}
	}
}

// RemoveUpstream removes all hints for an upstream, for example after its
// restart. It iterates over the whole index.
func (x *PrefixIndex) RemoveUpstream(upstream string) {
	id := xxhash.Sum64String(upstream)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range x.blocks.Values() {
		h.remove(id)
	}
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocks.Len()
}

// match appends each upstream that probably holds a prefix of blocks to out,
// deepest prefix first, and returns the result.
func (x *PrefixIndex) match(blocks []uint64, now time.Time, out []holder) []holder {
	x.mu.Lock()
	defer x.mu.Unlock()
	oldest := now.Add(-hintLifetime).UnixNano()
	last := len(blocks)/indexStride*indexStride - 1
	for i := last; i >= 0; i -= indexStride {
		h, ok := x.blocks.Peek(blocks[i])
		if !ok {
			continue
		}
		for j, id := range h.ids {
			if id != 0 && h.at[j] > oldest && !containsHolder(out, id) {
				out = append(out, holder{id: id, depth: i + 1})
			}
		}
		if len(out) >= holdersPerBlock {
			break
		}
	}
	return out
}

func containsHolder(holders []holder, id uint64) bool {
	for i := range holders {
		if holders[i].id == id {
			return true
		}
	}
	return false
}

// put updates the upstream's hint, or stores it in an empty slot or in place of
// the oldest hint.
func (h *blockHolders) put(id uint64, at int64) {
	slot := 0
	for j := range h.ids {
		if h.ids[j] == id {
			slot = j
			break
		}
		if h.at[j] < h.at[slot] {
			slot = j
		}
	}
	h.ids[slot], h.at[slot] = id, at
}

func (h *blockHolders) remove(id uint64) {
	for j := range h.ids {
		if h.ids[j] == id {
			h.ids[j], h.at[j] = 0, 0
		}
	}
}
