package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxCacheEvents = 4096
	// computedFactor is the number of hashes of computed blocks that are kept
	// after eviction, as a multiple of the cache capacity.
	computedFactor = 8
)

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Type string `json:"type"` // stored, removed or cleared
	// Request is the request whose tokens were stored.
	Request string   `json:"request,omitempty"`
	Blocks  []string `json:"blocks,omitempty"` // block hashes in hex
	Tokens  int      `json:"tokens,omitempty"`
	at      time.Time
}

// prefixCache is an LRU cache of block hashes. It is safe for concurrent use.
type prefixCache struct {
	mu       sync.Mutex
	blocks   *simplelru.LRU[uint64, int]      // tokens in the block; fewer than 16 for a tail
	computed *simplelru.LRU[uint64, struct{}] // blocks computed here, evicted ones included
	log      eventLog
	// clearing suppresses the "removed" events while clear runs.
	clearing bool
}

func newPrefixCache(capacityTokens int, delay time.Duration, lossRate float64, seed uint64) *prefixCache {
	blocks := max(1, capacityTokens/blockTokens)
	c := &prefixCache{log: eventLog{delay: delay, loss: lossRate, random: rand.New(rand.NewPCG(seed, 1))}}
	// The sizes are positive, which is the only condition for an error.
	c.blocks, _ = simplelru.NewLRU[uint64, int](blocks, c.evicted)
	c.computed, _ = simplelru.NewLRU[uint64, struct{}](blocks*computedFactor, nil)
	return c
}

func (c *prefixCache) evicted(hash uint64, tokens int) {
	if c.clearing {
		return
	}
	c.log.add(CacheEvent{Type: "removed", Blocks: []string{hexHash(hash)}, Tokens: tokens})
}

func hexHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// lookup returns how many leading tokens of the chain are cached, and how many
// of the others this engine had computed before and must compute again.
func (c *prefixCache) lookup(prompt *chain, salt uint64) (cached, recomputed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, full := salt, 0
	for _, hash := range prompt.blocks {
		if _, ok := c.blocks.Get(hash); !ok {
			break
		}
		full++
		previous = hash
	}
	cached = full * blockTokens
	if full == len(prompt.blocks) {
		cached += c.cachedTailLocked(previous, prompt.tail)
	}
	for _, hash := range prompt.blocks[full:] {
		if c.computed.Contains(hash) {
			recomputed += blockTokens
		}
	}
	return cached, recomputed
}

func (c *prefixCache) cachedTailLocked(previous uint64, tail []string) int {
	for n := len(tail); n > 0; n-- {
		if _, ok := c.blocks.Get(hashTail(previous, tail[:n])); ok {
			return n
		}
	}
	return 0
}

// store adds full blocks, and the tail if its hash is not 0.
func (c *prefixCache) store(request string, blocks []uint64, tail uint64, tailTokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event := CacheEvent{Type: "stored", Request: request}
	add := func(hash uint64, tokens int) {
		if !c.blocks.Contains(hash) {
			event.Blocks = append(event.Blocks, hexHash(hash))
			event.Tokens += tokens
		}
		c.blocks.Add(hash, tokens)
		c.computed.Add(hash, struct{}{})
	}
	for _, hash := range blocks {
		add(hash, blockTokens)
	}
	if tail != 0 {
		add(tail, tailTokens)
	}
	if len(event.Blocks) > 0 {
		c.log.add(event)
	}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearing = true
	c.blocks.Purge()
	c.clearing = false
	c.log.add(CacheEvent{Type: "cleared"})
}

func (c *prefixCache) usedTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocks.Len() * blockTokens
}

func (c *prefixCache) events(after uint64) ([]CacheEvent, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.since(after, time.Now())
}

// eventLog returns events only after a delay and omits a random share of them,
// which leaves gaps in the sequence numbers.
type eventLog struct {
	delay  time.Duration
	loss   float64
	random *rand.Rand
	seq    uint64
	events []CacheEvent
}

func (l *eventLog) add(event CacheEvent) {
	l.seq++
	event.Seq, event.at = l.seq, time.Now()
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	l.events = append(l.events, event)
	if excess := len(l.events) - maxCacheEvents; excess > maxCacheEvents/4 {
		l.events = append([]CacheEvent{}, l.events[excess:]...)
	}
}

// since returns the events after a sequence number whose delay
// has passed, and the sequence number to continue from.
func (l *eventLog) since(after uint64, now time.Time) ([]CacheEvent, uint64) {
	var found []CacheEvent
	for _, event := range l.events {
		if event.Seq > after && now.Sub(event.at) >= l.delay {
			found = append(found, event)
			after = event.Seq
		}
	}
	return found, after
}
