package admission

import (
	"container/heap"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Waiter is a submitted request that can be cancelled while it waits.
type Waiter struct {
	controller *Controller
	request    Request
	onDecision func(*Ticket, error)
	arrived    time.Time
	key        time.Time // arrival, minus Config.PriorityStep per step of priority
	sequence   uint64
	index      int  // position in its queue, -1 if not queued
	decided    bool // admitted or rejected
}

// Cancel rejects the request with err if it is still waiting; otherwise it has
// no effect.
func (w *Waiter) Cancel(err error) {
	c := w.controller
	c.mu.Lock()
	var callbacks []func()
	if !w.decided {
		callbacks = append(callbacks, c.remove(w, err))
	}
	c.mu.Unlock()
	runCallbacks(callbacks)
}

// queue holds the waiting requests of one account and class as a heap; the one
// to serve first is at index 0.
type queue struct {
	items []*Waiter
	cost  float64 // sum over items
}

func (q *queue) Len() int { return len(q.items) }

func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if !a.key.Equal(b.key) {
		return a.key.Before(b.key)
	}
	return a.sequence < b.sequence
}

func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*Waiter)
	w.index = len(q.items)
	q.items = append(q.items, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.items) - 1
	w := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	w.index = -1
	return w
}

func (q *queue) add(w *Waiter) {
	heap.Push(q, w)
	q.cost += w.request.Cost
}

func (q *queue) remove(w *Waiter) {
	heap.Remove(q, w.index)
	if q.cost -= w.request.Cost; len(q.items) == 0 {
		q.cost = 0
	}
}

// expired returns the waiters whose deadline can't be met even if they were
// admitted now.
func (q *queue) expired(now time.Time, c *Controller) []*Waiter {
	var late []*Waiter
	for _, w := range q.items {
		if c.missesDeadline(w, now, 0) {
			late = append(late, w)
		}
	}
	return late
}

// Indexes of account.queues.
const (
	short = iota
	long
	classCount
)

func classIndex(class object.RequestClass) int {
	if class == object.ClassLong {
		return long
	}
	return short
}

// account is the queueing state of a client account.
type account struct {
	name        string
	weight      float64
	maxInFlight int
	inFlight    int
	waiting     int
	// virtualStart is the virtual start time of the next request: the cost
	// admitted so far per weight, or the virtual time when the account became
	// active if that is later.
	virtualStart float64
	queues       [classCount]queue
}

func (a *account) configure(l Account) {
	a.weight = float64(max(1, l.Weight))
	a.maxInFlight = l.MaxInFlight
}

func (a *account) queuedCost() float64 { return a.queues[short].cost + a.queues[long].cost }

func (a *account) active() bool { return a.waiting > 0 || a.inFlight > 0 }
