package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Request describes a request that wants a slot.
type Request struct {
	Account  string
	Class    object.RequestClass
	Priority int
	// Deadline is the caller's deadline for the first byte; zero means none.
	Deadline time.Time
	// Cost is the estimated cost in work units; values below 1 count as 1.
	Cost float64
}

// Account is the entitlement of a client account.
type Account struct {
	// Weight is the account's share relative to the others; below 1 counts
	// as 1.
	Weight int
	// MaxInFlight bounds admitted and waiting requests; 0 means no bound.
	MaxInFlight int
}

// Ticket is the right to send one request. Call Done or Fail when the request
// ends; further calls have no effect.
type Ticket struct {
	controller *Controller
	request    Request
	admitted   time.Time
	waited     time.Duration
	started    bool
	done       bool
}

// Waited returns the time spent in the queue.
func (t *Ticket) Waited() time.Duration { return t.waited }

// Controller admits requests on one daemon. It is safe for concurrent use.
type Controller struct {
	config Config

	mu       sync.Mutex
	capacity int
	inUse    int
	longUsed int
	longMax  int // 0 means Config.LongShare
	waiting  int
	sequence uint64
	virtual  float64 // virtual time of fair queueing, cost per weight
	since    int     // admissions since the last aged report
	accounts map[string]*account
	limits   map[string]Account
	service  [classes]estimator
	drain    drainRate
}

// New returns a controller.
func New(config Config) *Controller {
	config = config.withDefaults()
	return &Controller{
		config: config, capacity: config.Capacity,
		accounts: make(map[string]*account), limits: make(map[string]Account),
		drain: drainRate{at: config.Clock.Now()},
	}
}

// SetAccounts replaces the entitlements by account name. Accounts without one
// have weight 1 and no bound.
func (c *Controller) SetAccounts(limits map[string]Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = make(map[string]Account, len(limits))
	for name, l := range limits {
		c.limits[name] = l
	}
	for name, a := range c.accounts {
		a.configure(c.limits[name])
	}
}

// SetCapacity sets the number of slots, normally the sum of the limits of the
// upstreams in use, and how many of them reports may use; 0 means
// Config.LongShare. Requests above a lowered capacity run to their end.
func (c *Controller) SetCapacity(slots, long int) {
	c.mu.Lock()
	c.capacity, c.longMax = max(0, slots), long
	calls := c.dispatch()
	c.mu.Unlock()
	run(calls)
}

// Admit waits for a slot. It returns DeadlineTooShort if the first byte can't
// be expected before the deadline, Overloaded if the queue is full,
// AccountLimit if the account has used up its bound or its share of a full
// queue, and DeadlineExceeded if ctx ends first. All errors are "not run".
func (c *Controller) Admit(ctx context.Context, account string, class object.RequestClass,
	priority int, deadline time.Time, cost float64,
) (*Ticket, error) {
	type answer struct {
		ticket *Ticket
		err    error
	}
	answers := make(chan answer, 1)
	w := c.Submit(Request{account, class, priority, deadline, cost}, func(t *Ticket, err error) {
		answers <- answer{t, err}
	})
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := c.config.Clock.NewTimer(deadline.Sub(c.config.Clock.Now()))
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case a := <-answers:
		return a.ticket, a.err
	case <-expired:
		w.Cancel(c.tooShort(account, 0))
	case <-ctx.Done():
		w.Cancel(result.Wrap(ctx.Err(), result.DeadlineExceeded, result.NotRun,
			"the caller gave up while the request waited for a slot").WithRetryAfter(1))
	}
	a := <-answers
	return a.ticket, a.err
}

// Submit is Admit without blocking: decided is called exactly once, possibly
// before Submit returns, with a ticket or an error. It must not block. Waiting
// requests whose deadline can no longer be met are turned away when slots
// become free or Sweep is called.
func (c *Controller) Submit(r Request, decided func(*Ticket, error)) *Waiter {
	r.Cost = math.Max(1, r.Cost)
	w := &Waiter{controller: c, request: r, decided: decided}
	c.mu.Lock()
	calls := c.enqueue(w)
	c.mu.Unlock()
	run(calls)
	return w
}

// Sweep turns away waiting requests whose deadline can no longer be met.
func (c *Controller) Sweep() {
	c.mu.Lock()
	var calls []func()
	now := c.config.Clock.Now()
	for _, a := range c.accounts {
		for _, q := range a.queues {
			for _, w := range q.expired(now, c) {
				calls = append(calls, c.remove(w, c.tooShort(a.name, c.retryAfter())))
			}
		}
	}
	calls = append(calls, c.dispatch()...)
	c.mu.Unlock()
	run(calls)
}

// FirstByte records that the request's first byte arrived, for the estimate of
// service times.
func (t *Ticket) FirstByte() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	t.firstByte()
}

func (t *Ticket) firstByte() {
	if t.started {
		return
	}
	t.started = true
	now := t.controller.config.Clock.Now()
	t.controller.service[classIndex(t.request.Class)].observe(t.request.Cost, now.Sub(t.admitted), now)
}

// Done frees the slot. Without an earlier FirstByte the whole time counts as
// service time; call Fail instead if no byte arrived.
func (t *Ticket) Done() { t.finish(true) }

// Fail frees the slot of a request that failed before its first byte.
func (t *Ticket) Fail() { t.finish(false) }

// Late frees the slot of a request that was given up because its first byte
// did not arrive in time. The time so far counts as service time; without it
// the estimate would only know the requests that were fast enough.
func (t *Ticket) Late() { t.finish(true) }

func (t *Ticket) finish(measured bool) {
	c := t.controller
	c.mu.Lock()
	if t.done {
		c.mu.Unlock()
		return
	}
	if measured {
		t.firstByte()
	}
	t.done = true
	c.inUse--
	if t.request.Class == object.ClassLong {
		c.longUsed--
	}
	c.accounts[t.request.Account].inFlight--
	calls := c.dispatch()
	c.mu.Unlock()
	run(calls)
}

// Stats is a snapshot of a controller.
type Stats struct{ Capacity, InUse, Waiting int }

// Stats returns the current numbers of slots and requests.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{c.capacity, c.inUse, c.waiting}
}

// tooShort does not need the lock.
func (c *Controller) tooShort(account string, retryAfter int) *result.Error {
	return result.New(result.DeadlineTooShort, result.NotRun,
		"a request of account %q can't get its first byte before its deadline", account).
		WithRetryAfter(max(1, retryAfter))
}

func run(calls []func()) {
	for _, f := range calls {
		f()
	}
}
