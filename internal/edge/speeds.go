package edge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

// buildSpeeds lets the daemon measure the speeds of the instances.
func (d *Daemon) buildSpeeds() {
	d.speeds = speed.NewLearner(bootclock.Now)
	d.instances.OnMeasured(d.measured)
}

// measured records the time of a request at an instance.
func (d *Daemon) measured(m fleet.Measurement) {
	d.speeds.Observe(m.Service, m.ID, m.Incarnation, m.Work, m.Elapsed)
	if m.Predicted > 0 {
		metrics.GetOrCreateSummary(fmt.Sprintf(`rudder_predicted_time_ratio{service=%q}`, m.Service)).Update(m.Elapsed.Seconds() / m.Predicted.Seconds())
	}
}

// applySpeeds uses what is known of the speeds for the next picks.
func (d *Daemon) applySpeeds() {
	views, changes := d.speeds.Views(d.instances.Present)
	d.instances.SetSpeeds(views)
	for _, c := range changes {
		service := c.Service
		metrics.GetOrCreateGauge(fmt.Sprintf(`rudder_instance_speed_spread{service=%q}`, service), func() float64 { return d.speeds.Spread(service) })
		d.log.Info("instance speeds in use", "service", service, "in_use", c.Unequal, "spread", c.Spread, "measured", c.Count)
	}
}
