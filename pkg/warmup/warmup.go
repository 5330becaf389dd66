// Package warmup decides which requests a daemon may send to instances that are cold:
// those that have just started and bear only a limited rate of requests, over all daemons
// together.
//
// No messages are needed. For each cold instance a few daemons are chosen by rendezvous
// hashing, and each of them may send its equal part of the rate.
package warmup

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxAbsence is how long an instance that is down stays announced: entries lapse after
	// three heartbeats. One that is back by then may not have announced its restart yet.
	maxAbsence = 4 * time.Second
	// retention is how long the incarnation of a removed instance is remembered. Entries
	// that lapse in an outage of the store return after it.
	retention = 2 * time.Minute
)

// Causes for which an instance counts as cold.
const (
	CauseStated      = "stated"      // its entry says so
	CauseStarted     = "started"     // it is a new incarnation
	CauseUnreachable = "unreachable" // it couldn't be reached, and may have restarted
	CauseReset       = "reset"       // its data centre takes requests again
)

// Limits are the limits of a service for its cold instances.
type Limits struct {
	Time time.Duration // how long an instance is cold after its start
	Rate float64       // requests per second that a cold instance bears; 0 means no limit
}

// Instance identifies an instance in its current incarnation.
type Instance struct {
	ID, Service, DataCentre string
	Incarnation             int64
}

func (i Instance) key() string { return i.ID + "\x00" + strconv.FormatInt(i.Incarnation, 10) }

// Config holds the parameters of a Tracker.
type Config struct {
	Now func() time.Duration // monotonic
	// Limits returns the limits of a service. They apply from the next Sweep on.
	Limits func(service string) Limits
	// Overrun and Slack are those of Bound.
	Overrun, Slack float64
	// Fleet returns the daemon's view of the fleet. It must not call the Tracker.
	Fleet func() Fleet
	// OnChange is called when an instance begins or ceases to count as cold. age is the
	// time since it began. It must not call the Tracker.
	OnChange func(i Instance, cold bool, cause string, age time.Duration)
}

// Tracker knows which instances are cold, and limits the requests to them. It is safe for
// concurrent use.
type Tracker struct {
	config Config
	active atomic.Bool // some instance may be cold
	stale  atomic.Bool // fleet is to be read again before it is used

	mu        sync.Mutex
	instances map[string]*instance // by ID
	fleet     Fleet
	// generation changes with the fleet.
	generation int
	// distrustUntil is when failed connections count again.
	distrustUntil time.Duration
}

// instance is the state of an instance. Times are on the clock of Config.Now.
type instance struct {
	Instance
	removedAt time.Duration // 0 while it is announced

	statedUntil   time.Duration // cold until then, as its entry says
	startedAt     time.Duration // when its start was seen, 0 if its entry said how long it is cold
	resetAt       time.Duration // when Reset was called, 0 if never
	unreachableAt time.Duration // last failed connection, 0 if it isn't suspected
	answeredAt    time.Duration // first answer after that, 0 if none

	limits Limits        // of the service when it was last updated
	until  time.Duration // cold until then
	cold   bool          // as last reported to OnChange
	cause  string
	since  time.Duration

	generation int     // of the fleet from which rate was determined
	rate       float64 // requests per second of this daemon while the instance is cold
	next       time.Duration
}

// New returns a Tracker without instances.
func New(config Config) *Tracker {
	t := &Tracker{config: config, instances: map[string]*instance{}, generation: 1}
	t.stale.Store(true)
	return t
}

// FleetChanged makes the Tracker read Config.Fleet again when it next needs it.
func (t *Tracker) FleetChanged() { t.stale.Store(true) }

// readFleet reads Config.Fleet if it has changed. The caller holds the lock, so that an
// older reading never replaces a later one.
func (t *Tracker) readFleet() {
	if t.stale.Swap(false) {
		t.fleet = t.config.Fleet()
		t.generation++
	}
}

// Active reports whether some instance may be cold.
func (t *Tracker) Active() bool { return t.active.Load() }

// Announced records an entry of an instance. left is how much longer the instance is cold,
// as the entry says. initial tells that the entry existed when the daemon started, so that
// the instance may have been running for long. The entry was written less than maxAge ago.
func (t *Tracker) Announced(i Instance, left time.Duration, initial bool, maxAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	s := t.instances[i.ID]
	known := s != nil && s.Incarnation == i.Incarnation
	if !known {
		s = &instance{}
		t.instances[i.ID] = s
	}
	s.Instance, s.removedAt = i, 0
	if s.unreachableAt != 0 && now-s.unreachableAt >= maxAge && (left > 0 || i.Incarnation != 0) {
		// It was written after the failure, either by the same incarnation or by a later
		// one that says that it is cold.
		s.unreachableAt = 0
	}
	if s.resetAt != 0 && now-s.resetAt >= maxAge {
		s.resetAt = 0
	}
	switch {
	case left > 0:
		s.statedUntil, s.startedAt = now+left, 0
	case known:
		s.statedUntil = 0
	case !initial:
		s.startedAt = now
	}
	t.update(s, now)
}

// Removed records that the entry of an instance was removed.
func (t *Tracker) Removed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.instances[id]; s != nil && s.removedAt == 0 {
		s.removedAt, s.cold = t.config.Now(), false
	}
}

// Unreachable records that an instance accepted no connection. It may have restarted, and
// counts as cold until the warm-up time has passed since it answered again, or until a
// later entry tells its state.
func (t *Tracker) Unreachable(id string, incarnation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.instances[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	now := t.config.Now()
	if now < t.distrustUntil {
		return
	}
	s.unreachableAt, s.answeredAt = now, 0
	if t.tooManySuspected(now) {
		t.distrustUntil = now + maxAbsence
		t.dropSuspicions(now)
		return
	}
	t.update(s, now)
}

// tooManySuspected reports whether more instances are suspected than the largest data
// centre has. Instances of one data centre may fail together; with more, the fault is
// probably on this daemon's side. The caller holds the lock.
func (t *Tracker) tooManySuspected(now time.Duration) bool {
	perDataCentre := map[string]int{}
	suspected, largest := 0, 0
	for _, s := range t.instances {
		if s.removedAt != 0 {
			continue
		}
		perDataCentre[s.DataCentre]++
		largest = max(largest, perDataCentre[s.DataCentre])
		if s.unreachableAt != 0 && now < s.unreachableAt+maxAbsence {
			suspected++
		}
	}
	return suspected > largest
}

// dropSuspicions ends all suspicions. The caller holds the lock.
func (t *Tracker) dropSuspicions(now time.Duration) {
	for _, s := range t.instances {
		if s.unreachableAt != 0 {
			s.unreachableAt, s.answeredAt = 0, 0
			t.update(s, now)
		}
	}
}

// Answered records that an instance has answered a request.
func (t *Tracker) Answered(id string, incarnation int64) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.instances[id]; s != nil && s.Incarnation == incarnation && s.unreachableAt != 0 && s.answeredAt == 0 {
		s.answeredAt = t.config.Now()
		t.update(s, s.answeredAt)
	}
}

// Reset makes all instances of a data centre count as cold for the warm-up times of their
// services, because the data centre takes requests again after it was emptied. Later
// entries tell the state of their instances.
func (t *Tracker) Reset(dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	for _, s := range t.instances {
		if s.DataCentre == dataCentre {
			s.resetAt = now
			t.update(s, now)
		}
	}
}

// Sweep reports the instances that have become warm to OnChange, forgets those that were
// removed long ago, and applies changes of the limits and of the fleet. It should be
// called about once per second.
func (t *Tracker) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale.Store(true)
	now := t.config.Now()
	active := false
	for id, s := range t.instances {
		if s.removedAt != 0 && now-s.removedAt > retention {
			delete(t.instances, id)
		}
		t.update(s, now)
		active = active || s.cold
	}
	t.active.Store(active)
}

// Cold returns the number of announced instances that count as cold.
func (t *Tracker) Cold() int {
	if !t.active.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	count, now := 0, t.config.Now()
	for _, s := range t.instances {
		if s.removedAt == 0 && now < s.until {
			count++
		}
	}
	return count
}

// coldUntil returns until when an instance counts as cold, and why.
func (s *instance) coldUntil() (until time.Duration, cause string) {
	if s.limits.Rate <= 0 {
		return 0, ""
	}
	until, cause = s.statedUntil, CauseStated
	later := func(other time.Duration, why string) {
		if other > until {
			until, cause = other, why
		}
	}
	if s.startedAt != 0 {
		later(s.startedAt+s.limits.Time, CauseStarted)
	}
	if s.resetAt != 0 {
		later(s.resetAt+s.limits.Time, CauseReset)
	}
	switch {
	case s.unreachableAt != 0 && s.answeredAt != 0:
		later(s.answeredAt+s.limits.Time, CauseUnreachable)
	case s.unreachableAt != 0:
		later(s.unreachableAt+maxAbsence+s.limits.Time, CauseUnreachable)
	}
	return until, cause
}

// update determines until when an instance is cold, and reports a change of an announced
// one to OnChange. The caller holds the lock.
func (t *Tracker) update(s *instance, now time.Duration) {
	if s.removedAt != 0 {
		return
	}
	if limits := t.config.Limits(s.Service); limits != s.limits {
		s.limits, s.generation = limits, 0
	}
	until, cause := s.coldUntil()
	s.until = until
	cold := now < until
	if cold {
		t.active.Store(true)
	}
	if cold == s.cold {
		return
	}
	s.cold = cold
	if cold {
		s.cause, s.since, s.generation = cause, now, 0
	}
	if t.config.OnChange != nil {
		t.config.OnChange(s.Instance, cold, s.cause, now-s.since)
	}
}
