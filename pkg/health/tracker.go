package health

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Tracker tracks the health of a daemon's upstreams. It is safe for concurrent
// use.
type Tracker struct {
	config Config

	mu      sync.Mutex
	members map[string]*state
	sets    map[setKey][]*state // by service and version
	// notices outlives members, because an instance list that lags may list a
	// leaving upstream again.
	notices *simplelru.LRU[string, notice]
	watches map[*Watch]struct{}
}

type setKey struct{ service, version string }

// state is the mutable record of one member.
type state struct {
	Member
	window      window
	consecutive int
	latency     float64 // smoothed, seconds; 0 means not measured
	samples     int

	activeBad, activeGood int
	activeDown            bool

	wanted    Reason
	fault     Fault
	until     time.Time // end of the ejection
	ejections int
	ejected   bool
	slowFrom  time.Time // start of slow start; zero means none
	published Status
}

// New returns a tracker without members.
func New(config Config) *Tracker {
	notices, err := simplelru.NewLRU[string, notice](maxNotices, nil)
	if err != nil {
		panic(err) // only returned for a capacity below 1
	}
	return &Tracker{
		config:  config.withDefaults(),
		members: make(map[string]*state), sets: make(map[setKey][]*state),
		notices: notices, watches: make(map[*Watch]struct{}),
	}
}

// Sync replaces the set of members. Members that stay keep their state unless
// their incarnation changed; a new incarnation begins with slow start.
func (t *Tracker) Sync(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock.Now()
	next := make(map[string]*state, len(members))
	sets := make(map[setKey][]*state)
	for _, m := range members {
		s := t.members[m.Name]
		if s == nil || s.Incarnation != m.Incarnation {
			restarted := s != nil
			s = &state{Member: m}
			if restarted {
				s.slowFrom = now
			}
		}
		s.Member = m
		next[m.Name] = s
		t.bindNotice(m)
		key := setKey{m.Service, m.Version}
		sets[key] = append(sets[key], s)
	}
	t.members, t.sets = next, sets
	t.settle(now)
}

// Observe records the outcome of an attempt. Unknown names are ignored.
func (t *Tracker) Observe(name string, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.members[name]
	if s == nil {
		return
	}
	now := t.config.Clock.Now()
	s.window.add(now, t.config.Window, o.Failed)
	if !o.Failed {
		s.consecutive = 0
		s.observeLatency(o.Latency)
		return
	}
	s.consecutive++
	if s.consecutive >= t.config.ConsecutiveFailures && t.want(s, ReasonConsecutive, now) {
		t.settle(now)
	}
}

// latencySmoothing is the weight of a new latency sample.
const latencySmoothing = 0.1

func (s *state) observeLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	s.samples++
	if s.latency == 0 {
		s.latency = latency.Seconds()
		return
	}
	s.latency += latencySmoothing * (latency.Seconds() - s.latency)
}

// ObserveActive records the result of a health probe. Unknown names are
// ignored.
func (t *Tracker) ObserveActive(name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.members[name]
	if s == nil {
		return
	}
	now := t.config.Clock.Now()
	if !ok {
		s.activeGood = 0
		if s.activeBad++; s.activeBad >= t.config.ActiveFailures {
			s.activeDown = true
			if t.want(s, ReasonActive, now) {
				t.settle(now)
			}
		}
		return
	}
	s.activeBad = 0
	if s.activeGood++; s.activeDown && s.activeGood >= t.config.ActiveSuccesses {
		s.activeDown = false
		if s.wanted == ReasonActive {
			s.until = now
		}
		t.settle(now)
	}
}

// want requests an ejection. A running one keeps its end but may become more
// severe. The result tells whether anything changed.
func (t *Tracker) want(s *state, reason Reason, now time.Time) bool {
	if s.wanted != ReasonNone {
		more := reason > s.wanted
		s.wanted = max(s.wanted, reason)
		return more
	}
	s.wanted, s.fault = reason, FaultInstance
	s.slowFrom = time.Time{}
	s.ejections++
	length := t.config.BaseEjection << min(s.ejections-1, 16)
	if length > t.config.MaxEjection || length <= 0 {
		length = t.config.MaxEjection
	}
	s.until = now.Add(length)
	return true
}

// Status returns the status of an upstream and whether it is a member. For an
// unknown name only the leaving fields are set.
func (t *Tracker) Status(name string) (Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.members[name]
	if s == nil {
		n, ok := t.notices.Peek(name)
		if !ok {
			return Status{}, false
		}
		return Status{Leaving: n.signal, LeavingSince: n.at}, false
	}
	return t.status(s, t.config.Clock.Now()), true
}

func (t *Tracker) status(s *state, now time.Time) Status {
	st := Status{Weight: 1, Reason: s.wanted, Fault: s.fault}
	st.Panicked = s.wanted != ReasonNone && !s.ejected
	if n, ok := t.notices.Peek(s.Name); ok && n.covers(s.Incarnation) {
		st.Leaving, st.LeavingSince = n.signal, n.at
	}
	switch {
	case st.Leaving != "" || s.ejected:
		st.Weight = 0
	case !s.slowFrom.IsZero():
		done := float64(now.Sub(s.slowFrom)) / float64(t.config.SlowStart)
		floor := t.config.SlowStartFloor
		st.Weight = min(1, floor+(1-floor)*max(0, done))
	}
	return st
}

// Evaluate ends ejections, compares peers, detects frozen streams and
// publishes changes. Call it about once per second.
func (t *Tracker) Evaluate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock.Now()
	t.checkWatches(now)
	for _, set := range t.sets {
		t.checkSet(set, now)
	}
	for _, s := range t.members {
		t.expire(s, now)
	}
	t.checkDataCentres()
	t.settle(now)
}

// expire ends an ejection whose time is over unless probes still fail, and
// forgets earlier ejections after a healthy MaxEjection.
func (t *Tracker) expire(s *state, now time.Time) {
	if s.wanted != ReasonNone && !now.Before(s.until) && !s.activeDown {
		s.wanted, s.fault = ReasonNone, FaultNone
		s.consecutive, s.window, s.latency, s.samples = 0, window{}, 0, 0
		s.slowFrom = now
	}
	if !s.slowFrom.IsZero() && now.Sub(s.slowFrom) >= t.config.SlowStart {
		s.slowFrom = time.Time{}
	}
	if s.wanted == ReasonNone && s.ejections > 0 && now.Sub(s.until) >= t.config.MaxEjection {
		s.ejections = 0
	}
}
