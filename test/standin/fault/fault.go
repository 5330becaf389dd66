// Package fault defines the faults that the HTTP stand-ins inject and decides
// which of them apply to a request.
package fault

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// EarlyEnd is the form of a response that ends too early.
type EarlyEnd string

// Kinds of early ends.
const (
	// EarlyEndFinish ends with a finish reason and [DONE]; the usage is missing.
	EarlyEndFinish EarlyEnd = "finish"
	// EarlyEndDone ends with [DONE] but without a finish reason.
	EarlyEndDone EarlyEnd = "done"
	// EarlyEndBody ends the HTTP body properly and sends no end marker.
	EarlyEndBody EarlyEnd = "body"
)

// Faults are the faults in force. Rates are shares of requests, 0 to 1.
type Faults struct {
	// Path, PromptContains, AboveLoad and AfterMillis limit the faults to
	// requests with this path prefix and this text in the body, to times with
	// more than this number of requests in flight, and to the time from this
	// number of milliseconds after the faults were set. Freeze always applies.
	Path           string `json:"path,omitempty"`
	PromptContains string `json:"prompt_contains,omitempty"`
	AboveLoad      int    `json:"above_load,omitempty"`
	AfterMillis    int    `json:"after_ms,omitempty"`

	// FailRate is the share of requests that are not executed and get a response
	// with FailStatus (500 if it is 0).
	FailRate   float64 `json:"fail_rate,omitempty"`
	FailStatus int     `json:"fail_status,omitempty"`
	// SlowFactor multiplies the service time; values up to 1 change nothing.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Freeze holds back all responses, health checks included, until it is unset.
	Freeze bool `json:"freeze,omitempty"`

	// CutRate closes the connection: of a model stream after CutAfterTokens
	// tokens, of an application call in the middle of the response.
	CutRate        float64 `json:"cut_rate,omitempty"`
	CutAfterTokens int     `json:"cut_after_tokens,omitempty"`
	// EarlyEndRate ends a model response after EarlyEndAfterTokens tokens.
	EarlyEndRate        float64  `json:"early_end_rate,omitempty"`
	EarlyEndAfterTokens int      `json:"early_end_after_tokens,omitempty"`
	EarlyEnd            EarlyEnd `json:"early_end,omitempty"`

	// LateRate sends the response to the previous request of the connection again
	// before the right response.
	LateRate float64 `json:"late_rate,omitempty"`
	// RepeatRate sends the response twice.
	RepeatRate float64 `json:"repeat_rate,omitempty"`
	// CrossRate sends the last response that belongs to another request ID
	// instead of the right response.
	CrossRate float64 `json:"cross_rate,omitempty"`

	// LoseRate loses the response after the execution: the connection is closed
	// or, with LoseByHang, stays open without a response.
	LoseRate   float64 `json:"lose_rate,omitempty"`
	LoseByHang bool    `json:"lose_by_hang,omitempty"`
	// CloseIdleMillis closes connections that were idle for this long.
	CloseIdleMillis int `json:"close_idle_ms,omitempty"`
}

// Request holds the properties of a request on which the decision depends.
type Request struct {
	Path string
	Body []byte
	Load int // requests in flight, this one included
}

// Decision lists the faults that apply to one request.
type Decision struct {
	Fail                      bool
	Status                    int
	Slow                      float64 // factor of the service time, at least 1
	Cut, End                  bool
	CutAfter, EndAfter        int
	EndKind                   EarlyEnd
	Late, Repeat, Cross, Lose bool
	LoseByHang                bool
}

// Set holds the faults in force, which can be replaced. It is safe for
// concurrent use.
type Set struct {
	mu     sync.Mutex
	faults Faults
	since  time.Time // when the faults were set
	random *rand.Rand
	thawed chan struct{} // closed while not frozen
}

// NewSet returns a set without faults whose random choices follow from seed.
func NewSet(seed uint64) *Set {
	s := &Set{random: rand.New(rand.NewPCG(seed, 0)), thawed: make(chan struct{})}
	close(s.thawed)
	return s
}

// Put replaces the faults.
func (s *Set) Put(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case faults.Freeze && !s.faults.Freeze:
		s.thawed = make(chan struct{})
	case !faults.Freeze && s.faults.Freeze:
		close(s.thawed)
	}
	s.faults, s.since = faults, time.Now()
}

// Get returns the faults in force.
func (s *Set) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// WaitThaw returns when the stand-in is not frozen, or with an error when ctx ends.
func (s *Set) WaitThaw(ctx context.Context) error {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
		return nil
	default:
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Decide chooses the faults that apply to a request.
func (s *Set) Decide(r Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	d := Decision{Slow: 1}
	if !s.matchesLocked(r) {
		return d
	}
	d.Slow = max(1, f.SlowFactor)
	d.Fail, d.Status = s.drawLocked(f.FailRate), f.FailStatus
	if d.Status == 0 {
		d.Status = 500
	}
	d.Cut, d.CutAfter = s.drawLocked(f.CutRate), f.CutAfterTokens
	d.End, d.EndAfter, d.EndKind = s.drawLocked(f.EarlyEndRate), f.EarlyEndAfterTokens, f.EarlyEnd
	d.Late, d.Repeat, d.Cross = s.drawLocked(f.LateRate), s.drawLocked(f.RepeatRate), s.drawLocked(f.CrossRate)
	d.Lose, d.LoseByHang = s.drawLocked(f.LoseRate), f.LoseByHang
	return d
}

// matchesLocked reports whether the faults in force cover r.
func (s *Set) matchesLocked(r Request) bool {
	f := s.faults
	return strings.HasPrefix(r.Path, f.Path) &&
		(f.PromptContains == "" || strings.Contains(string(r.Body), f.PromptContains)) &&
		(f.AboveLoad == 0 || r.Load > f.AboveLoad) &&
		time.Since(s.since) >= time.Duration(f.AfterMillis)*time.Millisecond
}

func (s *Set) drawLocked(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}
