package edge

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/evacuation"
)

const (
	// evacuationSendMargin is the largest time between the choice of an instance and the
	// arrival of the request there, on a machine whose processor and link are in full use.
	evacuationSendMargin = time.Second
	// evacuationReturnTime is the time over which instances get requests again. All daemons
	// see the instances idle, and know of each other's requests about half a second late.
	evacuationReturnTime = 2 * time.Second
	// evacuationCheckInterval is the time between two checks whether a data centre has
	// become withheld in full, for the log.
	evacuationCheckInterval = 250 * time.Millisecond
)

var (
	evacuationPicks   = metrics.NewCounter("rudder_evacuation_picks_total")
	evacuationRefused = metrics.NewCounter("rudder_evacuation_refused_requests_total")
)

// evacuations applies the operators' orders to empty data centres. It implements
// fleet.Constraint.
type evacuations struct {
	plan *evacuation.Plan
	now  func() time.Duration
}

// newEvacuations returns nil if the deployment has no such orders.
func newEvacuations(bounds settings.Bounds) *evacuations {
	if bounds.Evacuation <= 0 {
		return nil
	}
	return &evacuations{now: bootclock.Now, plan: evacuation.New(evacuation.Config{
		Bound: bounds.Evacuation, SendMargin: evacuationSendMargin, ReturnTime: evacuationReturnTime,
	})}
}

// Allows implements fleet.Constraint.
func (e *evacuations) Allows(d *fleet.Description) bool {
	return e.plan.Allows(d.DataCentre, d.ID, e.now)
}

// Reserve implements fleet.Constraint.
func (e *evacuations) Reserve(*fleet.Description) {
	if e.plan.Active() {
		evacuationPicks.Inc()
	}
}

// evacuated reports whether an order for the data centre is in force.
func (e *evacuations) evacuated(dataCentre string) bool {
	return e != nil && e.plan.Evacuated(dataCentre)
}

// count returns the number of data centres whose orders are in force.
func (e *evacuations) count() int {
	if e == nil {
		return 0
	}
	return len(e.plan.DataCentres())
}

// applyEvacuation applies a change of a key that may be an order to empty a data centre.
// It reports whether it is one.
func (d *Daemon) applyEvacuation(c mirror.Change) bool {
	dataCentre, isOrder := d.platform.Reader.EvacuatedDataCentre(c.Key)
	if !isOrder {
		return false
	}
	e := d.evacuations
	if e == nil {
		d.log.Warn("evacuation ignored", "data_centre", dataCentre, "revision", c.ModRevision, "cause", "bounds.evacuation is not set")
		return true
	}
	now := e.now()
	if c.Deleted {
		if e.plan.Empty(dataCentre, now) {
			// Without requests, this daemon can't have seen a restart.
			d.warmup.Reset(dataCentre)
		}
		if age, changed := e.plan.TakeBack(dataCentre, now); changed {
			d.log.Info("evacuation taken back", "data_centre", dataCentre, "revision", c.ModRevision, "age", age)
		}
		return true
	}
	// The mirror records a new proof only after it has reported the changes that came with
	// it, so the present proof is from before the order.
	proofAge, known := d.state.operator.Age()
	if e.plan.Order(dataCentre, now, now-proofAge, known) {
		cause := "order of the operators"
		if !known {
			cause = "order of unknown age, found at the start"
		}
		d.log.Info("evacuation ordered", "data_centre", dataCentre, "revision", c.ModRevision, "cause", cause, "max_age", proofAge)
	}
	return true
}

// watchEvacuations logs when a data centre has become withheld in full.
func (d *Daemon) watchEvacuations(ctx context.Context) error {
	return duty.Every(ctx, evacuationCheckInterval, func(context.Context) {
		for dataCentre, age := range d.evacuations.plan.Settled(d.evacuations.now()) {
			d.log.Info("evacuation in full force", "data_centre", dataCentre, "age", age)
		}
	})
}

// evacuatedInFull reports whether all instances in the data centres that a request may use
// are under evacuation, and counts a request that is refused for it.
func (d *Daemon) evacuatedInFull(q fleet.Query) bool {
	if d.evacuations == nil || !d.evacuations.plan.Active() {
		return false
	}
	found := false
	for _, i := range d.instances.Snapshot(q.Service) {
		if q.AllowDataCentre != nil && !q.AllowDataCentre(i.DataCentre) {
			continue
		}
		if !d.evacuations.evacuated(i.DataCentre) {
			return false
		}
		found = true
	}
	if found {
		evacuationRefused.Inc()
	}
	return found
}
