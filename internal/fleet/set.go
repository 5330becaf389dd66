package fleet

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
)

// Instance is an upstream instance with its load. Its fields are guarded by
// the set's lock.
type Instance struct {
	Description
	// LeavingSince is when the instance announced that it is leaving; zero if it
	// has not.
	LeavingSince time.Time
	// AddedAt is when this incarnation was added to the set.
	AddedAt time.Time

	inflight int     // requests of this daemon that are running
	prefill  int     // prompt tokens of this daemon's requests without a first event
	weight   float64 // health weight; 0 if ejected
	// displaced means that another instance answered at its address.
	displaced bool
	// pausedUntil is the end of the pause that the instance asked for.
	pausedUntil time.Time
	remoteLoad
	measuredSpeed
	fragility fragility

	idHash   uint64 // LoadKey of the ID
	position int    // in the list of its service
}

// remoteLoad is the load that other daemons report for an instance.
type remoteLoad struct {
	remoteInflight int
	remotePrefill  int
}

// Set is the daemon's view of all instances. It is safe for concurrent use.
type Set struct {
	clock   clockwork.Clock
	log     *slog.Logger
	tracker *health.Tracker
	// OnRemove is called after an instance is removed. It must not block.
	OnRemove func(id string)
	// DaemonCount returns the number of daemons that pick from the same
	// instances; nil means one.
	DaemonCount func() int
	// Constraints withhold requests from instances. They are set before the first Pick.
	Constraints []Constraint
	// restraints are those of them that AddConstraint found to be a Restraint.
	restraints []Restraint

	// applying is held while a list of changes is applied to the set and the tracker.
	applying sync.Mutex

	mu        sync.Mutex
	instances map[string]*Instance
	byHash    map[uint64]*Instance // by LoadKey
	byService map[string][]*Instance
	addresses map[string]string      // address to the ID of the instance that owns it
	claims    map[string][]*Instance // address to the instances announced with it
	notices   map[string]*notice     // by instance ID
	remote    map[uint64]remoteLoad  // by LoadKey, without idle instances
	times     serviceTimes
	fragile   map[string]*fragileService // by service
	// noticesSweptAt is when old notices were last dropped.
	noticesSweptAt time.Time
	// loadReports counts the updates of the loads that other daemons cause.
	loadReports  uint64
	loadReportAt time.Time // when the last of them came
}

// NewSet returns an empty set.
func NewSet(clock clockwork.Clock, log *slog.Logger) *Set {
	s := &Set{
		clock: clock, log: log,
		instances: map[string]*Instance{}, byHash: map[uint64]*Instance{}, byService: map[string][]*Instance{},
		addresses: map[string]string{}, claims: map[string][]*Instance{}, notices: map[string]*notice{}, remote: map[uint64]remoteLoad{},
		fragile: map[string]*fragileService{},
	}
	s.tracker = health.New(health.Config{Clock: clock, OnChange: s.healthChanged})
	return s
}

// healthChanged stores the health weight of an instance. The tracker calls it
// while it holds its own lock, so the set must not call the tracker while it
// holds s.mu: that would be a deadlock.
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

// MarkDisplaced records that another instance answered at the address of the
// given one. The given instance gets no requests until it is announced again:
// when an instance restarts while it cannot reach the store, its old entry stays
// for seconds, and each request sent there draws on the retry budget.
func (s *Set) MarkDisplaced(id string) {
	s.mu.Lock()
	i := s.instances[id]
	first := i != nil && !i.displaced
	if first {
		i.displaced = true
		s.releaseAddress(i)
	}
	s.mu.Unlock()
	if first {
		s.log.Info("instance displaced", "instance", id, "service", i.Service, "address", i.Address)
	}
}

// Evaluate refreshes the health of all instances. It should be called about once
// per second.
func (s *Set) Evaluate() { s.tracker.Evaluate() }

// Observe records the outcome of an attempt. If expected is not 0, the latency is
// recorded relative to it, as seconds per expected second, so that requests of
// different sizes are comparable.
func (s *Set) Observe(id string, failed bool, latency, expected time.Duration) {
	outcome := health.Outcome{Failed: failed}
	if expected > 0 {
		outcome.Latency = time.Duration(float64(latency) / float64(expected) * float64(time.Second))
	}
	s.tracker.Observe(id, outcome)
}

// Snapshot returns copies of the instances of a service, or of all instances if
// service is empty.
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

// Versions returns the versions of the instances of a service that are not leaving.
func (s *Set) Versions(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var versions []string
	for _, i := range s.byService[service] {
		if !i.Leaving && !slices.Contains(versions, i.Version) {
			versions = append(versions, i.Version)
		}
	}
	return versions
}

// Sample returns the addresses of up to n random instances that are expected to serve, of
// as many services as possible.
func (s *Set) Sample(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make([][]*Instance, 0, len(s.byService))
	for _, list := range s.byService { // in random order
		services = append(services, list)
	}
	var addresses []string
	for tries := 0; tries < 4 && len(addresses) < n; tries++ {
		for _, list := range services {
			if len(list) == 0 || len(addresses) == n {
				continue
			}
			i := list[rand.N(len(list))]
			if !i.Leaving && !i.displaced && !slices.Contains(addresses, i.Address) {
				addresses = append(addresses, i.Address)
			}
		}
	}
	return addresses
}

// Owns reports whether an announced instance has the address.
func (s *Set) Owns(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, owned := s.addresses[address]
	return owned
}
