// Package admission decides whether and when a daemon starts a request.
//
// A [Controller] queues requests in front of a number of slots and gives each
// client account its weighted share of the admitted work (start-time fair
// queueing). Short questions go before long reports; a report that has waited
// for [Config.LongAge] takes every [Config.LongEvery]th slot. A [Limiter] per
// upstream adapts the number of slots to the measured latency.
//
// Costs are in work units (prompt tokens or calls). Requests are turned away
// with a *result.Error whose execution state is "not run" and which carries a
// retry hint: DeadlineTooShort, Overloaded, AccountLimit.
package admission

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures a Controller. Zero values mean the defaults.
type Config struct {
	Clock clockwork.Clock
	// Capacity is the number of slots until SetCapacity is called.
	Capacity int
	// QueueLimit bounds the waiting requests of all accounts.
	QueueLimit int
	// LongAge is the wait after which a long report competes with shorts.
	LongAge time.Duration
	// LongEvery gives one of so many admissions to an aged report.
	LongEvery int
	// LongShare is the part of the slots that reports may occupy while shorts
	// are in use, so that a short doesn't wait for a report to end.
	LongShare float64
	// PriorityStep is the wait that one step of priority is worth.
	PriorityStep time.Duration
	// Service estimates the time from admission to the first byte for a cost,
	// before any admitted request has been measured.
	Service func(cost float64) time.Duration
}

const (
	defaultCapacity     = 64
	defaultQueueLimit   = 512
	defaultLongAge      = 2 * time.Second
	defaultLongEvery    = 4
	defaultLongShare    = 0.75
	defaultPriorityStep = 500 * time.Millisecond
	// defaultServiceRate is the assumed speed in cost units per second.
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
	if c.LongAge <= 0 {
		c.LongAge = defaultLongAge
	}
	if c.LongEvery <= 1 {
		c.LongEvery = defaultLongEvery
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
