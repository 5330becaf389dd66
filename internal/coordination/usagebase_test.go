package coordination_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// unwrittenUsage returns a fleet whose coordinator has received 10 requests of an account
// in the window and can't write them, and whose duty has then gone to daemon 1. The window
// has ended.
func unwrittenUsage(t *testing.T) (f *testFleet, window int64, end time.Time) {
	f = newFleet(3)
	f.setCoordinator(0, 1)
	f.tick(t)
	window = f.clock.Now().UnixNano() / int64(5*time.Second)
	for range 10 {
		f.agents[2].RequestStarted("acme")
	}
	for range 2 {
		f.clock.Advance(125 * time.Millisecond)
		f.reportOnly(t)
	}
	end = time.Unix(0, (window+1)*int64(5*time.Second))
	f.clock.Advance(end.Sub(f.clock.Now()) + time.Second)
	f.setCoordinator(1, 9)
	NewWithT(t).Expect(f.persisters[1].Step(t.Context())).To(Succeed())
	return f, window, end
}

// reportOnly has each daemon send a report, as long as the store is out of reach.
func (f *testFleet) reportOnly(t *testing.T) {
	for _, agent := range f.agents {
		agent.Report(t.Context())
	}
}

// Fault: the coordinator is cut from the store but not from the daemons, and another takes
// over after a window has ended. Guards against counts that are taken for complete after
// one report of each daemon, without those that only the earlier coordinator received.
func TestCountsOfAnEarlierCoordinatorAreNotMissedInCompleteUsage(t *testing.T) {
	g := NewWithT(t)
	f, window, end := unwrittenUsage(t)
	f.reportOnly(t)
	counts, known, complete := f.coordinators[1].Counts(window, end)
	g.Expect(known).To(BeTrue())
	g.Expect(complete && counts["acme"] != 10).To(BeFalse(), "complete with %d requests", counts["acme"])
	f.clock.Advance(125 * time.Millisecond)
	f.reportOnly(t)
	counts, _, complete = f.coordinators[1].Counts(window, end)
	g.Expect(counts["acme"]).To(Equal(int64(10)))
	g.Expect(complete).To(BeTrue())
	g.Expect(f.links[2].observed.UsageBase).To(BeZero())
	f.reportOnly(t)
	g.Expect(f.links[2].observed.UsageBase).To(Equal(int64(9)))
	g.Expect(f.links[2].observed.Windows).To(BeEmpty())
}

// Fault: a daemon stops right after the coordinator has changed. Guards against a last
// report that leaves out what only the earlier coordinator received.
func TestLastReportHasAllCounts(t *testing.T) {
	g := NewWithT(t)
	f, window, end := unwrittenUsage(t)
	g.Expect(f.agents[2].FlushUsage(t.Context(), f.store, "counts")).To(Succeed())
	counts, known, _ := f.coordinators[1].Counts(window, end)
	g.Expect(known).To(BeTrue())
	g.Expect(counts["acme"]).To(Equal(int64(10)))
}

// Guards against counts that only the coordinator has, because their daemon has died, and
// that it drops when it continues after a restore of the store.
func TestCountsOfADeadDaemonSurviveARestore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.setCoordinator(0, 1)
	f.tick(t)
	copied := f.store.Snapshot()
	window := f.clock.Now().UnixNano() / int64(5*time.Second)
	for range 10 {
		f.agents[2].RequestStarted("acme")
	}
	f.tick(t)
	f.links[2].cut = true
	f.store.Restore(copied)
	f.restoreStore()
	for range 4 {
		f.tick(t)
	}
	counts, known, _ := f.coordinators[0].Counts(window, f.clock.Now())
	g.Expect(known).To(BeTrue())
	g.Expect(counts).To(HaveKeyWithValue("acme", int64(10)))
	f.setCoordinator(1, store.InGeneration(2, 9))
	f.report(t)
	counts, _, _ = f.coordinators[1].Counts(window, f.clock.Now())
	g.Expect(counts).To(HaveKeyWithValue("acme", int64(10)), "the counts were not written again")
}
