package edge

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

const (
	// budgetShare is the part of the fleet's retry budget that the daemons use:
	// arrivals are counted in other windows than these.
	budgetShare = 0.7
	// budgetBurst bounds the retries that one daemon makes at once.
	budgetBurst = 6
)

// budgets bounds repeated attempts by service. Each daemon's ratio applies to
// its own requests, so that the ratios of all daemons add up without messages;
// what is allowed beside the ratio is divided equally.
type budgets struct {
	bounds  settings.Bounds
	clock   clockwork.Clock
	daemons func() int

	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newBudgets(bounds settings.Bounds, clock clockwork.Clock, daemons func() int) *budgets {
	return &budgets{bounds: bounds, clock: clock, daemons: daemons, services: map[string]*retry.Budget{}}
}

func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		floor := b.bounds.RetryExtra * budgetShare / b.bounds.RetryWindow.Seconds() / float64(max(b.daemons(), 1))
		budget = retry.NewBudget(retry.BudgetConfig{
			Clock: b.clock, Ratio: min(b.bounds.RetryRatio, retry.MaxRatio) * budgetShare, FloorPerSecond: floor,
			Burst: budgetBurst, NoPriorLoad: true,
		})
		b.services[service] = budget
	}
	return budget
}

// AddRequest implements relay.RetryBudget.
func (b *budgets) AddRequest(service string) { b.of(service).AddRequest() }

// Take implements relay.RetryBudget.
func (b *budgets) Take(service string) bool { return b.of(service).Take() }
