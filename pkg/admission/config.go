// Package admission decides whether and when a daemon starts a request.
//
// A [Controller] queues requests in front of a number of slots and gives each
// client account its weighted share of the admitted work (start-time fair
// queueing). Requests of class short are admitted before those of class long.
// When a long request has waited for [Config.LongAgingTime], one in
// [Config.AgedLongInterval] admissions goes to a long request. A [Limiter] per
// upstream adapts the number of slots to the measured latency.
//
// Costs are in work units (prompt tokens or calls). Requests are rejected with a
// *result.Error whose execution state is "not run" and which carries a retry
// hint: DeadlineTooShort, Overloaded, AccountLimit.
package admission

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Room tells whether upstreams that several daemons share can start a request. Its
// methods are called with the controller's lock held.
type Room interface {
	// Free reports whether another request may start now.
	Free() bool
	// Take records that one starts.
	Take()
}

// Config configures a Controller. Zero values mean the defaults.
type Config struct {
	Clock clockwork.Clock
	// Capacity is the number of slots until SetCapacity is called.
	Capacity int
	// QueueLimit is the maximum number of waiting requests of all accounts.
	QueueLimit int
	// LongAgingTime is the wait after which a long request counts as aged and
	// competes with short ones, so that it can't starve.
	LongAgingTime time.Duration
	// AgedLongInterval gives one in this number of admissions to an aged long
	// request.
	AgedLongInterval int
	// LongShare is the part of the slots that long requests may occupy, from 0
	// to 1, so that a short request doesn't wait for a long one to end.
	LongShare float64
	// PriorityStep is the wait that counts as much as one step of priority.
	PriorityStep time.Duration
	// Room limits the requests that start beside the number of slots; nil means that
	// only slots count. While it is free, no request is rejected because of its deadline,
	// whether others wait or not.
	Room Room
	// Service estimates the service time for a cost, which is the time from
	// admission to the first byte, until an admitted request has been measured.
	Service func(cost float64) time.Duration
}

const (
	defaultCapacity         = 64
	defaultQueueLimit       = 512
	defaultLongAgingTime    = 2 * time.Second
	defaultAgedLongInterval = 4
	defaultLongShare        = 0.75
	defaultPriorityStep     = 500 * time.Millisecond
	// defaultServiceRate is the service rate of the default estimate, in work
	// units per second.
	defaultServiceRate = 8000
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Capacity <= 0 {
		c.Capacity = defaultCapacity
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.LongAgingTime <= 0 {
		c.LongAgingTime = defaultLongAgingTime
	}
	if c.AgedLongInterval <= 1 {
		c.AgedLongInterval = defaultAgedLongInterval
	}
	if c.LongShare <= 0 || c.LongShare > 1 {
		c.LongShare = defaultLongShare
	}
	if c.PriorityStep <= 0 {
		c.PriorityStep = defaultPriorityStep
	}
	if c.Service == nil {
		c.Service = func(cost float64) time.Duration {
			return time.Duration(cost / defaultServiceRate * float64(time.Second))
		}
	}
	return c
}
