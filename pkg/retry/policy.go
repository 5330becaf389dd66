package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Attempt describes an attempt that has failed, or that is pending in Hedge.
type Attempt struct {
	// Number counts attempts of the request from 1.
	Number     int
	Idempotent bool
	Class      object.RequestClass
	// BytesWritten is true if any byte of the request may have reached the
	// upstream.
	BytesWritten bool
	// Refused is true if the upstream sent a documented refusal, so that the
	// request was not executed.
	Refused bool
	// Emitted is true if the caller of the request has received a part of the
	// response.
	Emitted bool
	// Resumable is true if the code that calls Next can continue an emitted
	// response without repeating or dropping any part.
	Resumable bool
	// Deadline is the request's deadline; zero means none.
	Deadline time.Time
	// Expected is the expected duration of another attempt.
	Expected time.Duration
}

// Execution returns the execution state of the failed attempt.
func (a Attempt) Execution() result.Execution {
	if !a.BytesWritten || a.Refused {
		return result.NotRun
	}
	return result.Unknown
}

// PolicyConfig configures a Policy. Zero values mean the defaults.
type PolicyConfig struct {
	Clock clockwork.Clock
	// MaxAttempts is the maximum number of attempts of a request, including the
	// first.
	MaxAttempts int
	// InitialBackoff is the mean wait before the first retry. It doubles with
	// each attempt up to MaxBackoff; jitter changes each wait by up to half.
	InitialBackoff, MaxBackoff time.Duration
	// HedgeAfter is the time after which a pending attempt is hedged; 0 disables
	// hedging.
	HedgeAfter time.Duration
}

const (
	defaultMaxAttempts    = 3
	defaultInitialBackoff = 10 * time.Millisecond
	defaultMaxBackoff     = 500 * time.Millisecond
	backoffJitter         = 0.5
	backoffMultiplier     = 2
)

// Policy decides about retries and hedges of one service. It is safe for
// concurrent use.
type Policy struct {
	config PolicyConfig
	budget *Budget
}

// NewPolicy returns a policy that takes retries and hedges from budget.
func NewPolicy(config PolicyConfig, budget *Budget) *Policy {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.InitialBackoff <= 0 {
		config.InitialBackoff = defaultInitialBackoff
	}
	if config.MaxBackoff <= 0 {
		config.MaxBackoff = defaultMaxBackoff
	}
	return &Policy{config: config, budget: budget}
}

// Next decides whether a request may be tried again after attempt a failed. It
// returns the wait before the retry, or a *result.Error with the reason why
// there is none and with the execution state of attempt a: OrderOutcomeUnknown
// for a non-idempotent request that may have been executed, UpstreamIncomplete
// for an emitted response that can't be resumed, UpstreamRefused,
// UpstreamUnreachable or UpstreamFailed after the last attempt,
// DeadlineExceeded if too little time is left, RetryBudgetSpent. Repeating an
// attempt that was not sent doesn't consume the budget.
func (p *Policy) Next(a Attempt) (time.Duration, error) {
	execution := a.Execution()
	if execution != result.NotRun && !a.Idempotent {
		return 0, result.New(result.OrderOutcomeUnknown, execution,
			"the request is not idempotent and attempt %d may have been executed", a.Number)
	}
	if a.Emitted && !a.Resumable {
		return 0, result.New(result.UpstreamIncomplete, execution,
			"the response was cut off in attempt %d and can't be resumed", a.Number)
	}
	if a.Number >= p.config.MaxAttempts {
		return 0, result.New(p.lastCode(a), execution, "all %d attempts failed", a.Number)
	}
	wait := p.backoff(a)
	if !p.fitsDeadline(a, wait) {
		return 0, result.New(result.DeadlineExceeded, execution,
			"too little time is left for attempt %d", a.Number+1)
	}
	// An attempt that was never sent caused no load on an upstream, so its
	// repetition doesn't count as a retry in the budget.
	if (a.BytesWritten || a.Refused) && !p.budget.Take() {
		return 0, result.New(result.RetryBudgetSpent, execution,
			"attempt %d failed and the retry budget is spent", a.Number).WithRetryAfter(1)
	}
	return wait, nil
}

// lastCode returns the result code of a request whose last attempt a failed.
func (p *Policy) lastCode(a Attempt) result.Code {
	switch {
	case a.Refused:
		return result.UpstreamRefused
	case !a.BytesWritten:
		return result.UpstreamUnreachable
	}
	return result.UpstreamFailed
}

// fitsDeadline reports whether another attempt can be expected to end before the
// deadline if it starts after wait.
func (p *Policy) fitsDeadline(a Attempt, wait time.Duration) bool {
	return a.Deadline.IsZero() || !p.config.Clock.Now().Add(wait+a.Expected).After(a.Deadline)
}

// backoff returns the jittered wait after attempt a.
func (p *Policy) backoff(a Attempt) time.Duration {
	b := backoff.ExponentialBackOff{
		InitialInterval:     p.config.InitialBackoff,
		MaxInterval:         p.config.MaxBackoff,
		Multiplier:          backoffMultiplier,
		RandomizationFactor: backoffJitter,
	}
	b.Reset()
	wait := b.NextBackOff()
	for range a.Number - 1 {
		wait = b.NextBackOff()
	}
	return wait
}

// HedgeAfter returns the time after which Hedge should be called for a pending
// attempt, and false if it can't be hedged.
func (p *Policy) HedgeAfter(a Attempt) (time.Duration, bool) {
	ok := p.config.HedgeAfter > 0 && a.Number == 1 && a.Idempotent &&
		a.Class == object.ClassShort && !a.Emitted
	return p.config.HedgeAfter, ok
}

// Hedge reports whether a second attempt may start beside the pending attempt
// a. The hedge consumes one retry of the budget.
func (p *Policy) Hedge(a Attempt) bool {
	if _, ok := p.HedgeAfter(a); !ok || p.config.MaxAttempts < 2 || !p.fitsDeadline(a, 0) {
		return false
	}
	return p.budget.Take()
}
