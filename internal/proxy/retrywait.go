package proxy

import (
	"context"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

// Waiting for the retry budget.
const (
	budgetPoll = 100 * time.Millisecond
	// budgetWait bounds the wait for the budget. It is longer than the 5 s after
	// which the budget grants a quiet service its floor, so that such a service
	// gets retries instead of errors; the rate of retries stays bounded.
	budgetWait = 6 * time.Second
	// attemptReserve is the time left for the retry itself.
	attemptReserve = time.Second
)

// awaitRetry waits until the attempt after a may start, or returns why there
// is none.
func (p *Proxy) awaitRetry(ctx context.Context, policy *retry.Policy, a retry.Attempt) error {
	limit := p.options.Clock.Now().Add(min(budgetWait, a.Deadline.Sub(p.options.Clock.Now())-attemptReserve))
	for {
		wait, err := policy.Next(a)
		if err != nil {
			if result.CodeOf(err) != result.RetryBudgetSpent || p.options.Clock.Now().After(limit) {
				return err
			}
			wait = budgetPoll
		}
		select {
		case <-ctx.Done():
			return deadlineError(ctx)
		case <-p.options.Clock.After(wait):
		}
		if err == nil {
			return nil
		}
	}
}
