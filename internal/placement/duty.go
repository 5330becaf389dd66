// Package placement executes the plans of pkg/placement on the daemon that holds
// the placement lease: it starts and stops instances through the cloud API, orders
// engines to load models and change roles, and creates and deletes the upstream
// objects of the instances that it started.
package placement

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

const (
	// Name is the name of the duty.
	Name = "placement"
	// LeaseKey is the store key of the lease.
	LeaseKey = "/rudder/leases/placement"
	// Candidates is the number of daemons that campaign for the lease.
	Candidates = 3
	// DefaultInterval is the time between two plans.
	DefaultInterval = 3 * time.Second
	// callTimeout limits the reading of the state, and each action.
	callTimeout = 3 * time.Second
	// wakeDelay is the time from a wake-up to the plan, so that notices that arrive
	// together lead to one plan.
	wakeDelay = 200 * time.Millisecond
	// roleBoth is the role of an engine that does both prefill and decoding.
	roleBoth = "both"
)

// Engines is the part of engine.Engine that placement uses.
type Engines interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	Control(ctx context.Context, address string, order engine.ControlOrder) error
	ControlState(ctx context.Context, address string) (engine.ControlState, error)
}

// Objects writes configuration objects.
type Objects interface {
	Apply(ctx context.Context, actor config.Actor, objects []*object.Object) (config.ApplyResult, error)
	Delete(ctx context.Context, actor config.Actor, ref object.Ref, revision int64) (int64, error)
}

// Directory is the part of upstreams.Directory that placement uses.
type Directory interface {
	Usage() []upstreams.Usage
	NoticeOf(upstream string) (upstreams.Notice, bool)
	Leave(n upstreams.Notice)
}

// Lease returns the fencing token, or 0 while this daemon does not hold the duty.
type Lease interface{ Token() int64 }

// Options are the dependencies of a Duty. All but Interval are required.
type Options struct {
	Clock     clockwork.Clock
	Log       *slog.Logger
	Lease     Lease
	Cloud     cloud.Provider
	Engines   Engines
	Objects   Objects
	Directory Directory
	Config    func() *config.Snapshot
	Admission func() admission.Stats
	// Daemons returns the number of live daemons. The waiting requests of this one
	// are multiplied by it to estimate those of all.
	Daemons  func() int
	Limits   placement.Limits
	Interval time.Duration
}

// Duty makes and executes plans while this daemon holds the lease.
type Duty struct {
	options Options
	planner *placement.Planner
	wake    chan struct{}
	token   int64 // fencing token under which planner was created
	// controlReadAt is when an engine's control state was last read, and
	// loadedEngines whether everything was loaded then, by instance and address.
	controlReadAt  map[string]time.Time
	loadedEngines  map[string]bool
	lastReadFailed bool // the state could not be read for the last plan
}

// New returns a duty; Run starts it.
func New(options Options) *Duty {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	return &Duty{options: options, wake: make(chan struct{}, 1)}
}

// Wake requests a plan before the interval ends, for example after a reclaim
// notice. It does not block.
func (d *Duty) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run plans in every interval, and when woken, until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := d.options.Clock.NewTicker(d.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
			d.options.Clock.Sleep(wakeDelay)
		case <-ticker.Chan():
		}
		d.cycle(ctx)
	}
}

// cycle makes one plan and executes it. Without the lease, a configuration or an
// answer from the cloud, it does nothing.
func (d *Duty) cycle(ctx context.Context) {
	token := d.options.Lease.Token()
	if token == 0 || d.options.Config().Revision == 0 {
		return
	}
	if token != d.token {
		d.token = token
		d.planner = placement.New(d.options.Clock, d.options.Limits)
		d.controlReadAt, d.loadedEngines = make(map[string]time.Time), make(map[string]bool)
	}
	state, err := d.readState(ctx)
	d.logReadOutcome(err)
	if err != nil {
		return
	}
	for _, a := range d.planner.Plan(state) {
		if !d.execute(ctx, a) {
			return
		}
	}
}

// logReadOutcome logs when reading the state begins to fail and when it succeeds
// again.
func (d *Duty) logReadOutcome(err error) {
	switch {
	case err != nil && !d.lastReadFailed:
		d.options.Log.Warn("placement holds still", "error", err.Error())
	case err == nil && d.lastReadFailed:
		d.options.Log.Info("placement resumed")
	}
	d.lastReadFailed = err != nil
}

// execute performs one action if the lease under which it was planned is still
// valid, and reports whether the lease is valid.
func (d *Duty) execute(ctx context.Context, a placement.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if d.options.Lease.Token() != d.token {
		d.options.Log.Warn("placement plan abandoned", "cause", "lease no longer valid", "token", d.token)
		return false
	}
	err := d.dispatch(ctx, a)
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(`rudder_placement_actions_total{action="` + string(a.Kind) + `",outcome="` + outcome + `"}`).Inc()
	d.log(a, err)
	return true
}

func (d *Duty) log(a placement.Action, err error) {
	i := a.Instance
	attributes := []any{
		"action", string(a.Kind), "instance", i.Name, "service", i.Group.Service, "version", i.Group.Version,
		"class", i.Class, "data_centre", i.DataCentre, "reclaimable", i.Reclaimable, "token", d.token,
	}
	if err != nil {
		d.options.Log.Warn("placement action failed", append(attributes, "error", err.Error())...)
		return
	}
	d.options.Log.Info("placement action done", attributes...)
}
