package admission

import (
	"math"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// maxIdleAccounts is the number of stored accounts, with and without requests, at
// which those without requests are removed before another account is stored.
const maxIdleAccounts = 1024

// enqueue adds w, or rejects it or another request. The caller runs the returned
// callbacks after it has released the lock; this applies to all methods in this
// file that return callbacks.
func (c *Controller) enqueue(w *Waiter) []func() {
	now := c.config.Clock.Now()
	w.arrived, w.index = now, -1
	w.key = now.Add(-time.Duration(w.request.Priority) * c.config.PriorityStep)
	c.sequence++
	w.sequence = c.sequence
	a := c.account(w.request.Account)
	if a.maxInFlight > 0 && a.inFlight+a.waiting >= a.maxInFlight {
		return []func(){c.reject(w, c.accountLimitError(a))}
	}
	if c.missesDeadline(w, now, c.costAhead(a, classIndex(w.request.Class))) {
		return []func(){c.reject(w, c.deadlineTooShortError(a.name, c.retryAfter()))}
	}
	if a.waiting == 0 {
		a.virtualStart = math.Max(a.virtualStart, c.virtualTime)
	}
	a.waiting++
	c.waiting++
	a.queues[classIndex(w.request.Class)].add(w)
	callbacks := c.dispatch()
	if c.waiting > c.config.QueueLimit {
		callbacks = append(callbacks, c.evict(a))
	}
	return callbacks
}

func (c *Controller) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		c.removeIdleAccounts()
		a = &account{name: name}
		a.configure(c.limits[name])
		c.accounts[name] = a
	}
	return a
}

// removeIdleAccounts bounds the memory that callers can use up with invented
// account names. An idle account has no state that must be kept once the virtual
// time has passed its virtual start time. This isn't checked: an account that is
// removed earlier starts again at the current virtual time.
func (c *Controller) removeIdleAccounts() {
	if len(c.accounts) < maxIdleAccounts {
		return
	}
	for name, a := range c.accounts {
		if !a.active() {
			delete(c.accounts, name)
		}
	}
}

// missesDeadline reports whether the first byte is expected after the deadline
// if requests with a total cost of costAhead are served first.
func (c *Controller) missesDeadline(w *Waiter, now time.Time, costAhead float64) bool {
	if w.request.Deadline.IsZero() || c.config.Room != nil && !c.full() {
		return false
	}
	expected := c.serviceTime(w.request, now)
	if c.full() {
		expected += c.queueTime(costAhead, now)
	}
	return now.Add(expected).After(w.request.Deadline)
}

// costAhead estimates the cost that is served before a new request of account a
// and the class: the account's queues of this class and of those that go first,
// and the cost of other accounts that fair queueing admits in that time.
func (c *Controller) costAhead(a *account, class int) float64 {
	own := 0.0
	for i := short; i <= class; i++ {
		own += a.queues[i].cost
	}
	sum := own
	for _, b := range c.accounts {
		if b == a {
			continue
		}
		other := 0.0
		for i := short; i <= class; i++ {
			other += b.queues[i].cost
		}
		sum += math.Min(other, (own+1)*b.weight/a.weight)
	}
	return sum
}

// evict rejects the last request of the account with the longest queue relative
// to its weight, so that one account can't fill the queue. Account a submitted
// the newest request; of accounts with equally long queues, a is chosen.
func (c *Controller) evict(a *account) func() {
	worst := a
	for _, b := range c.accounts {
		if float64(b.waiting)/b.weight > float64(worst.waiting)/worst.weight {
			worst = b
		}
	}
	evicted := worst.last()
	if c.othersWaiting(worst) {
		return c.remove(evicted, c.accountLimitError(worst))
	}
	return c.remove(evicted, result.New(result.Overloaded, result.NotRun,
		"all upstreams are at their limit and %d requests wait", c.config.QueueLimit).
		WithRetryAfter(c.retryAfter()))
}

// othersWaiting reports whether an account other than a has waiting requests.
func (c *Controller) othersWaiting(a *account) bool { return c.waiting > a.waiting }

// last returns the account's waiting request that would be served last.
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

func (c *Controller) accountLimitError(a *account) *result.Error {
	return result.New(result.AccountLimit, result.NotRun,
		"account %q has %d requests in flight and %d waiting", a.name, a.inFlight, a.waiting).
		WithRetryAfter(c.retryAfter())
}

// remove takes a waiting request out of its queue and rejects it.
func (c *Controller) remove(w *Waiter, err error) func() {
	c.dequeue(w)
	return c.reject(w, err)
}

func (c *Controller) dequeue(w *Waiter) *account {
	a := c.accounts[w.request.Account]
	a.queues[classIndex(w.request.Class)].remove(w)
	a.waiting--
	c.waiting--
	return a
}

func (c *Controller) reject(w *Waiter, err error) func() {
	w.decided = true
	return func() { w.onDecision(nil, err) }
}

// full reports whether no request can start now.
func (c *Controller) full() bool {
	return c.inUse >= c.capacity || c.config.Room != nil && !c.config.Room.Free()
}

// dispatch admits waiting requests while slots are free.
func (c *Controller) dispatch() []func() {
	var callbacks []func()
	now := c.config.Clock.Now()
	for !c.full() {
		w := c.next(now)
		if w == nil {
			break
		}
		if c.missesDeadline(w, now, 0) {
			callbacks = append(callbacks, c.remove(w, c.deadlineTooShortError(w.request.Account, c.retryAfter())))
			continue
		}
		callbacks = append(callbacks, c.admit(w, now))
	}
	return callbacks
}

// next returns the next request to admit, or nil. It chooses the class, and
// within it the account with the lowest virtual start time. Short requests come
// first; a long one comes before them if it has waited for LongAgingTime and
// AgedLongInterval-1 requests have been admitted since the last long one.
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
	if now.Sub(l.arrived) >= c.config.LongAgingTime && c.sinceLong >= c.config.AgedLongInterval-1 {
		return l
	}
	return s
}

// longAllowed reports whether another long request may be admitted. A part of
// the slots is kept for short requests. Without a limit from SetCapacity, one
// long request may always run.
func (c *Controller) longAllowed() bool {
	if c.longLimit > 0 {
		return c.longInUse < c.longLimit
	}
	return c.longInUse == 0 || float64(c.longInUse) < c.config.LongShare*float64(c.capacity)
}

// first returns the first waiting request of a class, of the account with the
// lowest virtual start time, or nil.
func (c *Controller) first(class int) *Waiter {
	var best *account
	for _, a := range c.accounts {
		if a.queues[class].Len() == 0 {
			continue
		}
		if best == nil || a.virtualStart < best.virtualStart || (a.virtualStart == best.virtualStart && a.name < best.name) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	return best.queues[class].items[0]
}

func (c *Controller) admit(w *Waiter, now time.Time) func() {
	a := c.dequeue(w)
	c.virtualTime = math.Max(c.virtualTime, a.virtualStart)
	a.virtualStart += w.request.Cost / a.weight
	a.inFlight++
	c.inUse++
	if c.config.Room != nil {
		c.config.Room.Take()
	}
	c.sinceLong++
	if w.request.Class == object.ClassLong {
		c.longInUse++
		c.sinceLong = 0
	}
	c.admittedRate.add(w.request.Cost, now)
	w.decided = true
	t := &Ticket{controller: c, request: w.request, admitted: now, waited: now.Sub(w.arrived)}
	return func() { w.onDecision(t, nil) }
}
