package routing

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// holdersPerBlock bounds the upstreams remembered for a block.
	holdersPerBlock = 4
	// hintLifetime is the age after which a hint is ignored. Engines reuse
	// cache memory without notice when an event is lost.
	hintLifetime = 10 * time.Minute
	// DefaultIndexBlocks bounds an index to about 10 MB.
	DefaultIndexBlocks = 1 << 16
)

// PrefixIndex remembers which upstreams probably hold which prompt blocks. It
// learns from picks, replies and cache events. All of these may be late or
// missing, so an entry is never more than a hint.
type PrefixIndex struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, *blockHolders]
}

type blockHolders struct {
	names [holdersPerBlock]string
	at    [holdersPerBlock]time.Time
}

type holder struct {
	name  string
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

// Learn records that the upstream got a request with these blocks or stored
// them.
func (x *PrefixIndex) Learn(upstream string, blocks []uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		h, ok := x.blocks.Get(b)
		if !ok {
			h = &blockHolders{}
			x.blocks.Add(b, h)
		}
		h.put(upstream, now)
	}
}

// Forget records that the upstream dropped these blocks.
func (x *PrefixIndex) Forget(upstream string, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		if h, ok := x.blocks.Peek(b); ok {
			h.remove(upstream)
		}
	}
}

// ForgetUpstream drops everything known about an upstream, for example after
// its restart. It walks the whole index.
func (x *PrefixIndex) ForgetUpstream(upstream string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range x.blocks.Values() {
		h.remove(upstream)
	}
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocks.Len()
}

// match appends each upstream that holds a prefix of blocks with its depth,
// deepest first.
func (x *PrefixIndex) match(blocks []uint64, now time.Time, out []holder) []holder {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		h, ok := x.blocks.Peek(blocks[i])
		if !ok {
			continue
		}
		for j, name := range h.names {
			if name != "" && now.Sub(h.at[j]) < hintLifetime && !known(out, name) {
				out = append(out, holder{name: name, depth: i + 1})
			}
		}
	}
	return out
}

func known(holders []holder, name string) bool {
	for i := range holders {
		if holders[i].name == name {
			return true
		}
	}
	return false
}

// put adds the upstream in place of an empty slot or the oldest hint.
func (h *blockHolders) put(upstream string, now time.Time) {
	slot := 0
	for j, name := range h.names {
		if name == upstream {
			slot = j
			break
		}
		if h.names[slot] != "" && (name == "" || h.at[j].Before(h.at[slot])) {
			slot = j
		}
	}
	h.names[slot], h.at[slot] = upstream, now
}

func (h *blockHolders) remove(upstream string) {
	for j, name := range h.names {
		if name == upstream {
			h.names[j] = ""
		}
	}
}
