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

	mu       sync.Mutex
	members  map[string]*state
	versions map[versionKey]*versionSet // members by service and version
	// notices are kept when members are removed, because an outdated instance
	// list may contain a leaving upstream again.
	notices *simplelru.LRU[string, notice]
	watches map[*Watch]struct{}
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// versionSet holds the members of one version.
type versionSet struct {
	members   []*state
	requested int // members whose ejection is requested
}

// state is the mutable record of one member.
type state struct {
	Member
	set         *versionSet
	position    int // in set.members
	window      window
	consecutive int     // consecutive failed requests
	latency     float64 // smoothed, in seconds; 0 means not measured
	samples     int     // number of latency samples

	// Consecutive results of probes.
	probeFailures, probeSuccesses int
	// probesFailing is true from ActiveFailures failed probes until
	// ActiveSuccesses successful ones.
	probesFailing bool

	// ejectionReason is set while an ejection is requested; ejected tells
	// whether the panic threshold allows it.
	ejectionReason Reason
	fault          Fault
	ejectedUntil   time.Time
	ejectionCount  int // recent ejections, for the duration of the next one
	ejected        bool
	slowStartBegin time.Time // zero means no slow start
	published      Status    // last status given to OnChange
}

// New returns a tracker without members.
func New(config Config) *Tracker {
	notices, err := simplelru.NewLRU[string, notice](maxNotices, nil)
	if err != nil {
		panic(err) // only returned for a capacity below 1
	}
	return &Tracker{
		config:  config.withDefaults(),
		members: make(map[string]*state), versions: make(map[versionKey]*versionSet),
		notices: notices, watches: make(map[*Watch]struct{}),
	}
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
	if s.consecutive >= t.config.ConsecutiveFailures && t.requestEjection(s, ReasonConsecutive, now) {
		t.applyEjections(now)
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
		s.probeSuccesses = 0
		if s.probeFailures++; s.probeFailures >= t.config.ActiveFailures {
			s.probesFailing = true
			if t.requestEjection(s, ReasonActive, now) {
				t.applyEjections(now)
			}
		}
		return
	}
	s.probeFailures = 0
	if s.probeSuccesses++; s.probesFailing && s.probeSuccesses >= t.config.ActiveSuccesses {
		s.probesFailing = false
		if s.ejectionReason == ReasonActive {
			s.ejectedUntil = now
		}
		t.applyEjections(now)
	}
}

// requestEjection requests an ejection. If one is already requested, its end
// stays, but its reason may become more severe. The result reports whether
// anything changed.
func (t *Tracker) requestEjection(s *state, reason Reason, now time.Time) bool {
	if s.ejectionReason != ReasonNone {
		moreSevere := reason > s.ejectionReason
		s.ejectionReason = max(s.ejectionReason, reason)
		return moreSevere
	}
	s.ejectionReason, s.fault = reason, FaultInstance
	s.set.requested++
	s.slowStartBegin = time.Time{}
	s.ejectionCount++
	duration := t.config.BaseEjection << min(s.ejectionCount-1, 16)
	if duration > t.config.MaxEjection || duration <= 0 {
		duration = t.config.MaxEjection
	}
	s.ejectedUntil = now.Add(duration)
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
	st := Status{Weight: 1, Reason: s.ejectionReason, Fault: s.fault}
	st.EjectionPrevented = s.ejectionReason != ReasonNone && !s.ejected
	if n, ok := t.notices.Peek(s.Name); ok && n.appliesTo(s.Incarnation) {
		st.Leaving, st.LeavingSince = n.signal, n.at
	}
	switch {
	case st.Leaving != "" || s.ejected:
		st.Weight = 0
	case !s.slowStartBegin.IsZero():
		elapsed := float64(now.Sub(s.slowStartBegin)) / float64(t.config.SlowStart)
		floor := t.config.SlowStartFloor
		st.Weight = min(1, floor+(1-floor)*max(0, elapsed))
	}
	return st
}

// Evaluate detects frozen streams, compares the members of each version, ends
// ejections, attributes failures to data centres and publishes changed statuses.
// Call it about once per second.
func (t *Tracker) Evaluate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Clock.Now()
	t.checkWatches(now)
	for _, set := range t.versions {
		t.checkVersion(set.members, now)
	}
	for _, s := range t.members {
		t.endEjection(s, now)
	}
	t.checkDataCentres()
	t.applyEjections(now)
}

// endEjection ends an ejection whose time is over unless probes still fail, and
// then starts slow start. It ends a slow start whose time is over, and resets the
// number of ejections when none has been requested for MaxEjection since the end
// of the last one.
func (t *Tracker) endEjection(s *state, now time.Time) {
	if s.ejectionReason != ReasonNone && !now.Before(s.ejectedUntil) && !s.probesFailing {
		s.ejectionReason, s.fault = ReasonNone, FaultNone
		s.set.requested--
		s.consecutive, s.window, s.latency, s.samples = 0, window{}, 0, 0
		s.slowStartBegin = now
	}
	if !s.slowStartBegin.IsZero() && now.Sub(s.slowStartBegin) >= t.config.SlowStart {
		s.slowStartBegin = time.Time{}
	}
	if s.ejectionReason == ReasonNone && s.ejectionCount > 0 && now.Sub(s.ejectedUntil) >= t.config.MaxEjection {
		s.ejectionCount = 0
	}
}
