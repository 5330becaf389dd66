package metering_test

import (
	"encoding/json"
	"log/slog"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/metering"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// holder is the duty as one daemon sees it.
type holder struct {
	token, predecessor int64
}

// restoredReporter returns a reporter for a duty that changes with restores of the store.
func (f *fixture) restoredReporter(h *holder) *metering.Reporter {
	return metering.New(metering.Config{
		Log: slog.New(slog.DiscardHandler), Store: f.store, Key: "plan", Cloud: f.cloud,
		Token:       func() int64 { return h.token },
		Predecessor: func() int64 { return h.predecessor },
		Counts: func(int64, time.Time) (map[string]int64, bool, bool) {
			return maps.Clone(f.counts), true, f.complete
		},
		Civil: f.clock.Now, Window: 5 * time.Second, Lateness: 10 * time.Second,
	})
}

// expectOneReportPerWindow checks the reports of the windows.
func (f *fixture) expectOneReportPerWindow(t *testing.T, atLeast int) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(f.cloud.conflict).To(BeFalse(), "two reports of one window have different counts")
	g.Expect(len(f.cloud.reports)).To(BeNumerically(">=", atLeast), "windows were not reported")
}

const firstWindow = int64(1_800_000_000) / 5

// Guards against two reports of a window with different counts: the restored store has the
// plan of an earlier window, or none, from which the holder went on.
func TestWindowsAreReportedOnceAcrossRestores(t *testing.T) {
	for name, beforeFirstPlan := range map[string]bool{"without a plan": true, "with an older plan": false} {
		t.Run("same holder, copy "+name, func(t *testing.T) {
			f := newFixture()
			h := &holder{token: store.InGeneration(1, 1)}
			r := f.restoredReporter(h)
			copied := f.store.Snapshot()
			f.run(t, r, 6400*time.Millisecond)
			if !beforeFirstPlan {
				copied = f.store.Snapshot()
			}
			f.run(t, r, 5*time.Second)
			for g := int64(2); g <= 4; g++ { // several restores in a row
				f.store.Restore(copied)
				f.counts = map[string]int64{"acme": 5 + g}
				h.token, h.predecessor = store.InGeneration(g, 3), h.token
				f.run(t, r, time.Second)
			}
			f.run(t, r, 10*time.Second)
			f.expectOneReportPerWindow(t, 4)
			NewWithT(t).Expect(f.cloud.reports).To(HaveKeyWithValue(firstWindow+1, map[string]int64{"acme": 5}))
		})
		t.Run("other holder, copy "+name, func(t *testing.T) {
			f := newFixture()
			h := &holder{token: store.InGeneration(1, 1)}
			copied := f.store.Snapshot()
			r := f.restoredReporter(h)
			f.run(t, r, 6400*time.Millisecond)
			if !beforeFirstPlan {
				copied = f.store.Snapshot()
			}
			f.run(t, r, 5*time.Second)
			h.token = 0
			f.store.Restore(copied)
			f.counts = map[string]int64{"acme": 7}
			f.run(t, f.restoredReporter(&holder{token: store.InGeneration(2, 3)}), 15*time.Second)
			f.expectOneReportPerWindow(t, 4)
		})
	}
}

// The report got no answer before the restore. Guards against repeating it with other counts,
// and against not repeating it.
func TestPendingReportIsRepeatedExactlyAfterARestore(t *testing.T) {
	for name, refused := range map[string]bool{"executed": false, "not executed": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			h := &holder{token: store.InGeneration(1, 1)}
			r := f.restoredReporter(h)
			copied := f.store.Snapshot()
			f.cloud.fail, f.cloud.failAfterEffect = errors.WithStack(cloudduty.ErrUnknown), !refused
			f.run(t, r, 6400*time.Millisecond)
			f.store.Restore(copied)
			f.counts, f.cloud.fail, f.cloud.failAfterEffect = map[string]int64{"acme": 7}, nil, false
			h.token, h.predecessor = store.InGeneration(2, 3), h.token
			f.run(t, r, 400*time.Millisecond)
			f.expectOneReportPerWindow(t, 1)
			NewWithT(t).Expect(f.cloud.reports).To(HaveKeyWithValue(firstWindow, map[string]int64{"acme": 5}))
		})
	}
}

// A write of a plan from before the restore is executed after it. Guards against reporting
// its counts, where the window was reported with others.
func TestLatePlanFromBeforeARestoreIsNotReported(t *testing.T) {
	late, err := json.Marshal(map[string]any{"window": firstWindow, "counts": map[string]int64{"acme": 4}, "generation": 1})
	if err != nil {
		t.Fatal(err)
	}
	for name, sameHolder := range map[string]bool{"same holder": true, "other holder": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			h := &holder{token: store.InGeneration(1, 1)}
			r := f.restoredReporter(h)
			copied := f.store.Snapshot()
			f.run(t, r, 6400*time.Millisecond)
			f.store.Restore(copied)
			if sameHolder {
				h.token, h.predecessor = store.InGeneration(2, 3), h.token
			} else {
				h.token = 0
				r = f.restoredReporter(&holder{token: store.InGeneration(2, 3)})
			}
			f.putLate(t, late)
			f.run(t, r, 5*time.Second)
			f.putLate(t, late) // over a plan of this generation
			f.counts = map[string]int64{"acme": 8}
			f.run(t, r, 10*time.Second)
			f.expectOneReportPerWindow(t, 3)
		})
	}
}

// Guards against a plan that only its holder knows: the next holder would skip windows.
func TestPlanIsWrittenAgainAfterARestore(t *testing.T) {
	f := newFixture()
	h := &holder{token: store.InGeneration(1, 1)}
	r := f.restoredReporter(h)
	copied := f.store.Snapshot()
	f.run(t, r, 6400*time.Millisecond)
	f.store.Restore(copied)
	h.token, h.predecessor = store.InGeneration(2, 3), h.token
	f.run(t, r, 400*time.Millisecond)
	h.token = 0
	f.run(t, f.restoredReporter(&holder{token: store.InGeneration(2, 5)}), 10*time.Second)
	f.expectOneReportPerWindow(t, 3)
}

// putLate writes the plan's key without a condition.
func (f *fixture) putLate(t *testing.T, value []byte) {
	t.Helper()
	if _, err := f.store.Txn(t.Context(), nil, []store.Op{{Key: "plan", Value: value}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against two reports of a window with different counts, when the clock of the daemon
// that follows is behind that of the holder of before the restore.
func TestHolderWithALateClockReportsNoWindowAgain(t *testing.T) {
	f := newFixture()
	h := &holder{token: store.InGeneration(1, 1)}
	r := f.restoredReporter(h)
	f.run(t, r, 6400*time.Millisecond)
	copied := f.store.Snapshot()
	f.run(t, r, 5*time.Second)
	h.token = 0
	f.store.Restore(copied)
	f.counts = map[string]int64{"acme": 9}
	late := f.clock
	f.clock = clockwork.NewFakeClockAt(late.Now().Add(-2 * time.Second))
	f.run(t, f.restoredReporter(&holder{token: store.InGeneration(2, 3)}), 20*time.Second)
	f.expectOneReportPerWindow(t, 4)
}
