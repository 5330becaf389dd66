package edge

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/warmup"
)

// warmupRestraint limits the requests to instances that have just started. It implements
// fleet.Restraint.
type warmupRestraint struct{ tracker *warmup.Tracker }

// Allows implements fleet.Constraint.
func (w warmupRestraint) Allows(d *fleet.Description) bool { return w.tracker.Allows(d.ID) }

// Reserve implements fleet.Constraint.
func (w warmupRestraint) Reserve(d *fleet.Description) {
	if w.tracker.Sent(d.ID) {
		metrics.GetOrCreateCounter(fmt.Sprintf("rudder_warmup_requests_total{service=%q}", d.Service)).Inc()
	}
}

// Restrains implements fleet.Restraint.
func (w warmupRestraint) Restrains(d *fleet.Description) bool { return w.tracker.Restrains(d.ID) }

// Active implements fleet.Restraint.
func (w warmupRestraint) Active() bool { return w.tracker.Active() }

// Delay implements fleet.Restraint.
func (w warmupRestraint) Delay(d *fleet.Description) time.Duration { return w.tracker.Delay(d.ID) }

// Elsewhere implements fleet.Restraint.
func (w warmupRestraint) Elsewhere(d *fleet.Description) bool { return w.tracker.Elsewhere(d.ID) }

// Unreachable implements fleet.Restraint.
func (w warmupRestraint) Unreachable(d *fleet.Description) {
	w.tracker.Unreachable(d.ID, d.Incarnation)
}

// Answered implements fleet.Restraint.
func (w warmupRestraint) Answered(d *fleet.Description) { w.tracker.Answered(d.ID, d.Incarnation) }

// buildWarmup builds the tracker of instances that have just started.
func (d *Daemon) buildWarmup() {
	// Picks read this clock for each candidate. It needs no system call, and stands still
	// while the machine is suspended, so that instances count as cold for longer.
	start := time.Now().Add(-time.Second) // times of 0 mean never
	d.warmup = warmup.New(warmup.Config{
		Now: func() time.Duration { return time.Since(start) }, Limits: d.warmupLimits,
		Overrun: d.settings.Bounds.WarmupOverrun, Slack: d.settings.Bounds.WarmupSlack,
		Fleet: d.members.warmupFleet, OnChange: d.logWarmup,
	})
	d.instances.AddConstraint(warmupRestraint{d.warmup})
	d.members.changed = d.warmup.FleetChanged
	d.members.size.expectRecord()
	d.state.warmup = d.warmup
}

// instanceCrashed records that an instance accepted no connection after a request broke off.
func (d *Daemon) instanceCrashed(i fleet.Description, err error) {
	if errors.Is(err, exchange.ErrRefused) {
		d.instances.Unreachable(i)
	}
}

// warmupLimits returns the limits of a service for instances that have just started.
func (d *Daemon) warmupLimits(service string) warmup.Limits {
	if table := d.state.Table(); table != nil && table.Services[service] != nil {
		return warmup.Limits{Time: table.Services[service].WarmupTime, Rate: table.Services[service].WarmupRate}
	}
	return warmup.Limits{}
}

// warmupFleet returns the announced daemons.
func (m *members) warmupFleet() warmup.Fleet {
	f := warmup.Fleet{Self: m.self.Name, Size: m.limitCount(), Unproven: m.size.unproven()}
	for _, other := range m.others() {
		f.Daemons = append(f.Daemons, other.Name)
	}
	return f
}

// logWarmup logs that an instance counts as cold from now on, or no longer.
func (d *Daemon) logWarmup(i warmup.Instance, cold bool, cause string, age time.Duration) {
	if cold {
		d.log.Info("instance cold", "instance", i.ID, "service", i.Service, "data_centre", i.DataCentre, "cause", cause)
		return
	}
	d.log.Info("instance warm", "instance", i.ID, "service", i.Service, "data_centre", i.DataCentre, "cause", cause, "age", age)
}

// announceWarmup records the entry of an instance before requests can be sent there.
func (s *state) announceWarmup(d fleet.Description) {
	// The mirror records a new proof only after it has reported the changes that came with
	// it, so the entry was written after the present one.
	maxAge, known := s.fleet.Age()
	if !known {
		maxAge = math.MaxInt64
	}
	s.warmup.Announced(warmup.Instance{ID: d.ID, Service: d.Service, DataCentre: d.DataCentre, Incarnation: d.Incarnation},
		d.WarmupTime, !s.fleet.Synced(), maxAge)
}
