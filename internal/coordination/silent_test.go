package coordination_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
)

// Pattern herd_kill: the coordinator and others die at once, and their announcements
// last for 15 s. Guards against a new coordinator that doesn't tell of a daemon which
// never reported to it, so that callers get its address until then.
func TestDaemonThatNeverReportedIsSilent(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.setCoordinator(0, 1)
	sequence := int64(0)
	report := func() []string {
		sequence++
		var silent []string
		for _, name := range f.names[:2] {
			response, err := f.coordinators[0].Report(t.Context(), &coordinatorv1.ReportRequest{Daemon: name, Sequence: sequence})
			g.Expect(err).NotTo(HaveOccurred())
			silent = response.Silent
		}
		return silent
	}
	g.Expect(report()).To(BeEmpty(), "it may not have found the coordinator yet")
	for range 7 {
		f.clock.Advance(250 * time.Millisecond)
		report()
	}
	g.Expect(report()).To(ConsistOf(f.names[2]))
}
