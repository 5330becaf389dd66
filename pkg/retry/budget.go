// Package retry decides whether another attempt of a request is allowed and
// when it starts.
//
// A [Budget] bounds the retries of one service relative to its offered load. A
// [Policy] applies the budget and the rules of execution: a request whose
// attempt may have run is repeated only if it is idempotent, and nothing is
// repeated after a byte has reached the caller unless the caller says that the
// stream can be resumed.
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
	// Floor is the number of retries per second allowed while the offered
	// load is too low for Ratio to allow any; negative means none.
	Floor float64
	// Burst bounds the retries saved up in quiet times.
	Burst float64
	// Quiet means that there was no load before the budget was made, so that
	// the floor applies at once.
	Quiet bool
}

const (
	// MaxRatio is the guarantee on added load.
	MaxRatio = 0.2
	// defaultFloor lets a service with one request per second retry each.
	defaultFloor = 1
	defaultBurst = 20
	// rateWindow is the time over which the offered load is measured to decide
	// whether the floor applies.
	rateWindow = 5 * time.Second
	// tokenUnit makes the sum of many requests exact; with floating point, ten
	// requests at a ratio of 0.2 earned slightly less than two retries.
	tokenUnit = 1_000_000
)

// Budget bounds the retries of one service; hedges count as retries. It is
// safe for concurrent use.
//
// While the offered load is at least Floor/Ratio requests per second, the
// number of retries never exceeds Ratio times the number of offered requests.
// After five seconds below it, Floor retries per second with a burst of one
// second are added.
type Budget struct {
	config BudgetConfig

	mu      sync.Mutex
	tokens  int64   // earned by offered requests, in 1/tokenUnit of a retry
	floor   float64 // earned by time
	refill  time.Time
	offered float64 // exponentially smoothed requests per second
	rateAt  time.Time
	// lowSince is since when the offered load is too low for Ratio alone.
	lowSince time.Time

	requests, retries, refused uint64
}

// NewBudget returns a budget without saved retries except the floor.
func NewBudget(config BudgetConfig) *Budget {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	switch {
	case config.Ratio < 0:
		config.Ratio, config.Floor = 0, -1
	case config.Ratio == 0 || config.Ratio > MaxRatio:
		config.Ratio = MaxRatio
	}
	if config.Floor == 0 {
		config.Floor = defaultFloor
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	config.Floor = max(0, config.Floor)
	now := config.Clock.Now()
	b := &Budget{config: config, floor: config.Floor, refill: now, rateAt: now, lowSince: now}
	if config.Quiet {
		b.lowSince = now.Add(-rateWindow)
	}
	return b
}

// Offer counts the first attempt of a request.
func (b *Budget) Offer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.tokens = min(b.tokens+int64(b.config.Ratio*tokenUnit), int64(b.config.Burst*tokenUnit))
	b.decay()
	b.offered += 1 / rateWindow.Seconds()
	if b.offered*b.config.Ratio >= b.config.Floor {
		b.lowSince = b.rateAt
	}
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay()
	switch {
	case b.tokens >= tokenUnit:
		b.tokens -= tokenUnit
	case b.floor >= 1 && b.rateAt.Sub(b.lowSince) >= rateWindow:
		b.floor--
	default:
		b.refused++
		return false
	}
	b.retries++
	return true
}

// Counts is a snapshot of a budget's counters.
type Counts struct {
	// Requests are first attempts, Retries allowed and Refused denied ones.
	Requests, Retries, Refused uint64
}

// Counts returns the counters since the budget was created.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{b.requests, b.retries, b.refused}
}

// decay refills the floor and ages the measured load.
func (b *Budget) decay() {
	now := b.config.Clock.Now()
	if d := now.Sub(b.refill).Seconds(); d > 0 {
		b.floor = min(b.floor+d*b.config.Floor, b.config.Floor)
		b.refill = now
	}
	if d := now.Sub(b.rateAt).Seconds(); d > 0 {
		b.offered *= max(0, 1-d/rateWindow.Seconds())
		b.rateAt = now
	}
}
