package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

const (
	// withheldWaitShare is the part of the route's objective for which a request waits
	// until an instance that has just started may take it. What is left of the objective
	// is enough for the request itself.
	withheldWaitShare = 1.0 / 8
	// withheldWaitJitter is the largest random wait beyond the end of the delay, so that
	// requests that wait for the same instance don't all try at once.
	withheldWaitJitter = 5 * time.Millisecond
)

// pickOrWait reserves a slot on an instance. If all that can take the request have just
// started and may take no more now, it waits, for a part of the route's objective at most.
func (q *request) pickOrWait(ctx context.Context) (*fleet.Reservation, error) {
	clock := q.relay.options.Clock
	for waited := false; ; waited = true {
		reservation, err := q.pick()
		if err == nil {
			return reservation, nil
		}
		if q.relay.options.Instances.Full(q.query()) {
			return q.waitForSlot(ctx)
		}
		wait, withheld := q.relay.options.Instances.Withheld(q.query())
		wait += rand.N(withheldWaitJitter)
		limit := time.Duration(withheldWaitShare*float64(q.route.Objective)) - clock.Since(q.received)
		if !withheld || wait > min(limit, q.remaining()) {
			return nil, err
		}
		if !waited {
			countWithheld(q.service.Name, "waited")
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-clock.After(wait):
		}
	}
}

// endWithoutInstance ends a request for which no instance was found, possibly after a wait.
func (q *request) endWithoutInstance(ctx context.Context, stream *streamState) {
	switch {
	case q.http.Context().Err() != nil:
		q.clientLeft()
	case errors.Is(context.Cause(ctx), errStopped):
		q.respondProblem(q.daemonStopped())
	default:
		q.respondProblem(q.noInstance(stream))
	}
}

// withheldRetryAfter returns the time after which a client may return whose request
// instances that have just started can't take for wait. Entries may say that instances are
// cold for longer than their service needs to warm up, and other daemons may be allowed to
// send to them earlier.
func (q *request) withheldRetryAfter(wait time.Duration) time.Duration {
	if limit := q.service.WarmupTime; limit > 0 {
		wait = min(wait, limit)
	}
	if q.relay.options.Instances.ServedElsewhere(q.query()) {
		wait = min(wait, busyRetryAfter)
	}
	return wait
}

// countWithheld counts a request that waited or was refused because instances have just
// started.
func countWithheld(service, end string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_warmup_withheld_total{service=%q,end=%q}", service, end)).Inc()
}
