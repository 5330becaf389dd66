package admission

import (
	"math"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// maxIdleAccounts bounds the remembered accounts without requests.
const maxIdleAccounts = 1024

// enqueue adds w or turns it or another request away. The caller runs the
// returned calls without the lock; that holds for all methods here.
func (c *Controller) enqueue(w *Waiter) []func() {
	now := c.config.Clock.Now()
	w.arrived, w.index = now, -1
	w.key = now.Add(-time.Duration(w.request.Priority) * c.config.PriorityStep)
	c.sequence++
	w.sequence = c.sequence
	a := c.account(w.request.Account)
	if a.maxInFlight > 0 && a.inFlight+a.waiting >= a.maxInFlight {
		return []func(){c.turnAway(w, c.accountLimit(a))}
	}
	if c.late(w, now, c.ahead(a, classIndex(w.request.Class))) {
		return []func(){c.turnAway(w, c.tooShort(a.name, c.retryAfter()))}
	}
	if a.waiting == 0 {
		a.start = math.Max(a.start, c.virtual)
	}
	a.waiting++
	c.waiting++
	a.queues[classIndex(w.request.Class)].add(w)
	calls := c.dispatch()
	if c.waiting > c.config.QueueLimit {
		calls = append(calls, c.evict(a))
	}
	return calls
}

func (c *Controller) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		c.dropIdle()
		a = &account{name: name}
		a.configure(c.limits[name])
		c.accounts[name] = a
	}
	return a
}

// dropIdle bounds the memory for accounts whose names callers make up. An idle
// account behind the virtual time has no state worth keeping.
func (c *Controller) dropIdle() {
	if len(c.accounts) < maxIdleAccounts {
		return
	}
	for name, a := range c.accounts {
		if !a.active() {
			delete(c.accounts, name)
		}
	}
}

// late reports whether the first byte can't be expected by the deadline if
// ahead cost units are served first.
func (c *Controller) late(w *Waiter, now time.Time, ahead float64) bool {
	if w.request.Deadline.IsZero() {
		return false
	}
	expected := c.serviceTime(w.request, now)
	if c.inUse >= c.capacity {
		expected += c.queueTime(ahead, now)
	}
	return now.Add(expected).After(w.request.Deadline)
}

// ahead estimates the cost served before a new request of account a: its own
// queue of the class and better ones, and what the others get meanwhile.
func (c *Controller) ahead(a *account, class int) float64 {
	own := 0.0
	for i := short; i <= class; i++ {
		own += a.queues[i].cost
	}
	sum := own
	for _, b := range c.accounts {
		if b == a {
			continue
		}
		theirs := 0.0
		for i := short; i <= class; i++ {
			theirs += b.queues[i].cost
		}
		sum += math.Min(theirs, (own+1)*b.weight/a.weight)
	}
	return sum
}

// evict turns away the last request of the account with the longest queue
// relative to its weight, so that one account can't fill the queue. The newest
// request is of account a, which loses a tie.
func (c *Controller) evict(a *account) func() {
	worst := a
	for _, b := range c.accounts {
		if float64(b.waiting)/b.weight > float64(worst.waiting)/worst.weight {
			worst = b
		}
	}
	victim := worst.last()
	if c.contended(worst) {
		return c.remove(victim, c.accountLimit(worst))
	}
	return c.remove(victim, result.New(result.Overloaded, result.NotRun,
		"all upstreams are at their limit and %d requests wait", c.config.QueueLimit).
		WithRetryAfter(c.retryAfter()))
}

// contended reports whether an account other than a waits.
func (c *Controller) contended(a *account) bool { return c.waiting > a.waiting }

// last returns the waiter that would be served last.
func (a *account) last() *Waiter {
	q := &a.queues[long]
	if q.Len() == 0 {
		q = &a.queues[short]
	}
	worst := 0
	for i := range q.items {
		if q.Less(worst, i) {
			worst = i
		}
	}
	return q.items[worst]
}

func (c *Controller) accountLimit(a *account) *result.Error {
	return result.New(result.AccountLimit, result.NotRun,
		"account %q has %d requests in flight and %d waiting", a.name, a.inFlight, a.waiting).
		WithRetryAfter(c.retryAfter())
}

// remove takes a waiting request out of its queue and turns it away.
func (c *Controller) remove(w *Waiter, err error) func() {
	c.unqueue(w)
	return c.turnAway(w, err)
}

func (c *Controller) unqueue(w *Waiter) *account {
	a := c.accounts[w.request.Account]
	a.queues[classIndex(w.request.Class)].remove(w)
	a.waiting--
	c.waiting--
	return a
}

func (c *Controller) turnAway(w *Waiter, err error) func() {
	w.settled = true
	return func() { w.decided(nil, err) }
}

// dispatch admits waiting requests while slots are free.
func (c *Controller) dispatch() []func() {
	var calls []func()
	now := c.config.Clock.Now()
	for c.inUse < c.capacity {
		w := c.next(now)
		if w == nil {
			break
		}
		if c.late(w, now, 0) {
			calls = append(calls, c.remove(w, c.tooShort(w.request.Account, c.retryAfter())))
			continue
		}
		calls = append(calls, c.admit(w, now))
	}
	return calls
}

// next chooses the class, then the account with the least virtual start time.
func (c *Controller) next(now time.Time) *Waiter {
	s, l := c.first(short), c.first(long)
	if l != nil && !c.longAllowed() {
		l = nil
	}
	if s == nil || l == nil {
		if s == nil {
			return l
		}
		return s
	}
	if now.Sub(l.arrived) >= c.config.LongAge && c.since >= c.config.LongEvery-1 {
		return l
	}
	return s
}

// longAllowed keeps a part of the slots for shorts. A report may always run if
// none does.
func (c *Controller) longAllowed() bool {
	if c.longMax > 0 {
		return c.longUsed < c.longMax
	}
	return c.longUsed == 0 || float64(c.longUsed) < c.config.LongShare*float64(c.capacity)
}

func (c *Controller) first(class int) *Waiter {
	var best *account
	for _, a := range c.accounts {
		if a.queues[class].Len() == 0 {
			continue
		}
		if best == nil || a.start < best.start || (a.start == best.start && a.name < best.name) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	return best.queues[class].items[0]
}

func (c *Controller) admit(w *Waiter, now time.Time) func() {
	a := c.unqueue(w)
	c.virtual = math.Max(c.virtual, a.start)
	a.start += w.request.Cost / a.weight
	a.inFlight++
	c.inUse++
	c.since++
	if w.request.Class == object.ClassLong {
		c.longUsed++
		c.since = 0
	}
	c.drain.add(w.request.Cost, now)
	w.settled = true
	t := &Ticket{controller: c, request: w.request, admitted: now, waited: now.Sub(w.arrived)}
	return func() { w.decided(t, nil) }
}
