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
	maxPrefillTokens = 2048
	frozenPoll       = 5 * time.Millisecond
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
	priority int // lower is served first
	slow     float64
	chain    *chain   // prompt, then prompt and output
	output   []string // tokens to emit
	resume   bool
	salt     uint64

	prompt, cached, recomputed int
	prefill                    float64 // tokens left to compute, times slow
	credit                     float64
	pos                        int
	tokens                     chan string // closed at the end; holds the whole output
	started                    chan struct{}
	admitted                   bool
	cancelled, dropped         bool
}

func (s *sequence) size() int { return s.prompt + len(s.output) }

// scheduler runs sequences by continuous batching: every step computes a piece
// of prompt or one token of each running sequence.
type scheduler struct {
	timing timing
	cache  *prefixCache
	faults *fault.Set
	ended  func(*sequence)

	mu      sync.Mutex
	wake    *sync.Cond
	waiting []*sequence // by priority, then arrival
	running []*sequence
	closed  bool
}

func newScheduler(timing timing, cache *prefixCache, faults *fault.Set, ended func(*sequence)) *scheduler {
	s := &scheduler{timing: timing, cache: cache, faults: faults, ended: ended}
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

// dropAll ends all sequences without completing them.
func (s *scheduler) dropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range append(s.waiting, s.running...) {
		seq.dropped = true
		s.endLocked(seq)
	}
	s.waiting, s.running = nil, nil
}

func (s *scheduler) close() {
	s.dropAll()
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

// snapshot calls f with a sequence's chain while the scheduler stands still.
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
		duration := s.plan()
		if duration == 0 && s.idle() {
			continue
		}
		time.Sleep(duration)
		for s.faults.Get().Freeze && !s.isClosed() {
			time.Sleep(frozenPoll)
		}
		s.apply()
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

// plan admits waiting sequences and returns the duration of the next step.
func (s *scheduler) plan() time.Duration {
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
	cached, seen := s.cache.lookup(seq.chain, seq.salt)
	uncached := seq.prompt - cached
	seq.cached, seq.recomputed = cached, min(seen, uncached)
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

// apply carries out the step that plan described.
func (s *scheduler) apply() {
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

// decodeLocked emits a token, or every n-th time if the sequence is slow.
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

// removeLocked takes out the sequences that are complete or cancelled.
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
	s.ended(seq)
	close(seq.tokens)
}
