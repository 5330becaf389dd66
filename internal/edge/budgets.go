package edge

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

const (
	// budgetFraction is the fraction of the configured retry budget that the daemons
	// use. The rest is a margin, because the configured bound counts requests in
	// other time windows than these budgets do.
	budgetFraction = 0.7
	// maxRetryBurst is the maximum number of retries that one daemon makes at once
	// for a service.
	maxRetryBurst = 6
)

// retryBudgets holds the retry budget of each service. The ratio of retries to
// requests applies to the daemon's own requests, so that the fleet keeps the
// ratio without communication. The retries allowed in addition to the ratio are
// divided equally among the daemons, whose number may change at any time.
type retryBudgets struct {
	bounds  settings.Bounds
	clock   clockwork.Clock
	daemons func() int

	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newRetryBudgets(bounds settings.Bounds, clock clockwork.Clock, daemons func() int) *retryBudgets {
	return &retryBudgets{bounds: bounds, clock: clock, daemons: daemons, services: map[string]*retry.Budget{}}
}

// forService returns the budget of a service with the daemon's current part of the fleet's
// retries. It creates the budget on first use.
func (b *retryBudgets) forService(service string) *retry.Budget {
	floor := b.bounds.RetryExtra * budgetFraction / b.bounds.RetryWindow.Seconds() / float64(max(b.daemons(), 1))
	b.mu.Lock()
	budget := b.services[service]
	if budget == nil {
		budget = retry.NewBudget(retry.BudgetConfig{
			Clock: b.clock, Ratio: min(b.bounds.RetryRatio, retry.MaxRatio) * budgetFraction, FloorPerSecond: floor,
			Burst: maxRetryBurst, NoPriorLoad: true,
		})
		b.services[service] = budget
	}
	b.mu.Unlock()
	budget.SetFloor(floor)
	return budget
}

// AddRequest implements relay.RetryBudget.
func (b *retryBudgets) AddRequest(service string) { b.forService(service).AddRequest() }

// Take implements relay.RetryBudget.
func (b *retryBudgets) Take(service string) bool { return b.forService(service).Take() }

// usageWindows returns the number of usage windows that may still be reported, with the
// one that has begun and one more for a window that is under way in a daemon's report.
func usageWindows(b settings.Bounds) int64 {
	return int64(b.UsageLateness/max(b.UsageWindow, time.Second)) + 3
}
