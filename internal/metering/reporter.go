// Package metering reports the usage of each time window to the cloud. Only the
// holder of the coordinator duty reports. It writes the counts to the store
// before it reports them, so that the next holder repeats an unacknowledged
// report with the same counts. If the store may have lost what an earlier holder wrote,
// the windows that may have been reported are skipped.
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
	// Predecessor returns the token that the holder of the duty had when the store was
	// restored from an older copy, if nobody else has had it since, and 0 otherwise.
	Predecessor func() int64
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
	// Generation is that of the store for which the plan was written. In later ones, plans
	// that followed it may be lost.
	Generation int64 `json:"generation,omitempty"`
}

// Reporter performs the metering duty.
type Reporter struct {
	config Config

	token     int64     // fencing token under which the plan was read; 0 to read it again
	loaded    int64     // latest fencing token under which the plan was read
	dutyToken int64     // fencing token of the latest acquisition of the duty
	acquired  time.Time // wall-clock time of that acquisition
	plan      plan
	revision  int64 // of the plan's key in the store
	pending   bool  // the cloud has not acknowledged the plan yet
	next      int64 // window to report after that of the plan
	rewrite   bool  // the store lacks the plan
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
		if err := r.loadPlan(ctx, token); err != nil || r.token == 0 {
			return err
		}
	}
	if r.rewrite {
		if err := r.writePlan(ctx, r.plan); err != nil || r.token == 0 {
			return err
		}
		r.rewrite = false
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
// A plan that is not overdue is sent again. It leaves r.token 0 if the duty was lost
// meanwhile.
func (r *Reporter) loadPlan(ctx context.Context, token int64) error {
	kv, err := r.config.Store.Get(ctx, r.config.Key)
	if err != nil {
		return errors.WithMessage(err, "read usage plan")
	}
	var stored plan
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, &stored); err != nil {
			return errors.Wrap(err, "decode usage plan")
		}
	}
	if r.config.Token() != token {
		return nil // the reply may be of a later generation than the token
	}
	r.revision, r.rewrite = kv.ModRevision, false
	switch {
	case kv.ModRevision != 0 && stored.Generation == store.Generation(token):
		r.plan, r.pending, r.next = stored, !r.overdue(stored.Window), stored.Window+1
	case r.loaded != 0 && (r.loaded == token || r.loaded == r.config.Predecessor()):
		r.rewrite = r.plan.Window != 0
	default:
		r.skipEarlier(stored)
	}
	r.token, r.loaded = token, token
	return nil
}

// skipEarlier skips the windows that a holder of an earlier generation may have reported, as
// it plans a window after its end, and not once it has noticed the restore: the present one
// too, since that holder's clock may have been ahead. The counts it reported are not known: the
// stored plan may be older, or the write of one that was given up and that was executed late.
func (r *Reporter) skipEarlier(stored plan) {
	current := r.windowOf(r.config.Civil())
	r.plan, r.pending, r.next = plan{}, false, max(current+1, stored.Window+1)
	if stored.Window == 0 {
		r.next = current
		return // there was no report, or the copy is from before the first one
	}
	metrics.GetOrCreateCounter("rudder_metering_plans_lost_total").Inc()
	r.config.Log.Warn("usage windows skipped after a restore of the store", "next", r.next, "stored", stored.Window)
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
	if err := r.writePlan(ctx, next); err != nil || r.token == 0 {
		return err
	}
	r.pending, r.next = true, next.Window+1
	return r.send(ctx, r.token)
}

// writePlan writes a plan to the store. If that fails, the plan is read again: the write may
// have taken effect, or another holder has written.
func (r *Reporter) writePlan(ctx context.Context, p plan) error {
	p.Generation = store.Generation(r.token)
	value, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode usage plan")
	}
	result, err := r.config.Store.Txn(ctx,
		[]store.Condition{{Key: r.config.Key, ModRevision: r.revision}},
		[]store.Op{{Key: r.config.Key, Value: value}})
	if err != nil || !result.Succeeded {
		r.token = 0
		return errors.WithMessage(err, "write usage plan")
	}
	r.plan, r.revision = p, result.Revision
	return nil
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
