package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

const (
	// maxPrefillTokens bounds the prompt tokens of one step, so that long
	// prompts do not stop the decoding of others for long.
	maxPrefillTokens   = 2048
	frozenPollInterval = 5 * time.Millisecond
)

// timing is the service-time model.
type timing struct {
	prefillToken   time.Duration // per uncached prompt token
	decodeBase     time.Duration // per step
	decodeSequence time.Duration // per step and sequence in the batch
	maxBatch       int
	maxTokens      int // of all running sequences
}

// sequence is one request in the engine.
type sequence struct {
	request  string
	priority int      // lower is served first
	slow     float64  // factor of the service time, at least 1
	chain    *chain   // prompt tokens, followed by the output tokens emitted so far
	output   []string // tokens to emit
	resume   bool     // continues an output that another engine began
	salt     uint64

	prompt, cached, recomputed int           // prompt tokens: all, cached, computed before
	prefill                    float64       // prompt tokens left to compute, multiplied by slow
	credit                     float64       // a token is emitted when it reaches 1; grows by 1/slow a step
	pos                        int           // output tokens emitted
	tokens                     chan string   // closed at the end; buffers the whole output
	started                    chan struct{} // closed when admitted or ended
	admitted                   bool
	cancelled, aborted         bool
}

func (s *sequence) size() int { return s.prompt + len(s.output) }

// scheduler runs sequences by continuous batching: every step computes, for
// each running sequence, a part of its prompt or one output token.
type scheduler struct {
	timing timing
	cache  *prefixCache
	faults *fault.Set
	onEnd  func(*sequence)

	mu      sync.Mutex
	wake    *sync.Cond
	waiting []*sequence // by priority, then arrival
	running []*sequence
	closed  bool
}

func newScheduler(timing timing, cache *prefixCache, faults *fault.Set, onEnd func(*sequence)) *scheduler {
	s := &scheduler{timing: timing, cache: cache, faults: faults, onEnd: onEnd}
	s.wake = sync.NewCond(&s.mu)
	return s
}

func (s *scheduler) submit(seq *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority > seq.priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, seq)
	s.wake.Signal()
}

func (s *scheduler) cancel(seq *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq.cancelled = true
}

// abortAll ends all sequences without completing them.
func (s *scheduler) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range append(s.waiting, s.running...) {
		seq.aborted = true
		s.endLocked(seq)
	}
	s.waiting, s.running = nil, nil
}

func (s *scheduler) close() {
	s.abortAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake.Signal()
}

func (s *scheduler) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running), len(s.waiting)
}

// snapshot calls f with the running sequence of a request while it holds the
// lock. It returns false if there is none.
func (s *scheduler) snapshot(request string, f func(*sequence)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range s.running {
		if seq.request == request {
			f(seq)
			return true
		}
	}
	return false
}

func (s *scheduler) run() {
	for s.waitForWork() {
		duration := s.planStep()
		if duration == 0 && s.idle() {
			continue
		}
		time.Sleep(duration)
		for s.faults.Get().Freeze && !s.isClosed() {
			time.Sleep(frozenPollInterval)
		}
		s.runStep()
	}
}

func (s *scheduler) waitForWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting)+len(s.running) == 0 && !s.closed {
		s.wake.Wait()
	}
	return !s.closed
}

func (s *scheduler) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0
}

func (s *scheduler) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// planStep admits waiting sequences and returns the duration of the next step.
func (s *scheduler) planStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked()
	s.admitLocked()
	var duration time.Duration
	decoding, budget := 0, float64(maxPrefillTokens)
	for _, seq := range s.running {
		if seq.prefill > 0 {
			part := min(seq.prefill, budget)
			budget -= part
			duration += time.Duration(part * float64(s.timing.prefillToken))
			continue
		}
		decoding++
	}
	if decoding > 0 {
		duration += s.timing.decodeBase + time.Duration(decoding)*s.timing.decodeSequence
	}
	return duration
}

func (s *scheduler) admitLocked() {
	used := 0
	for _, seq := range s.running {
		used += seq.size()
	}
	for len(s.waiting) > 0 && len(s.running) < s.timing.maxBatch {
		seq := s.waiting[0]
		if used += seq.size(); used > s.timing.maxTokens && len(s.running) > 0 {
			return
		}
		s.waiting = s.waiting[1:]
		s.admitOneLocked(seq)
	}
}

func (s *scheduler) admitOneLocked(seq *sequence) {
	cached, recomputed := s.cache.lookup(seq.chain, seq.salt)
	uncached := seq.prompt - cached
	seq.cached, seq.recomputed = cached, min(recomputed, uncached)
	if seq.resume {
		// Another engine has computed these tokens already.
		seq.recomputed = uncached
	}
	seq.prefill = float64(uncached) * seq.slow
	if uncached == 0 {
		s.cache.store(seq.request, seq.chain.blocks, 0, 0)
	}
	seq.admitted = true
	s.running = append(s.running, seq)
	close(seq.started)
}

// runStep carries out the step whose duration planStep returned.
func (s *scheduler) runStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := float64(maxPrefillTokens)
	for _, seq := range s.running {
		if seq.prefill > 0 {
			part := min(seq.prefill, budget)
			budget -= part
			if seq.prefill -= part; seq.prefill > 0 {
				continue
			}
			s.cache.store(seq.request, seq.chain.blocks, 0, 0)
			seq.credit = 1
		}
		s.decodeLocked(seq)
	}
	s.removeLocked()
}

// decodeLocked emits a token; of a slow sequence only every slow-th call does.
func (s *scheduler) decodeLocked(seq *sequence) {
	seq.credit += 1 / seq.slow
	if seq.credit < 1 || seq.pos >= len(seq.output) || seq.cancelled {
		return
	}
	seq.credit--
	next := seq.output[seq.pos]
	seq.pos++
	if seq.chain.add(next) {
		s.cache.store(seq.request, seq.chain.blocks[len(seq.chain.blocks)-1:], 0, 0)
	}
	seq.tokens <- next
}

// removeLocked removes the sequences that are complete or cancelled.
func (s *scheduler) removeLocked() {
	finished := func(seq *sequence) bool {
		if !seq.cancelled && (seq.pos < len(seq.output) || seq.prefill > 0) {
			return false
		}
		s.endLocked(seq)
		return true
	}
	s.running = slices.DeleteFunc(s.running, finished)
	s.waiting = slices.DeleteFunc(s.waiting, func(seq *sequence) bool { return seq.cancelled && finished(seq) })
}

func (s *scheduler) endLocked(seq *sequence) {
	select {
	case <-seq.started:
	default:
		close(seq.started)
	}
	s.onEnd(seq)
	close(seq.tokens)
}
