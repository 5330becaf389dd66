package metering_test

import (
	"context"
	"log/slog"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/metering"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/storetest"
)

// fakeCloud is a fake cloud. It records the reports, and notes when two reports of
// the same window differ.
type fakeCloud struct {
	reports         map[int64]map[string]int64
	fail            error // returned by all calls
	conflict        bool  // two reports of a window had different counts
	failAfterEffect bool  // calls take effect although they return fail
}

func (c *fakeCloud) ReportUsage(_ context.Context, _ int64, window int64, counts map[string]int64) error {
	if c.fail != nil && !c.failAfterEffect {
		return c.fail
	}
	if old, known := c.reports[window]; known && !maps.Equal(old, counts) {
		c.conflict = true
	}
	c.reports[window] = maps.Clone(counts)
	return c.fail
}

func (c *fakeCloud) Order(context.Context, int64, cloudduty.Order) error { return nil }

// fixture holds the fake clock, store and cloud of a test, and the counts that the
// daemons report.
type fixture struct {
	clock    *clockwork.FakeClock
	store    *storetest.Memory
	cloud    *fakeCloud
	counts   map[string]int64
	complete bool
}

func newFixture() *fixture {
	start := time.Unix(1_800_000_000, 0)
	return &fixture{
		clock: clockwork.NewFakeClockAt(start), store: storetest.NewMemory(), cloud: &fakeCloud{reports: map[int64]map[string]int64{}},
		counts: map[string]int64{"acme": 5}, complete: true,
	}
}

func (f *fixture) reporter(token *int64) *metering.Reporter {
	return metering.New(metering.Config{
		Log: slog.New(slog.DiscardHandler), Store: f.store, Key: "plan", Cloud: f.cloud,
		Token: func() int64 { return *token },
		Counts: func(int64, time.Time) (map[string]int64, bool, bool) {
			return maps.Clone(f.counts), true, f.complete
		},
		Civil: f.clock.Now, Window: 5 * time.Second, Lateness: 10 * time.Second,
	})
}

// run advances the clock by d in steps of 200 ms and calls Step after each.
func (f *fixture) run(t *testing.T, r *metering.Reporter, d time.Duration) {
	for range int(d / (200 * time.Millisecond)) {
		f.clock.Advance(200 * time.Millisecond)
		_ = r.Step(t.Context()) // the tests provoke errors
	}
}

// Guards against two reports of a window with different counts, when the call of
// one holder of the duty got no answer and the next holder has other counts.
func TestSuccessorRepeatsTheReportExactly(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	token := int64(1)
	first := f.reporter(&token)
	f.run(t, first, 4*time.Second)
	f.cloud.fail, f.cloud.failAfterEffect = errors.WithStack(cloudduty.ErrUnknown), true
	f.run(t, first, 3*time.Second)
	g.Expect(f.cloud.reports).To(HaveLen(1))
	f.cloud.fail, f.cloud.failAfterEffect = nil, false
	f.counts = map[string]int64{"acme": 7}
	successor := int64(2)
	token = 0
	f.run(t, f.reporter(&successor), 20*time.Second)
	g.Expect(f.cloud.conflict).To(BeFalse())
	g.Expect(len(f.cloud.reports)).To(BeNumerically(">=", 4))
}

// The answer to the write of the plan is lost although the store applied it.
// Guards against reporting counts other than the stored ones.
func TestPlanIsReadBackAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	token := int64(1)
	r := f.reporter(&token)
	f.run(t, r, time.Second)
	f.store.LoseNextReply()
	f.run(t, r, 5200*time.Millisecond)
	f.counts = map[string]int64{"acme": 9}
	f.run(t, r, 10*time.Second)
	g.Expect(f.cloud.conflict).To(BeFalse())
	window := int64(1_800_000_000) / 5
	g.Expect(f.cloud.reports).To(HaveKeyWithValue(window, map[string]int64{"acme": 5}))
}

// Guards against reporting a window without the counts of a daemon that resumes
// in time, and against never reporting it because a daemon doesn't resume.
func TestReportWaitsForSilentDaemonsUntilShortlyBeforeItIsDue(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.complete = false
	token := int64(1)
	r := f.reporter(&token)
	// The window ends after 5 s and its report is due after 15 s. A network
	// partition of 12 s that began at the start of the window ends 7 s after the
	// window does.
	f.run(t, r, 12*time.Second)
	g.Expect(f.cloud.reports).To(BeEmpty())
	f.run(t, r, 2*time.Second)
	g.Expect(f.cloud.reports).To(HaveLen(1), "reported one second before it is due")
}

// Guards against skipping windows when the cloud is unavailable for 11 s.
func TestReportsCatchUpAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	token := int64(1)
	r := f.reporter(&token)
	f.run(t, r, time.Second)
	f.cloud.fail = errors.WithStack(cloudduty.ErrRefused)
	f.run(t, r, 11*time.Second)
	f.cloud.fail = nil
	f.run(t, r, 5*time.Second)
	g.Expect(len(f.cloud.reports)).To(BeNumerically(">=", 3))
}

// The duty changes hands shortly before a usage report is due, and the daemons
// have not reported to the new holder yet. Guards against reporting only the
// counts that the previous holder stored.
func TestNewHolderWaitsForReportsOfDaemons(t *testing.T) {
	g := NewWithT(t)
	f, successor := newFixture().handOver(t, 6400*time.Millisecond)
	f.run(t, successor, 400*time.Millisecond)
	g.Expect(f.cloud.reports).To(HaveLen(1), "reported before the daemons have found the new holder")
	f.counts, f.complete = map[string]int64{"acme": 9}, true
	f.run(t, successor, time.Second)
	g.Expect(f.cloud.reports).To(ContainElement(map[string]int64{"acme": 9}))
}

// Guards against an overdue usage report because a new holder of the duty waits
// for daemons that stay silent.
func TestNewHolderReportsInTime(t *testing.T) {
	g := NewWithT(t)
	f, successor := newFixture().handOver(t, 8400*time.Millisecond)
	f.run(t, successor, time.Second)
	g.Expect(f.cloud.reports).To(HaveLen(2))
}

// handOver has one holder of the duty report the first window. It returns the
// reporter of the next holder, which acquires the duty at the given time after the
// end of the second window. No daemon has reported to it yet.
func (f *fixture) handOver(t *testing.T, after time.Duration) (*fixture, *metering.Reporter) {
	const untilReport = 6400 * time.Millisecond
	first := int64(1)
	f.run(t, f.reporter(&first), untilReport)
	f.complete = false
	f.clock.Advance(10*time.Second - untilReport + after)
	successor := int64(2)
	return f, f.reporter(&successor)
}
