package coordination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/coordination"
)

// Guards against losing usage when the coordinator is lost, and against counting
// it twice when the daemons report to the next coordinator.
func TestUsageSurvivesTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.setCoordinator(0, 1)
	f.tick(t)
	window := f.clock.Now().UnixNano() / int64(5*time.Second)
	for range 10 {
		for _, agent := range f.agents {
			agent.RequestStarted("acme")
		}
	}
	f.tick(t)
	f.tick(t)
	// Daemon 0, the coordinator, and daemon 2 are lost permanently.
	f.agents, f.persisters, f.names = f.agents[1:2], f.persisters[1:2], f.names[1:2]
	f.tokens[0], f.tokens[1] = 0, 9
	f.links[1].target = f.coordinators[1]
	f.tick(t)
	f.tick(t)
	counts, known, _ := f.coordinators[1].Counts(window, f.clock.Now())
	g.Expect(known).To(BeTrue())
	g.Expect(counts["acme"]).To(Equal(int64(30)))
}

// Fault pattern herd_kill: all daemons are killed and restart within a second.
// Guards against a usage report that waits for incarnations that have been
// superseded, until a store outage makes the report late.
func TestCountsAreCompleteAfterARestartOfAllDaemons(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.setCoordinator(0, 1)
	f.tick(t)
	window := f.clock.Now().UnixNano() / int64(5*time.Second)
	for _, agent := range f.agents {
		agent.RequestStarted("acme")
	}
	f.tick(t)
	f.tick(t)
	f.clock.Advance(5 * time.Second)
	end := f.clock.Now()
	after := f.restart()
	after.setCoordinator(1, 9)
	after.tick(t)
	after.tick(t)
	counts, known, complete := after.coordinators[1].Counts(window, end)
	g.Expect(known).To(BeTrue())
	g.Expect(counts["acme"]).To(Equal(int64(3)))
	g.Expect(complete).To(BeTrue(), "the previous incarnations can't report any more")
}

// Fault pattern power_off_all on the larger ("grown") deployments: 6 of 67
// daemons carry nearly all requests. Guards against stored usage counts that are
// older than a twentieth of a window when all machines lose power.
func TestUsageSurvivesPowerLoss(t *testing.T) {
	g := NewWithT(t)
	const (
		daemons, busy = 67, 6
		busyRate      = 100.0 // requests per second
		tick          = 5 * time.Millisecond
		window        = 5 * time.Second
		allowedLoss   = 0.05
	)
	f := newFleet(daemons)
	f.setCoordinator(0, 1)
	for i := range f.rates {
		f.rates[i] = 0.5
		if i < busy {
			f.rates[i] = busyRate
		}
	}
	f.tick(t)
	f.tick(t) // the agents now know their share of the requests
	due := make([]time.Duration, daemons)
	reports := 0
	var reported, stored [busy]float64 // when a daemon's counts were last reported and written, in s
	within, samples := 0, 0
	random := rand.New(rand.NewPCG(1, 2))
	for i := range due {
		due[i] = rand.N(f.agents[i].Interval())
	}
	nextWrite := coordination.WriteInterval
	const length = 20 * time.Second
	for now := time.Duration(0); now < length; now += tick {
		for i, agent := range f.agents {
			if now >= due[i] {
				due[i] += agent.Interval()
				reports++
				if i < busy {
					reported[i] = now.Seconds()
				}
			}
		}
		if now >= nextWrite {
			nextWrite += coordination.WriteInterval
			stored = reported
		}
		if now > time.Second && random.IntN(10) == 0 {
			lost := 0.0
			for _, at := range stored {
				lost += now.Seconds() - at
			}
			samples++
			if lost/busy <= allowedLoss*window.Seconds() {
				within++
			}
		}
	}
	t.Logf("%.2f of the samples within the bound, %.0f reports per second", float64(within)/float64(samples), float64(reports)/length.Seconds())
	g.Expect(float64(within)/float64(samples)).To(BeNumerically(">", 0.8), "samples at which the loss is within the bound")
	g.Expect(float64(reports)/length.Seconds()).To(BeNumerically("<", 190), "reports per second at the coordinator")
}

// Guards against counts being treated as complete while a daemon that can still
// report is silent, for example frozen.
func TestCountsAreIncompleteWhileADaemonIsSilent(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.setCoordinator(0, 1)
	f.tick(t)
	f.tick(t)
	window := f.clock.Now().UnixNano() / int64(5*time.Second)
	f.agents[2].RequestStarted("acme")
	f.links[2].cut = true
	f.clock.Advance(5 * time.Second)
	end := f.clock.Now()
	f.tick(t)
	_, known, complete := f.coordinators[0].Counts(window, end)
	g.Expect(known).To(BeTrue())
	g.Expect(complete).To(BeFalse())
	f.links[2].cut = false
	f.tick(t)
	counts, _, complete := f.coordinators[0].Counts(window, end)
	g.Expect(complete).To(BeTrue())
	g.Expect(counts["acme"]).To(Equal(int64(1)))
}

// Guards against losing the counts of a daemon that stops while there is no
// coordinator.
func TestStoppingDaemonWritesItsCounts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.agents[1].RequestStarted("acme")
	window := f.clock.Now().UnixNano() / int64(5*time.Second)
	g.Expect(f.agents[1].FlushUsage(t.Context(), f.store, "counts")).To(Succeed())
	f.agents, f.persisters, f.names = f.agents[:1], f.persisters[:1], f.names[:1]
	f.tokens[0] = 3
	f.links[0].target = f.coordinators[0]
	f.tick(t)
	counts, known, _ := f.coordinators[0].Counts(window, f.clock.Now())
	g.Expect(known).To(BeTrue())
	g.Expect(counts["acme"]).To(Equal(int64(1)))
}
