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
	// parallelChecks bounds the health checks that run at once.
	parallelChecks = 32
	// checksPerSecond bounds the checks of a daemon. A check costs about 160
	// bytes and 250 µs, so that 20 a second take a quarter of the control
	// limits of 14 KB/s and 4.7% of a core. Upstreams in use are also judged by
	// their replies.
	checksPerSecond = 20
)

// Checker asks an upstream whether it is alive.
type Checker interface {
	// Check returns nil if the upstream answers.
	Check(ctx context.Context, address string) error
}

// Monitor runs active health checks and reads load reports.
type Monitor struct {
	Directory *Directory
	Engine    engine.Engine
	Checker   Checker
	// Interval is the time between two checks of one upstream.
	Interval time.Duration
	// LoadInterval is the time between two readings of a load report.
	LoadInterval time.Duration

	next int // index of the next target in turn
}

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

// RunChecks checks every upstream of the directory in each interval until ctx
// ends. An engine is checked by its load report.
func (m *Monitor) RunChecks(ctx context.Context) error {
	ticker := m.Directory.options.Clock.NewTicker(m.Interval)
	defer ticker.Stop()
	lastLoad := make(map[string]time.Time)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			m.round(ctx, lastLoad)
			m.Directory.Refresh()
		}
	}
}

func (m *Monitor) round(ctx context.Context, lastLoad map[string]time.Time) {
	var group errgroup.Group
	group.SetLimit(parallelChecks)
	now := m.Directory.options.Clock.Now()
	for _, t := range m.due() {
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

// due returns the targets of this round: all of them, or the next ones in turn
// if they are more than the rate of checks allows.
func (m *Monitor) due() []target {
	targets := m.Directory.targets()
	slices.SortFunc(targets, func(a, b target) int { return strings.Compare(a.name, b.name) })
	limit := max(1, int(checksPerSecond*m.Interval.Seconds()))
	if len(targets) <= limit {
		return targets
	}
	begin := m.next % len(targets)
	m.next = begin + limit
	turn := append(targets[begin:], targets[:begin]...)
	return turn[:limit]
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
		m.Directory.observeReport(t, load)
	}
}

func (d *Directory) observeReport(t target, load engine.Load) {
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
