package proxy

import (
	"context"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

// Times of the wait for the retry budget.
const (
	budgetPollInterval = 100 * time.Millisecond
	// maxBudgetWait is longer than the 5 s after which the budget adds the floor
	// of a service with little load, so that such a service gets retries instead
	// of errors. The rate of retries stays bounded.
	maxBudgetWait = 6 * time.Second
	// minRetryTime is the part of the time until the deadline that is kept for
	// the retry itself.
	minRetryTime = time.Second
)

// awaitRetry waits until the next attempt after a may start. Its error is the
// reason why there is no further attempt.
func (p *Proxy) awaitRetry(ctx context.Context, policy *retry.Policy, a retry.Attempt) error {
	limit := p.options.Clock.Now().Add(min(maxBudgetWait, a.Deadline.Sub(p.options.Clock.Now())-minRetryTime))
	for {
		wait, err := policy.Next(a)
		if err != nil {
			if result.CodeOf(err) != result.RetryBudgetSpent || p.options.Clock.Now().After(limit) {
				return err
			}
			wait = budgetPollInterval
		}
		select {
		case <-ctx.Done():
			return contextError(ctx)
		case <-p.options.Clock.After(wait):
		}
		if err == nil {
			return nil
		}
	}
}
