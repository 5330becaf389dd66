// Package metering reports the usage of each time window to the cloud. Only the
// holder of the coordinator duty reports. It writes the counts to the store
// before it reports them, so that the next holder repeats an unacknowledged
// report with the same counts.
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
	// minReportDelay is the minimum time between a window's end and its usage
	// report. The last reports of the daemons arrive in this time: it is
	// several report intervals long.
	minReportDelay = 900 * time.Millisecond
	// silentWaitFraction is the fraction of Config.Lateness for which a usage report
	// waits for daemons that are silent, because a frozen daemon may resume and a
	// network partition may end. The rest is enough for writing the plan and for
	// the call with its retries.
	silentWaitFraction = 0.8
	// takeoverTime is the time in which all daemons learn of a new holder of
	// the duty and report to it. They learn of it from the store, and report
	// every 0.5 s.
	takeoverTime = 1500 * time.Millisecond
	// reportMargin is the part of Config.Lateness reserved for writing the plan
	// and for the call.
	reportMargin = time.Second
	// stepInterval is the time between two calls of Step.
	stepInterval = 200 * time.Millisecond
	// callTimeout bounds one Step. It allows for the slow answers of a degraded
	// cloud.
	callTimeout = 1500 * time.Millisecond
)

// Config holds the parameters of a Reporter.
type Config struct {
	Log   *slog.Logger
	Store store.Store
	Key   string // of the plan in the store
	Cloud cloudduty.Client
	// Token returns the fencing token of the duty, 0 while it isn't held.
	Token func() int64
	// Counts returns the usage of a window by account. known is false until a new
	// holder of the duty has restored the counts. complete is true once all
	// daemons have reported since the window's end.
	Counts   func(window int64, end time.Time) (counts map[string]int64, known, complete bool)
	Civil    func() time.Time // wall-clock time
	Window   time.Duration    // length of a window
	Lateness time.Duration    // maximum time from a window's end to its usage report
}

// plan is a usage report as stored before it is sent.
type plan struct {
	Window int64            `json:"window"` // Unix time divided by Config.Window
	Counts map[string]int64 `json:"counts"` // requests by account
}

// Reporter performs the metering duty.
type Reporter struct {
	config Config

	token     int64     // fencing token under which the plan was read; 0 to read it again
	dutyToken int64     // fencing token of the latest acquisition of the duty
	acquired  time.Time // wall-clock time of that acquisition
	plan      plan
	revision  int64 // of the plan's key in the store
	pending   bool  // the cloud has not acknowledged the plan yet
	next      int64 // window to report after that of the plan
}

// New returns a Reporter.
func New(config Config) *Reporter { return &Reporter{config: config} }

// Run reports usage until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	return duty.Every(ctx, stepInterval, func(ctx context.Context) {
		if err := r.Step(ctx); err != nil && ctx.Err() == nil {
			r.config.Log.Warn("usage not reported", "window", r.plan.Window, "token", r.token, "error", err)
		}
	})
}

// Step makes the next call to the store or the cloud that is due, if any.
func (r *Reporter) Step(ctx context.Context) error {
	token := r.config.Token()
	if token == 0 {
		r.token = 0
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if token != r.token {
		if err := r.loadPlan(ctx); err != nil {
			return err
		}
		r.token = token
	}
	if token != r.dutyToken {
		r.dutyToken, r.acquired = token, r.config.Civil()
	}
	if r.pending {
		return r.send(ctx, token)
	}
	return r.planNext(ctx)
}

// loadPlan loads the last plan from the store, and continues after its window.
// A plan that is not overdue is sent again.
func (r *Reporter) loadPlan(ctx context.Context) error {
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
	r.pending = !r.overdue(r.plan.Window)
	return nil
}

func (r *Reporter) windowOf(t time.Time) int64 { return t.UnixNano() / int64(r.config.Window) }

// sinceEnd returns the time since a window ended; it is negative before the end.
func (r *Reporter) sinceEnd(window int64) time.Duration {
	return time.Duration(r.config.Civil().UnixNano() - (window+1)*int64(r.config.Window))
}

// maxWait returns the maximum time after a window's end for which the usage
// report waits for silent daemons. A new holder of the duty knows only the counts
// that the previous one stored, so it also waits until the daemons have had time
// to report to it.
func (r *Reporter) maxWait(window int64) time.Duration {
	wait := time.Duration(float64(r.config.Lateness) * silentWaitFraction)
	end := time.Unix(0, (window+1)*int64(r.config.Window))
	reportedBy := r.acquired.Add(takeoverTime).Sub(end)
	return min(max(wait, reportedBy), r.config.Lateness-reportMargin)
}

// overdue reports whether the usage of a window can no longer be reported in time.
func (r *Reporter) overdue(window int64) bool { return r.sinceEnd(window) > r.config.Lateness }

// planNext stores and sends the plan of the next window once its counts are
// complete or the maximum wait is over. It skips windows that are overdue.
func (r *Reporter) planNext(ctx context.Context) error {
	for r.overdue(r.next) {
		metrics.GetOrCreateCounter("rudder_metering_windows_missed_total").Inc()
		r.config.Log.Error("usage window missed", "window", r.next, "late_by", r.sinceEnd(r.next)-r.config.Lateness)
		r.next++
	}
	if r.sinceEnd(r.next) < minReportDelay {
		return nil
	}
	end := time.Unix(0, (r.next+1)*int64(r.config.Window))
	counts, known, complete := r.config.Counts(r.next, end)
	if !known || !complete && r.sinceEnd(r.next) < r.maxWait(r.next) {
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
		// This write may have taken effect, or another holder has written: read
		// the plan again.
		r.token = 0
		return errors.WithMessage(err, "write usage plan")
	}
	r.plan, r.revision, r.pending = next, result.Revision, true
	r.next = next.Window + 1
	return r.send(ctx, r.token)
}

// send reports the plan to the cloud. The plan stays pending until the cloud
// acknowledges it, so that the next Step repeats it unchanged.
func (r *Reporter) send(ctx context.Context, token int64) error {
	if r.overdue(r.plan.Window) {
		metrics.GetOrCreateCounter("rudder_metering_windows_missed_total").Inc()
		r.pending = false
		return errors.Errorf("lateness limit of usage window %d has passed", r.plan.Window)
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
