// Package moves carries out moves of traffic between versions on one daemon. It
// adjusts the shares of routes, counts requests of both versions as evidence,
// reports the counters to the evaluators, compares the versions, sends verdicts to
// all daemons and records outcomes in the store. Package move holds the rules.
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

// Parameters of the manager.
const (
	// tickInterval is the time between two evaluations of this daemon's counters.
	tickInterval = 250 * time.Millisecond
	// watchTime is how long the new version is still judged after the ramp is
	// complete.
	watchTime = time.Hour
	// Evaluators is the number of daemons per move that combine the counters of all
	// daemons.
	Evaluators = 3
	// maxVerdicts is the number of verdicts above which those of moves that aren't in
	// the configuration are evicted.
	maxVerdicts = 1024
	// ownFalseAlarmProbability bounds the probability that any daemon raises a false
	// alarm from its own counters during one move.
	ownFalseAlarmProbability = 0.003
)

// Options are the dependencies of a Manager.
type Options struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Self is the daemon ID.
	Self string
	// Config returns the current configuration.
	Config func() *config.Snapshot
	// Ranked returns the first n live daemons in the order of their hash for a key.
	// The first ones for the name of a move are its evaluators.
	Ranked func(key string, n int) []membership.Member
	// Daemons returns the number of live daemons.
	Daemons func() int
	// Client returns a client for a peer address (ip:port).
	Client func(address string) (peerv1.PeerClient, error)
	// Broadcast sends an item to all daemons. It may block for seconds.
	Broadcast func(context.Context, *peerv1.Item)
	// Record stores the outcome of a move. It must be idempotent.
	Record func(ctx context.Context, name string, generation int64, state object.MoveState, evidence string) error
	// Chart is the state chart "move".
	Chart *statechart.Chart
	// Jitter returns a number in [0, 1); random if nil.
	Jitter func() float64
}

// Manager carries out the moves in the configuration on one daemon. It is safe for
// concurrent use.
type Manager struct {
	options Options
	// view is read by the request path without a lock.
	view atomic.Pointer[view]
	wake chan struct{}  // makes Run tick at once
	work sync.WaitGroup // calls to evaluators and to the store in progress

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

// New returns a manager without moves. OnSnapshot adds them.
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

// OnSnapshot applies the moves of a new configuration.
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
	m.wakeRun()
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

// upstreamCount returns the number of upstreams of a version.
func upstreamCount(s *config.Snapshot, version string) int {
	spec, _, ok := object.Lookup[*object.Version](s.Set, object.KindVersion, version)
	if !ok {
		return 0
	}
	return len(s.Upstreams(spec.Selector))
}

// merge combines a verdict with the known one and reports whether the outcome or
// the time of the proof changed. The caller holds mu and, if so, calls rebuild.
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

// evictVerdict drops the verdict with the lowest generation among those that belong
// to no move in the configuration.
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

// share returns the percentage of the new version by the ramp and the verdict.
func (m *Manager) share(e *entry, now time.Time) float64 {
	return e.ramp.Share(now, m.verdicts[e.key])
}

// wakeRun makes Run tick without waiting for the ticker.
func (m *Manager) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run evaluates counters, sends reports and records outcomes until ctx ends. It is
// run as a duty.
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

// tick does one round of the work of Run.
func (m *Manager) tick(ctx context.Context) {
	now := m.options.Clock.Now()
	daemons := m.options.Daemons()
	m.mu.Lock()
	var announce []*peerv1.Verdict
	for _, e := range m.entries {
		e.fireDueEvents(m, now)
		if !e.isJudged(now) {
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
		m.work.Go(func() { m.sendReport(ctx, r) })
	}
	for _, r := range records {
		m.work.Go(func() { m.recordOutcome(ctx, r) })
	}
}
