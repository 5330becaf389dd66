// Package metering reports the usage of each window once. Only the lease holder
// reports. The counts are written to the store before they are
// reported, so that a successor repeats a report exactly.
package metering

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// settle is the time after a window's end in which the daemons' last
	// reports arrive: several report intervals.
	settle = 900 * time.Millisecond
	// patienceShare is the part of the lateness in which a report waits for
	// daemons that are silent, because a frozen one may wake up and a cut may
	// end. What is left suffices for the plan's write and the call with retries.
	patienceShare = 0.8
	// handOver is the time in which all daemons have found a new holder and
	// reported to it: they see it through the store and report every 0.5 s.
	handOver = 1500 * time.Millisecond
	// reportMargin is left of the lateness for the plan's write and the call.
	reportMargin = time.Second
	// step is the pause between two looks at the clock.
	step = 200 * time.Millisecond
	// callTimeout bounds a call; the cloud answers late on its slow days.
	callTimeout = 1500 * time.Millisecond
)

// Config holds the parameters of a Reporter.
type Config struct {
	Log   *slog.Logger
	Store store.Store
	Key   string // of the plan in the store
	Cloud cloudduty.Caller
	// Token returns the fencing token of the duty, 0 while it isn't held.
	Token func() int64
	// Counts returns the usage of a window by account. It isn't known before the
	// holder has taken over, and complete when all daemons have reported it.
	Counts   func(window int64, end time.Time) (counts map[string]int64, known, complete bool)
	Civil    func() time.Time
	Window   time.Duration
	Lateness time.Duration // after a window's end in which its usage is due
}

// plan is what will be or was reported.
type plan struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Reporter performs the duty.
type Reporter struct {
	config Config

	token    int64     // for which the plan was read
	holder   int64     // token with which the duty was taken
	since    time.Time // civil time at which it was taken
	plan     plan
	revision int64 // of the plan's key
	pending  bool  // the plan was not acknowledged yet
	next     int64 // window to report after the plan
}

// New returns a Reporter.
func New(config Config) *Reporter { return &Reporter{config: config} }

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	return duty.Every(ctx, step, func(ctx context.Context) {
		if err := r.Step(ctx); err != nil && ctx.Err() == nil {
			r.config.Log.Warn("usage not reported", "window", r.plan.Window, "token", r.token, "error", err)
		}
	})
}

// Step makes the next call that is due, if any.
func (r *Reporter) Step(ctx context.Context) error {
	token := r.config.Token()
	if token == 0 {
		r.token = 0
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if token != r.token {
		if err := r.read(ctx); err != nil {
			return err
		}
		r.token = token
	}
	if token != r.holder {
		r.holder, r.since = token, r.config.Civil()
	}
	if r.pending {
		return r.send(ctx, token)
	}
	return r.advance(ctx)
}

// read takes over the plan of the holder before.
func (r *Reporter) read(ctx context.Context) error {
	kv, err := r.config.Store.Get(ctx, r.config.Key)
	if err != nil {
		return errors.WithMessage(err, "read usage plan")
	}
	r.plan, r.revision, r.pending = plan{}, kv.ModRevision, false
	current := r.windowOf(r.config.Civil())
	r.next = current
	if kv.ModRevision == 0 {
		return nil
	}
	if err := json.Unmarshal(kv.Value, &r.plan); err != nil {
		return errors.Wrap(err, "decode usage plan")
	}
	r.next = r.plan.Window + 1
	r.pending = !r.late(r.plan.Window)
	return nil
}

func (r *Reporter) windowOf(t time.Time) int64 { return t.UnixNano() / int64(r.config.Window) }

// sinceEnd returns how long ago a window ended.
func (r *Reporter) sinceEnd(window int64) time.Duration {
	return time.Duration(r.config.Civil().UnixNano() - (window+1)*int64(r.config.Window))
}

// patience is how long after a window's end its report waits for daemons that
// are silent. A new holder knows only what the holder before has written, and
// waits for the reports of those that find it.
func (r *Reporter) patience(window int64) time.Duration {
	patience := time.Duration(float64(r.config.Lateness) * patienceShare)
	end := time.Unix(0, (window+1)*int64(r.config.Window))
	found := r.since.Add(handOver).Sub(end)
	return min(max(patience, found), r.config.Lateness-reportMargin)
}

func (r *Reporter) late(window int64) bool { return r.sinceEnd(window) > r.config.Lateness }

// advance plans the next window when it has ended.
func (r *Reporter) advance(ctx context.Context) error {
	for r.late(r.next) {
		metrics.GetOrCreateCounter("rudder_metering_windows_missed_total").Inc()
		r.config.Log.Error("usage window missed", "window", r.next, "late_by", r.sinceEnd(r.next)-r.config.Lateness)
		r.next++
	}
	if r.sinceEnd(r.next) < settle {
		return nil
	}
	end := time.Unix(0, (r.next+1)*int64(r.config.Window))
	counts, known, complete := r.config.Counts(r.next, end)
	if !known || !complete && r.sinceEnd(r.next) < r.patience(r.next) {
		return nil
	}
	next := plan{Window: r.next, Counts: counts}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode usage plan")
	}
	result, err := r.config.Store.Txn(ctx,
		[]store.Condition{{Key: r.config.Key, ModRevision: r.revision}},
		[]store.Op{{Key: r.config.Key, Value: value}})
	if err != nil || !result.Succeeded {
		// The plan may have been written now or by another holder: read it again.
		r.token = 0
		return errors.WithMessage(err, "write usage plan")
	}
	r.plan, r.revision, r.pending = next, result.Revision, true
	r.next = next.Window + 1
	return r.send(ctx, r.token)
}

// send reports the plan. A report without an answer is repeated exactly.
func (r *Reporter) send(ctx context.Context, token int64) error {
	if r.late(r.plan.Window) {
		metrics.GetOrCreateCounter("rudder_metering_windows_missed_total").Inc()
		r.pending = false
		return errors.Errorf("usage window %d is too late", r.plan.Window)
	}
	if r.config.Token() != token {
		return nil
	}
	err := r.config.Cloud.ReportUsage(ctx, token, r.plan.Window, r.plan.Counts)
	if err != nil {
		return err
	}
	r.pending = false
	metrics.GetOrCreateCounter("rudder_metering_windows_total").Inc()
	r.config.Log.Info("usage reported", "window", r.plan.Window, "token", token, "requests", total(r.plan.Counts))
	return nil
}

func total(counts map[string]int64) int64 {
	var sum int64
	for _, count := range counts {
		sum += count
	}
	return sum
}
