package fleet

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
)

// Instance is an upstream instance with its load. Its fields are guarded by
// the set's lock.
type Instance struct {
	Description
	// LeftAt is when the instance announced to leave; zero if it hasn't.
	LeftAt time.Time
	// SeenAt is when the instance appeared.
	SeenAt time.Time

	inflight int
	prefill  int     // prompt tokens of requests without a first event
	weight   float64 // of its health
	// displaced means that another instance answered at its address.
	displaced bool
	elsewhere
}

// elsewhere is the load that other daemons report.
type elsewhere struct {
	inflightThere int
	prefillThere  int
}

// Set is the daemon's view of all instances. It is safe for concurrent use.
type Set struct {
	clock   clockwork.Clock
	log     *slog.Logger
	tracker *health.Tracker
	// OnGone is called when an instance leaves the set. It must not block.
	OnGone func(id string)
	// Daemons returns the number of daemons that choose among the instances;
	// nil means one.
	Daemons func() int

	mu        sync.Mutex
	instances map[string]*Instance
	byService map[string][]*Instance
	addresses map[string]string // address to the ID that uses it
}

// NewSet returns an empty set.
func NewSet(clock clockwork.Clock, log *slog.Logger) *Set {
	s := &Set{
		clock: clock, log: log,
		instances: map[string]*Instance{}, byService: map[string][]*Instance{}, addresses: map[string]string{},
	}
	s.tracker = health.New(health.Config{Clock: clock, OnChange: s.healthChanged})
	return s
}

// healthChanged stores the weight of an instance. The tracker calls it under
// its lock, and the set never calls the tracker under its own.
func (s *Set) healthChanged(id string, status health.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.instances[id]; i != nil {
		if i.weight != status.Weight {
			s.log.Info("instance health changed", "instance", id, "service", i.Service,
				"weight", status.Weight, "reason", status.Reason.String())
		}
		i.weight = status.Weight
	}
}

// Put adds an instance or replaces its description. A leaving instance stays
// leaving until it restarts.
func (s *Set) Put(d Description) {
	s.mu.Lock()
	old := s.instances[d.ID]
	if old != nil && old.Leaving && !d.Leaving && old.Incarnation == d.Incarnation {
		d.Leaving, d.LeavesIn = true, old.LeavesIn
	}
	now := s.clock.Now()
	if old == nil || old.Incarnation != d.Incarnation || old.Address != d.Address {
		old = &Instance{SeenAt: now, weight: 1}
		s.instances[d.ID] = old
	}
	if d.Leaving && old.LeftAt.IsZero() {
		old.LeftAt = now
	}
	old.Description = d
	old.displaced = false
	s.addresses[d.Address] = d.ID
	s.index()
	s.mu.Unlock()
	s.log.Info("instance announced", "instance", d.ID, "service", d.Service, "data_centre", d.DataCentre,
		"version", d.Version, "leaving", d.Leaving, "reclaimable", d.Reclaimable)
	s.syncHealth()
}

// Displaced records that another instance answered at the address of the given
// one. It gets no more requests until it is announced again: an instance that
// restarts while it cannot reach the store keeps its old entry for seconds, and
// each request sent there uses up the retry budget.
func (s *Set) Displaced(id string) {
	s.mu.Lock()
	i := s.instances[id]
	first := i != nil && !i.displaced
	if first {
		i.displaced = true
	}
	s.mu.Unlock()
	if first {
		s.log.Info("instance displaced", "instance", id, "service", i.Service, "address", i.Address)
	}
}

// Remove forgets an instance.
func (s *Set) Remove(id string) {
	s.mu.Lock()
	d, known := s.instances[id]
	delete(s.instances, id)
	s.index()
	s.mu.Unlock()
	if !known {
		return
	}
	s.log.Info("instance gone", "instance", id, "service", d.Service)
	s.syncHealth()
	if s.OnGone != nil {
		s.OnGone(id)
	}
}

// index rebuilds the lists by service. The caller holds the lock.
func (s *Set) index() {
	s.byService = map[string][]*Instance{}
	for _, i := range s.instances {
		s.byService[i.Service] = append(s.byService[i.Service], i)
	}
}

func (s *Set) syncHealth() {
	s.mu.Lock()
	members := make([]health.Member, 0, len(s.instances))
	for _, i := range s.instances {
		members = append(members, health.Member{
			Name: i.ID, Service: i.Service, Version: i.Version, DataCentre: i.DataCentre, Incarnation: i.SeenAt.String(),
		})
	}
	s.mu.Unlock()
	s.tracker.Sync(members)
}

// Evaluate refreshes the health of all instances. Call it about once a second.
func (s *Set) Evaluate() { s.tracker.Evaluate() }

// Observe records the outcome of an attempt. expected scales the latency of
// requests that differ in size.
func (s *Set) Observe(id string, failed bool, latency, expected time.Duration) {
	outcome := health.Outcome{Failed: failed}
	if expected > 0 {
		outcome.Latency = time.Duration(float64(latency) / float64(expected) * float64(time.Second))
	}
	s.tracker.Observe(id, outcome)
}

// Snapshot returns copies of the instances of a service; all if it is empty.
func (s *Set) Snapshot(service string) []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Instance
	for _, i := range s.instances {
		if service == "" || i.Service == service {
			list = append(list, *i)
		}
	}
	return list
}

// Load is the load that a daemon puts on an instance.
type Load struct{ Inflight, Prefill int }

// Loads returns this daemon's load by instance ID, without idle instances.
func (s *Set) Loads() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]Load{}
	for id, i := range s.instances {
		if i.inflight > 0 {
			loads[id] = Load{Inflight: i.inflight, Prefill: i.prefill}
		}
	}
	return loads
}

// SetElsewhere records the load that other daemons put on the instances.
func (s *Set) SetElsewhere(loads map[string]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, i := range s.instances {
		l := loads[id]
		i.elsewhere = elsewhere{inflightThere: l.Inflight, prefillThere: l.Prefill}
	}
}
