package upstreams

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

const (
	// maxParallelChecks bounds the health checks that run at the same time.
	maxParallelChecks = 32
	// maxChecksPerSecond bounds the rate of a daemon's health checks. A check costs
	// about 160 bytes and 250 µs of CPU time, so that 20 per second take a quarter
	// of the limits for control traffic, which are 14 KB/s and 4.7% of a core. The
	// health of upstreams in use also follows from their replies.
	maxChecksPerSecond = 20
)

// Checker runs active health checks.
type Checker interface {
	// Check returns nil if the upstream at the address (ip:port) is healthy.
	Check(ctx context.Context, address string) error
}

// Monitor runs active health checks and reads the load reports of engines.
type Monitor struct {
	Directory *Directory
	Engine    engine.Engine
	Checker   Checker
	// Interval is the time between two rounds of checks. An upstream is checked in
	// each round, or less often if maxChecksPerSecond requires it.
	Interval time.Duration
	// LoadInterval is the minimum time between two reads of one upstream's load
	// report.
	LoadInterval time.Duration

	next int // index of the first target of the next round
}

// target is an upstream to check.
type target struct {
	name, address string
	protocol      object.Protocol
}

func (d *Directory) targets() []target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]target, 0, len(d.entries))
	for name, e := range d.entries {
		list = append(list, target{name, e.spec.Address, e.protocol})
	}
	return list
}

// RunChecks runs a round of checks in each interval until ctx ends. For a model
// engine a read of its load report counts as a check.
func (m *Monitor) RunChecks(ctx context.Context) error {
	ticker := m.Directory.options.Clock.NewTicker(m.Interval)
	defer ticker.Stop()
	lastLoad := make(map[string]time.Time)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			m.checkRound(ctx, lastLoad)
			m.Directory.Refresh()
		}
	}
}

// checkRound checks the targets of one round. lastLoad has the time of the last
// read of a load report by upstream name.
func (m *Monitor) checkRound(ctx context.Context, lastLoad map[string]time.Time) {
	var group errgroup.Group
	group.SetLimit(maxParallelChecks)
	now := m.Directory.options.Clock.Now()
	for _, t := range m.nextTargets() {
		readLoad := now.Sub(lastLoad[t.name]) >= m.LoadInterval
		if readLoad {
			lastLoad[t.name] = now
		}
		group.Go(func() error {
			m.check(ctx, t, readLoad)
			return nil
		})
	}
	_ = group.Wait()
}

// nextTargets returns the targets of this round: all of them, or the next ones in
// rotation if there are more than maxChecksPerSecond allows.
func (m *Monitor) nextTargets() []target {
	targets := m.Directory.targets()
	slices.SortFunc(targets, func(a, b target) int { return strings.Compare(a.name, b.name) })
	limit := max(1, int(maxChecksPerSecond*m.Interval.Seconds()))
	if len(targets) <= limit {
		return targets
	}
	begin := m.next % len(targets)
	m.next = begin + limit
	rotated := append(targets[begin:], targets[:begin]...)
	return rotated[:limit]
}

func (m *Monitor) check(ctx context.Context, t target, readLoad bool) {
	ctx, cancel := context.WithTimeout(ctx, m.Interval)
	defer cancel()
	if t.protocol != object.ProtocolOpenAI || !readLoad {
		m.Directory.tracker.ObserveActive(t.name, m.Checker.Check(ctx, t.address) == nil)
		return
	}
	load, err := m.Engine.Load(ctx, t.address)
	m.Directory.tracker.ObserveActive(t.name, err == nil)
	if err == nil {
		m.Directory.observeLoadReport(t, load)
	}
}

// observeLoadReport records the load report of an engine.
func (d *Directory) observeLoadReport(t target, load engine.Load) {
	d.mu.RLock()
	e := d.entries[t.name]
	d.mu.RUnlock()
	if e == nil {
		return
	}
	e.candidate.SetReportedLoad(routing.Load{
		Running: load.Running, Waiting: load.Waiting, At: d.options.Clock.Now(),
	})
	if load.Leaving {
		d.Leave(Notice{
			Upstream: t.name, Address: t.address, Signal: health.SignalRefusal,
			Observed: d.options.Clock.Now(),
		})
	}
}
