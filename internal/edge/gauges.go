package edge

import (
	"math"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
)

// registerGauges registers the gauges of the daemon, which are read at each scrape.
func (d *Daemon) registerGauges() {
	age := func(m *mirror.Mirror) func() float64 {
		return func() float64 {
			if age, known := m.Age(); known {
				return age.Seconds()
			}
			return math.Inf(1)
		}
	}
	for name, value := range map[string]func() float64{
		`rudder_mirror_age_seconds{mirror="operator"}`:       age(d.state.operator),
		`rudder_mirror_age_seconds{mirror="fleet"}`:          age(d.state.fleet),
		`rudder_mirror_pending_removals`:                     func() float64 { return float64(d.state.fleet.PendingRemovals()) },
		`rudder_mirror_reads_for_others`:                     func() float64 { return gaugeOf(d.reads()) },
		`rudder_duty_held{duty="coordinator"}`:               func() float64 { return gaugeOf(d.holder.Valid()) },
		`rudder_coordination_connected`:                      func() float64 { return gaugeOf(d.agent.Connected()) },
		`rudder_quarantined_prompt_parts`:                    func() float64 { return float64(d.crashGuard.Quarantined()) },
		`rudder_cold_instances`:                              func() float64 { return float64(d.warmup.Cold()) },
		`rudder_daemons`:                                     func() float64 { return float64(d.members.count()) },
		`rudder_relay_buffered_bytes{kind="request bodies"}`: func() float64 { return float64(d.requestMemory.Used()) },
		`rudder_relay_buffered_bytes{kind="replies"}`:        func() float64 { return float64(d.replyMemory.Used()) },
		`rudder_instance_links_lost`:                         func() float64 { return gaugeOf(d.links.Lost()) },
		`rudder_evacuated_data_centres`:                      func() float64 { return float64(d.evacuations.count()) },
	} {
		metrics.GetOrCreateGauge(name, value)
	}
}

func gaugeOf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}
