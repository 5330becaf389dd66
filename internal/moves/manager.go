// Package moves runs the moves of traffic of one daemon: it changes the shares
// of routes, counts evidence, reports it to evaluators, judges it, spreads
// verdicts and records outcomes.
package moves

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// Parameters of the duty.
const (
	// tickInterval is the pause between two evaluations of the own counters.
	tickInterval = 250 * time.Millisecond
	// watchTime is how long a version is judged after its move is done.
	watchTime = time.Hour
	// Evaluators is the number of daemons that pool the counters of a move.
	Evaluators = 3
	// maxVerdicts bounds the verdicts kept for moves that aren't configured here.
	maxVerdicts = 1024
	// ownAlarm is the probability of a false alarm of all daemons' own judges
	// together over one move.
	ownAlarm = 0.003
)

// Options are the dependencies of a Manager.
type Options struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Self is the daemon ID.
	Self string
	// Config returns the configuration in force.
	Config func() *config.Snapshot
	// Ranked returns the first n alive daemons in the order of their hash for
	// a key.
	Ranked func(key string, n int) []membership.Member
	// Daemons returns the number of daemons.
	Daemons func() int
	// Client returns a client of a peer address.
	Client func(address string) (peerv1.PeerClient, error)
	// Broadcast sends an item to all daemons. It may block for seconds.
	Broadcast func(context.Context, *peerv1.Item)
	// Record stores an outcome; repeated calls must be harmless.
	Record func(ctx context.Context, name string, generation int64, state object.MoveState, evidence string) error
	// Chart is the chart "move".
	Chart *statechart.Chart
	// Jitter returns a number in [0, 1); random if nil.
	Jitter func() float64
}

// Manager is safe for concurrent use.
type Manager struct {
	options Options
	// view is read by the request path without a lock.
	view atomic.Pointer[view]
	wake chan struct{}
	work sync.WaitGroup // reports and records in progress

	mu       sync.Mutex
	entries  map[string]*entry // by move name
	verdicts map[key]move.Verdict
}

// key identifies one generation of a move.
type key struct {
	name       string
	generation int64
}

var (
	_ proxy.ShareModifier  = (*Manager)(nil)
	_ peer.EvidenceHandler = (*Manager)(nil)
)

// New returns a manager without moves. OnSnapshot feeds it.
func New(options Options) *Manager {
	if options.Jitter == nil {
		options.Jitter = randomJitter
	}
	m := &Manager{
		options: options, wake: make(chan struct{}, 1),
		entries: make(map[string]*entry), verdicts: make(map[key]move.Verdict),
	}
	m.view.Store(&view{})
	return m
}

// OnSnapshot takes the moves of a new configuration.
func (m *Manager) OnSnapshot(s *config.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	seen := make(map[string]bool)
	s.Set.Each(object.KindMove, func(o *object.Object) {
		spec, ok := o.Spec.(*object.Move)
		if !ok {
			return
		}
		seen[o.Metadata.Name] = true
		m.configure(s, now, o.Metadata.Name, spec)
	})
	for name := range m.entries {
		if !seen[name] {
			delete(m.entries, name)
		}
	}
	m.rebuild()
	m.notify()
}

// configure creates or updates the entry of a move.
func (m *Manager) configure(s *config.Snapshot, now time.Time, name string, spec *object.Move) {
	e := m.entries[name]
	if e == nil || e.key.generation != spec.Generation {
		e = m.newEntry(key{name, spec.Generation}, spec)
		m.entries[name] = e
	}
	e.spec = spec
	e.routes = len(s.Routes(spec.Service))
	e.setUpstreams(upstreamCount(s, spec.To))
	switch spec.State {
	case object.MoveTakenBack:
		m.merge(e.key, move.Verdict{Outcome: move.TakenBack, Decided: now, Evidence: spec.Evidence})
	case object.MoveDone:
		m.merge(e.key, move.Verdict{Outcome: move.Done, Decided: now, Evidence: spec.Evidence})
	case object.MoveCancelled:
		e.fire(m.options.Log, "cancel")
	}
}

func upstreamCount(s *config.Snapshot, version string) int {
	spec, _, ok := object.Lookup[*object.Version](s.Set, object.KindVersion, version)
	if !ok {
		return 0
	}
	return len(s.Upstreams(spec.Selector))
}

// merge combines a verdict with the known one and reports whether it changed
// what the daemon does. The caller holds mu and rebuilds the view.
func (m *Manager) merge(k key, v move.Verdict) bool {
	before := m.verdicts[k]
	after := before.Merge(v)
	if after.Outcome == before.Outcome && after.Proved.Equal(before.Proved) {
		return false
	}
	if before.Outcome == move.Unproved && len(m.verdicts) >= maxVerdicts {
		m.evictVerdict()
	}
	m.verdicts[k] = after
	if e := m.entries[k.name]; e != nil && e.key == k && after.Outcome == move.TakenBack {
		e.fire(m.options.Log, "take_back")
	}
	return true
}

// evictVerdict drops the verdict with the lowest generation that no configured
// move needs.
func (m *Manager) evictVerdict() {
	oldest, found := key{}, false
	for k := range m.verdicts {
		if e := m.entries[k.name]; e != nil && e.key == k {
			continue
		}
		if !found || k.generation < oldest.generation {
			oldest, found = k, true
		}
	}
	delete(m.verdicts, oldest)
}

// share is the percentage of the new version by the ramp.
func (m *Manager) share(e *entry, now time.Time) float64 {
	return e.ramp.Share(now, m.verdicts[e.key])
}

func (m *Manager) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run evaluates, reports and records until ctx ends. It is a duty.
func (m *Manager) Run(ctx context.Context) error {
	defer m.work.Wait()
	ticker := m.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case <-m.wake:
		}
		m.tick(ctx)
	}
}

// tick makes one round of the duty.
func (m *Manager) tick(ctx context.Context) {
	now := m.options.Clock.Now()
	daemons := m.options.Daemons()
	m.mu.Lock()
	var announce []*peerv1.Verdict
	for _, e := range m.entries {
		e.progress(m, now)
		if !e.judged(now) {
			continue
		}
		e.judgeOwn(now, m.share(e, now), daemons)
		if v, ok := m.decide(e, now); ok {
			announce = append(announce, v)
		}
	}
	if len(announce) > 0 {
		m.rebuild()
	}
	reports := m.dueReports(now, daemons)
	records := m.dueRecords(now)
	m.mu.Unlock()
	for _, v := range announce {
		m.announce(ctx, v)
	}
	for _, r := range reports {
		m.work.Go(func() { m.send(ctx, r) })
	}
	for _, r := range records {
		m.work.Go(func() { m.record(ctx, r) })
	}
}
