package coordination

import (
	"context"
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// Take implements relay.Quota. It uses local credit first, then borrows what is
// missing from the coordinator or the deputy. If the one that was asked does not
// answer, it uses the fallback quota.
func (a *Agent) Take(ctx context.Context, account *traffic.Account, cost float64, yields bool) (bool, time.Duration) {
	a.mu.Lock()
	c := a.creditOf(account.Name)
	c.requested += cost
	if c.units >= cost {
		c.units -= cost
		a.mu.Unlock()
		return true, 0
	}
	// What the daemon has is set aside, so that no other request takes it during the call.
	own := max(c.units, 0)
	c.units -= own
	sinceResponse := a.config.Now() - a.lastResponse
	connected := a.connected && sinceResponse < coordinatorTimeout
	a.mu.Unlock()
	borrow := a.borrowPooled
	if connected && sinceResponse < useDeputyAfter {
		borrow = a.borrow
	}
	if answered, granted, wait := borrow(ctx, account, cost, own, yields); answered {
		return granted, wait
	}
	if ctx.Err() != nil { // nobody waits for the request any more
		a.mu.Lock()
		defer a.mu.Unlock()
		a.creditOf(account.Name).units += own
		return false, quotaRetryAfter
	}
	return a.takeFallback(account, cost, own)
}

// borrow asks the coordinator for the units that are missing beside own.
func (a *Agent) borrow(ctx context.Context, account *traffic.Account, cost, own float64, yields bool) (answered, granted bool, wait time.Duration) {
	client, ok := a.config.Link.Coordinator()
	if !ok {
		return a.borrowPooled(ctx, account, cost, own, yields)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	response, err := client.Borrow(ctx, &coordinatorv1.BorrowRequest{Daemon: a.config.Daemon, Account: account.Name, Units: cost - own, Yields: yields})
	if err != nil {
		return false, false, 0
	}
	granted, wait = a.spend(account, cost, own, response)
	return true, granted, wait
}

// borrowPooled asks the deputy for the units that are missing beside own.
func (a *Agent) borrowPooled(ctx context.Context, account *traffic.Account, cost, own float64, yields bool) (answered, granted bool, wait time.Duration) {
	response, ok := a.askDeputy(ctx, borrowTimeout, &coordinatorv1.BorrowRequest{Daemon: a.config.Daemon, Account: account.Name, Units: cost - own, Yields: yields})
	if !ok {
		return false, false, 0
	}
	a.mu.Lock()
	a.lastDeputyResponse = a.config.Now()
	a.mu.Unlock()
	granted, wait = a.spend(account, cost, own, response)
	return true, granted, wait
}

// spend adds own and the borrowed units to the credit and charges the cost to it. If the
// credit is too small, wait is the wait that the response states, at least a fifth
// of quotaRetryAfter.
func (a *Agent) spend(account *traffic.Account, cost, own float64, response *coordinatorv1.BorrowResponse) (granted bool, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.creditOf(account.Name)
	if missing := cost - own; response.Units >= missing { // own+missing may round to less than cost
		c.units += response.Units - missing
		return true, 0
	}
	c.units += own + response.Units
	if c.units >= cost {
		c.units -= cost
		return true, 0
	}
	return false, max(time.Duration(response.WaitMs)*time.Millisecond, quotaRetryAfter/5)
}

// takeFallback charges the cost to the daemon's equal share of the quota, which
// accumulates from the last response of the coordinator or a deputy on. The
// quota of the time before must not count, because the coordinator or the
// deputy has already granted it. The fallback may fall below zero by this daemon's
// part of the quota slack.
func (a *Agent) takeFallback(account *traffic.Account, cost, own float64) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.creditOf(account.Name)
	c.units += own
	if a.lastDeputyResponse > c.refilledAt {
		c.settle(a.lastDeputyResponse)
	}
	rate := account.Rate * fallbackShare / float64(max(a.config.Daemons(), 1))
	now := a.config.Now()
	before := c.fallback
	c.fallback += rate * (now - c.refilledAt).Seconds()
	c.refilledAt = now
	c.fallback = min(c.fallback, max(rate*fallbackBurst.Seconds(), cost))
	c.accrued += max(c.fallback-before, 0)
	if c.fallback+c.units+a.config.SlackShare() < cost {
		return false, quotaRetryAfter
	}
	used := min(c.units, cost)
	c.fallback -= cost - used
	c.lent += cost - used
	c.units -= used
	return true, 0
}

// settle ends the use of the fallback at a response. Unused fallback is dropped, and what
// is below zero stays a debt. If the coordinator can't have counted this daemon as silent,
// it has granted the rate of the time meanwhile to others, so that is owed too.
func (c *credit) settle(now time.Duration) {
	if now-c.settledAt < silentAfter {
		c.fallback -= c.accrued
	}
	c.fallback = min(c.fallback, 0)
	c.accrued, c.lent = 0, -c.fallback
	c.settledAt, c.refilledAt = now, now
}

// receive adds granted units after it has repaid what was used of the fallback beyond it.
func (c *credit) receive(units float64) {
	repaid := min(units, -min(c.fallback, 0))
	c.fallback += repaid
	c.lent = max(c.lent-repaid, 0)
	c.units += units - repaid
}

// Return implements relay.Quota. What was taken from the fallback goes back there: it
// must not become credit.
func (a *Agent) Return(account *traffic.Account, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.creditOf(account.Name)
	lent := min(cost, c.lent)
	c.fallback += lent
	c.lent -= lent
	c.units += cost - lent
}
