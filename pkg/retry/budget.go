// Package retry decides whether another attempt of a request is allowed and
// when it starts.
//
// A [Budget] bounds the retries of one service relative to its offered load. A
// [Policy] applies the budget and the following rules: a request whose attempt
// may have been executed is repeated only if it is idempotent, and no request is
// repeated after a byte of the response has reached the caller unless the stream
// can be resumed.
package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// BudgetConfig configures a Budget. Zero values mean the defaults.
type BudgetConfig struct {
	Clock clockwork.Clock
	// Ratio is the number of retries per offered request, at most MaxRatio. A
	// negative ratio forbids retries.
	Ratio float64
	// FloorPerSecond is the number of retries per second that are allowed while
	// the offered load is so low that Ratio allows fewer; negative means none.
	FloorPerSecond float64
	// Burst is the maximum number of unused retries that are saved for later.
	Burst float64
	// NoPriorLoad means that there was no load before the budget was created,
	// so that the floor applies at once.
	NoPriorLoad bool
}

const (
	// MaxRatio is the maximum of BudgetConfig.Ratio: retries add at most 20 % to
	// the offered load, apart from the floor.
	MaxRatio = 0.2
	// defaultFloorPerSecond lets a service with one request per second retry
	// each request once.
	defaultFloorPerSecond = 1
	defaultBurst          = 20
	// rateWindow is the time over which the offered load is measured to decide
	// whether the floor applies.
	rateWindow = 5 * time.Second
	// tokensPerRetry lets the budget add up fractions of a retry as integers.
	// With floating point, ten requests at a ratio of 0.2 gave slightly less
	// than two retries.
	tokensPerRetry = 1_000_000
)

// Budget bounds the retries of one service; hedges count as retries. It is
// safe for concurrent use.
//
// While the offered load is at least FloorPerSecond/Ratio requests per second,
// the number of retries never exceeds Ratio times the number of offered
// requests. After five seconds below that load, FloorPerSecond retries per
// second with a burst of one second are added.
type Budget struct {
	config BudgetConfig

	mu     sync.Mutex
	tokens int64 // added by offered requests, in units of 1/tokensPerRetry of a retry
	// floorRetries is the number of retries added by the floor, as of
	// floorUpdated.
	floorRetries float64
	floorUpdated time.Time
	// offeredRate is the smoothed offered load in requests per second, as of
	// rateUpdated.
	offeredRate float64
	rateUpdated time.Time
	// lowSince is the time since which the offered load has been so low that the
	// floor allows more retries than Ratio.
	lowSince time.Time

	requests, retries, refused uint64
}

// NewBudget returns a budget without saved retries except those of one second of
// the floor.
func NewBudget(config BudgetConfig) *Budget {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	switch {
	case config.Ratio < 0:
		config.Ratio, config.FloorPerSecond = 0, -1
	case config.Ratio == 0 || config.Ratio > MaxRatio:
		config.Ratio = MaxRatio
	}
	if config.FloorPerSecond == 0 {
		config.FloorPerSecond = defaultFloorPerSecond
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	config.FloorPerSecond = max(0, config.FloorPerSecond)
	now := config.Clock.Now()
	b := &Budget{config: config, floorRetries: config.FloorPerSecond, floorUpdated: now, rateUpdated: now, lowSince: now}
	if config.NoPriorLoad {
		b.lowSince = now.Add(-rateWindow)
	}
	return b
}

// AddRequest counts the first attempt of a request as offered load and adds Ratio
// of a retry to the budget, up to Burst.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.tokens = min(b.tokens+int64(b.config.Ratio*tokensPerRetry), int64(b.config.Burst*tokensPerRetry))
	b.decay()
	b.offeredRate += 1 / rateWindow.Seconds()
	if b.offeredRate*b.config.Ratio >= b.config.FloorPerSecond {
		b.lowSince = b.rateUpdated
	}
}

// Take consumes one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay()
	switch {
	case b.tokens >= tokensPerRetry:
		b.tokens -= tokensPerRetry
	case b.floorRetries >= 1 && b.rateUpdated.Sub(b.lowSince) >= rateWindow:
		b.floorRetries--
	default:
		b.refused++
		return false
	}
	b.retries++
	return true
}

// SetFloor changes the floor, in retries per second. Saved retries beyond one second of
// the new floor are lost.
func (b *Budget) SetFloor(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if perSecond = max(0, perSecond); perSecond == b.config.FloorPerSecond {
		return
	}
	b.decay()
	b.config.FloorPerSecond = perSecond
	b.floorRetries = min(b.floorRetries, perSecond)
}

// Counts holds the counters of a budget at one time.
type Counts struct {
	// Requests counts first attempts, Retries allowed retries and Refused denied
	// retries.
	Requests, Retries, Refused uint64
}

// Counts returns the counters since the budget was created.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{b.requests, b.retries, b.refused}
}

// decay adds the floor's retries for the time since the last call and lets the
// measured load decay.
func (b *Budget) decay() {
	now := b.config.Clock.Now()
	if seconds := now.Sub(b.floorUpdated).Seconds(); seconds > 0 {
		b.floorRetries = min(b.floorRetries+seconds*b.config.FloorPerSecond, b.config.FloorPerSecond)
		b.floorUpdated = now
	}
	if seconds := now.Sub(b.rateUpdated).Seconds(); seconds > 0 {
		b.offeredRate *= max(0, 1-seconds/rateWindow.Seconds())
		b.rateUpdated = now
	}
}
