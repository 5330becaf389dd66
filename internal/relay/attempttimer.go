package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

const (
	// attemptTimeoutShare is the share of the route's latency objective that an
	// attempt may take if another attempt is allowed. The rest is left for that
	// attempt.
	attemptTimeoutShare = 0.6
	// minAttemptTimeout is the lower bound of the attempt timeout.
	minAttemptTimeout = 100 * time.Millisecond
	// minAttemptTimeoutFactor is a further lower bound, as a multiple of the route's
	// average latency, so that retries do not add load to overloaded instances.
	minAttemptTimeoutFactor = 3
	// lateFactor is the multiple of its predicted time beyond which an attempt counts as
	// late. Instances that are slow for a moment are two to three times as slow.
	lateFactor = 2.0
	// latencySmoothing is the weight of a new sample in the moving average.
	latencySmoothing = 0.02
)

var errAttemptTimeout = errors.New("no reply within the attempt timeout")

// attemptTimer cancels an attempt that has no reply in time: the complete body if
// it is buffered, or the first event of a stream.
type attemptTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// stop stops the timer; the attempt goes on.
func (t *attemptTimer) stop() {
	if t != nil && t.timer != nil {
		t.timer.Stop()
	}
}

// release stops the timer and releases the context of the attempt.
func (t *attemptTimer) release() {
	t.stop()
	if t.cancel != nil {
		t.cancel(nil)
	}
}

// withAttemptTimeout sets the timeout of an attempt if the request may be sent to
// another instance. When the timer fires, a retry is taken from the budget; if
// none is left, or no other instance can take the request, the attempt goes on, because
// it could not be repeated.
func (q *request) withAttemptTimeout(ctx context.Context, reservation *fleet.Reservation) (context.Context, *attemptTimer) {
	if !q.route.Repeatable() || q.attempts+1 >= q.route.Attempts || q.route.Objective <= 0 {
		return ctx, &attemptTimer{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	wait := q.attemptTimeout(reservation)
	query := q.query()
	query.Excluded = append(slices.Clone(query.Excluded), reservation.ID)
	t := &attemptTimer{cancel: cancel}
	t.timer = time.AfterFunc(wait, func() {
		if options := &q.relay.options; options.Instances.HasAlternative(query) && options.RetryBudget.Take(q.service.Name) {
			q.retryTaken.Store(true)
			cancel(errAttemptTimeout)
		}
	})
	return ctx, t
}

// attemptTimeout returns the time after which an attempt is given up. Where times are
// predicted, that is the last moment at which the best other instance can still meet the
// latency objective, but not before the attempt is late by its own prediction: a long
// request that takes as long as it must would only begin anew.
func (q *request) attemptTimeout(reservation *fleet.Reservation) time.Duration {
	objective := q.route.Objective
	if reservation.Predicted <= 0 || reservation.Alternative <= 0 {
		return max(time.Duration(attemptTimeoutShare*float64(objective)), minAttemptTimeout,
			minAttemptTimeoutFactor*q.relay.latencies.average(q.route.Name))
	}
	elapsed := q.relay.options.Clock.Since(q.received)
	return attemptTimeoutFor(objective-elapsed, reservation.Predicted, reservation.Alternative)
}

// attemptTimeoutFor returns the timeout of an attempt with a predicted time, given the time
// left to the latency objective and the predicted time at the best other instance.
func attemptTimeoutFor(left, predicted, alternative time.Duration) time.Duration {
	return max(left-alternative, minAttemptTimeout, time.Duration(lateFactor*float64(predicted)))
}

// latencies holds the moving average of the latency of successful attempts by
// route, to the complete body or to the first event of a stream.
type latencies struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

func (l *latencies) observe(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRoute == nil {
		l.byRoute = map[string]time.Duration{}
	}
	old, known := l.byRoute[route]
	if !known {
		old = latency
	}
	l.byRoute[route] = old + time.Duration(latencySmoothing*float64(latency-old))
}

func (l *latencies) average(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRoute[route]
}
