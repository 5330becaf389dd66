package main

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// The service-time model of an engine, for mid-size accelerators. All policies
// use the same values.
const (
	blockTokens = 64
	// chunkTokens is the number of prompt tokens processed without interruption.
	// Between chunks short requests take priority over long ones.
	chunkTokens = 512
	// requestOverhead is the time spent on each request before its first chunk.
	requestOverhead = 5 * time.Millisecond
	// decodeTokenTime is the time per generated token if one request is decoded;
	// it doubles when maxRunning requests are decoded together.
	decodeTokenTime = 20 * time.Millisecond
	maxRunning      = 48
)

// job is a request on an engine.
type job struct {
	class      object.RequestClass
	account    string
	blocks     []uint64
	prompt     int // tokens
	output     int // tokens
	arrival    time.Duration
	remaining  int // prompt tokens to process
	cached     int // tokens found in the cache
	started    bool
	firstToken func()
	finished   func()
	// release ends the attempt of a cancelled request at the daemon.
	release   func()
	cancelled bool
}

// engine models one upstream: a prompt processor that takes requests by
// priority, and a batch of requests that are decoded.
type engine struct {
	routing.Upstream
	sim             *simulation
	tokensPerSecond float64 // of the prompt
	cache           *simplelru.LRU[uint64, struct{}]
	queues          [2][]*job // short and long requests
	busy            bool
	running         int
	queuedTokens    int      // prompt tokens waiting or being processed
	evicted         []uint64 // blocks evicted by the current prompt

	// onCacheChange is called with the blocks that were stored and evicted.
	onCacheChange func(e *engine, stored, evicted []uint64)
	onPromptStart func(j *job, e *engine)
	busyTime      time.Duration // of prompt processing
	decodeTime    time.Duration // of decoding, summed over requests
}

func newEngine(sim *simulation, u routing.Upstream, tokensPerSecond float64, cacheTokens int) *engine {
	e := &engine{Upstream: u, sim: sim, tokensPerSecond: tokensPerSecond}
	e.cache, _ = simplelru.NewLRU[uint64, struct{}](cacheTokens/blockTokens, func(b uint64, _ struct{}) {
		e.evicted = append(e.evicted, b)
	})
	return e
}

func queueIndex(class object.RequestClass) int {
	if class == object.ClassLong {
		return 1
	}
	return 0
}

// cachedTokens returns the number of tokens in the cached prefix of blocks. It
// does not change the LRU order.
func (e *engine) cachedTokens(blocks []uint64) int {
	n := 0
	for n < len(blocks) && e.cache.Contains(blocks[n]) {
		n++
	}
	return n * blockTokens
}

func (e *engine) submit(j *job) {
	j.remaining = j.prompt
	e.queuedTokens += j.prompt - e.cachedTokens(j.blocks)
	j.cached = e.cachedTokens(j.blocks)
	q := queueIndex(j.class)
	e.queues[q] = append(e.queues[q], j)
	e.step()
}

// step processes the next chunk if the prompt processor is free.
func (e *engine) step() {
	if e.busy {
		return
	}
	j := e.nextJob()
	if j == nil {
		return
	}
	var d time.Duration
	if !j.started {
		e.startPrompt(j)
		d = requestOverhead
	}
	chunk := min(j.remaining, chunkTokens)
	d += time.Duration(float64(chunk) / e.tokensPerSecond * float64(time.Second))
	e.busy = true
	e.busyTime += d
	e.sim.after(d, func() {
		e.busy = false
		j.remaining -= chunk
		e.queuedTokens -= chunk
		if j.remaining == 0 {
			e.finishPrompt(j)
		}
		e.step()
	})
}

// nextJob returns the job whose prompt is processed next, or nil. It drops
// cancelled jobs that have not been started.
func (e *engine) nextJob() *job {
	for i, q := range e.queues {
		for len(q) > 0 && q[0].cancelled && !q[0].started {
			e.queuedTokens -= q[0].prompt - q[0].cached
			q = q[1:]
		}
		e.queues[i] = q
		if len(q) == 0 {
			continue
		}
		if q[0].started || e.running < maxRunning {
			return q[0]
		}
	}
	return nil
}

// startPrompt looks up the prompt in the cache. Even if the whole prompt is
// cached, one token is processed.
func (e *engine) startPrompt(j *job) {
	e.queuedTokens -= j.prompt - j.cached
	j.cached = 0
	for _, b := range j.blocks {
		if _, ok := e.cache.Get(b); !ok {
			break
		}
		j.cached += blockTokens
	}
	j.cached = min(j.cached, j.prompt-1)
	j.remaining = j.prompt - j.cached
	e.queuedTokens += j.remaining
	j.started = true
	e.onPromptStart(j, e)
}

// finishPrompt stores the prompt in the cache, emits the first token and starts decoding.
func (e *engine) finishPrompt(j *job) {
	q := queueIndex(j.class)
	e.queues[q] = e.queues[q][1:]
	e.evicted = nil
	for _, b := range j.blocks {
		e.cache.Add(b, struct{}{})
	}
	if e.onCacheChange != nil {
		e.onCacheChange(e, j.blocks, e.evicted)
	}
	e.running++
	slowdown := 1 + float64(e.running)/maxRunning
	d := time.Duration(float64(j.output) * slowdown * float64(decodeTokenTime))
	e.decodeTime += d
	j.firstToken()
	e.sim.after(d, func() {
		e.running--
		j.finished()
		e.step()
	})
}

func (e *engine) load() routing.Load {
	return routing.Load{
		Work: float64(e.queuedTokens), Running: e.running, Slots: maxRunning,
		Waiting: len(e.queues[0]) + len(e.queues[1]), At: e.sim.clock.Now(),
	}
}

// cost returns the price of the processing time used so far, in units of
// PricePerHour.
func (e *engine) cost() float64 {
	used := e.busyTime.Hours() + e.decodeTime.Hours()/maxRunning
	return used * e.PricePerHour
}
