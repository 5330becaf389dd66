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

// Account holds the weight and the limit of a client account.
type Account struct {
	// Weight is the account's share relative to the others; values below 1 count
	// as 1.
	Weight int
	// MaxInFlight bounds the admitted and waiting requests; 0 means no limit.
	MaxInFlight int
}

// Ticket is the right to send one request. Call Done or Fail when the request
// ends; further calls have no effect.
type Ticket struct {
	controller *Controller
	request    Request
	admitted   time.Time
	waited     time.Duration
	measured   bool // the service time has been recorded
	done       bool
}

// Waited returns the time spent in the queue.
func (t *Ticket) Waited() time.Duration { return t.waited }

// Controller admits requests on one daemon. It is safe for concurrent use.
type Controller struct {
	config Config

	mu       sync.Mutex
	capacity int // slots
	inUse    int // occupied slots
	// longInUse counts the slots that long requests occupy, longLimit bounds it;
	// a limit of 0 means Config.LongShare.
	longInUse    int
	longLimit    int
	waiting      int     // requests in all queues
	sequence     uint64  // number of the last submitted request
	virtualTime  float64 // of fair queueing, in cost per weight
	sinceLong    int     // admissions since the last long request
	accounts     map[string]*account
	limits       map[string]Account // by account name
	serviceTimes [classCount]estimator
	admittedRate admittedRate
}

// New returns a controller.
func New(config Config) *Controller {
	config = config.withDefaults()
	return &Controller{
		config: config, capacity: config.Capacity,
		accounts: make(map[string]*account), limits: make(map[string]Account),
		admittedRate: admittedRate{updated: config.Clock.Now()},
	}
}

// SetAccounts replaces the weights and limits by account name. Accounts that are
// not in the map have weight 1 and no limit.
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
// upstreams in use, and how many of them long requests may use; 0 means
// Config.LongShare. Requests that are already admitted keep their slots when the
// capacity is lowered.
func (c *Controller) SetCapacity(slots, long int) {
	c.mu.Lock()
	c.capacity, c.longLimit = max(0, slots), long
	callbacks := c.dispatch()
	c.mu.Unlock()
	runCallbacks(callbacks)
}

// Admit waits for a slot. It returns DeadlineTooShort if the first byte can't
// be expected before the deadline, Overloaded if the queue is full,
// AccountLimit if the account has reached its limit or has more than its share
// of a full queue, and DeadlineExceeded if ctx ends first. All errors have the
// execution state "not run".
func (c *Controller) Admit(ctx context.Context, account string, class object.RequestClass,
	priority int, deadline time.Time, cost float64,
) (*Ticket, error) {
	type decision struct {
		ticket *Ticket
		err    error
	}
	decisions := make(chan decision, 1)
	w := c.Submit(Request{account, class, priority, deadline, cost}, func(t *Ticket, err error) {
		decisions <- decision{t, err}
	})
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := c.config.Clock.NewTimer(deadline.Sub(c.config.Clock.Now()))
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case d := <-decisions:
		return d.ticket, d.err
	case <-expired:
		w.Cancel(c.deadlineTooShortError(account, 0))
	case <-ctx.Done():
		w.Cancel(result.Wrap(ctx.Err(), result.DeadlineExceeded, result.NotRun,
			"the caller cancelled the request while it waited for a slot").WithRetryAfter(1))
	}
	d := <-decisions
	return d.ticket, d.err
}

// Submit is Admit without blocking: onDecision is called exactly once, possibly
// before Submit returns, with a ticket or an error, and must not block. Waiting
// requests whose deadline can no longer be met are rejected when slots become
// free or Sweep is called.
func (c *Controller) Submit(r Request, onDecision func(*Ticket, error)) *Waiter {
	r.Cost = math.Max(1, r.Cost)
	w := &Waiter{controller: c, request: r, onDecision: onDecision}
	c.mu.Lock()
	callbacks := c.enqueue(w)
	c.mu.Unlock()
	runCallbacks(callbacks)
	return w
}

// Sweep rejects the waiting requests whose deadline can no longer be met.
func (c *Controller) Sweep() {
	c.mu.Lock()
	var callbacks []func()
	now := c.config.Clock.Now()
	for _, a := range c.accounts {
		for _, q := range a.queues {
			for _, w := range q.expired(now, c) {
				callbacks = append(callbacks, c.remove(w, c.deadlineTooShortError(a.name, c.retryAfter())))
			}
		}
	}
	callbacks = append(callbacks, c.dispatch()...)
	c.mu.Unlock()
	runCallbacks(callbacks)
}

// FirstByte records that the request's first byte arrived, which ends its
// service time.
func (t *Ticket) FirstByte() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	t.firstByte()
}

func (t *Ticket) firstByte() {
	if t.measured {
		return
	}
	t.measured = true
	now := t.controller.config.Clock.Now()
	t.controller.serviceTimes[classIndex(t.request.Class)].observe(t.request.Cost, now.Sub(t.admitted), now)
}

// Done frees the slot. Without an earlier FirstByte the whole time since
// admission counts as service time; call Fail instead if no byte arrived.
func (t *Ticket) Done() { t.finish(true) }

// Fail frees the slot of a request that failed before its first byte.
func (t *Ticket) Fail() { t.finish(false) }

// TimedOut frees the slot of a request that was cancelled because its first byte
// did not arrive in time. The time since admission counts as service time;
// otherwise the estimate would include only the requests that were fast enough.
func (t *Ticket) TimedOut() { t.finish(true) }

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
		c.longInUse--
	}
	c.accounts[t.request.Account].inFlight--
	callbacks := c.dispatch()
	c.mu.Unlock()
	runCallbacks(callbacks)
}

// Stats holds the numbers of slots, of occupied slots and of waiting requests at
// one time.
type Stats struct{ Capacity, InUse, Waiting int }

// Stats returns the current numbers of slots and requests.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{c.capacity, c.inUse, c.waiting}
}

// QueueTime returns the expected time until all requests that wait now have been
// admitted.
func (c *Controller) QueueTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := 0.0
	for _, a := range c.accounts {
		cost += a.queuedCost()
	}
	return c.queueTime(cost, c.config.Clock.Now())
}

// deadlineTooShortError doesn't need the lock. retryAfter is in seconds.
func (c *Controller) deadlineTooShortError(account string, retryAfter int) *result.Error {
	return result.New(result.DeadlineTooShort, result.NotRun,
		"a request of account %q can't get its first byte before its deadline", account).
		WithRetryAfter(max(1, retryAfter))
}

// runCallbacks must be called without the lock.
func runCallbacks(callbacks []func()) {
	for _, f := range callbacks {
		f()
	}
}
