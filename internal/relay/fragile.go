package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// slotInterval is the time between two looks for a free slot at fragile instances; up to
// half of it is added at random.
const slotInterval = 15 * time.Millisecond

// heedFragility applies what a reply says about the rejections that the instance bears.
func heedFragility(reservation *fleet.Reservation, notice Notice, class ReplyClass) {
	if class == WrongInstance || class == InvalidReply {
		return
	}
	if notice.Fragile {
		reservation.MarkFragile(notice.RejectionsBorne)
		if class == NotExecuted {
			countFragile("rejected", reservation.Service)
		}
	}
	reservation.Answered(notice.Fragile, class == NotExecuted)
}

// countFragileFailure records a connection that failed, if the instance is fragile.
func countFragileFailure(reservation *fleet.Reservation) {
	if reservation.Broke() {
		countFragile("failed", reservation.Service)
	}
}

// waitForSlot reserves a slot on a fragile instance as soon as one has room. It waits while
// the request can still be on time, and fails at once if as many wait as may.
func (q *request) waitForSlot(ctx context.Context) (*fleet.Reservation, error) {
	clock, waiting := q.relay.options.Clock, &q.relay.waiting
	defer waiting.Add(-1)
	if waiting.Add(1) > maxHeld {
		return nil, fleet.ErrNoInstance
	}
	end := q.received.Add(q.route.Objective - q.relay.latencies.average(q.route.Name))
	if q.deadline.Before(end) {
		end = q.deadline
	}
	countFragile("waited", q.service.Name)
	for {
		wait := slotInterval + rand.N(slotInterval/2)
		if clock.Now().Add(wait).After(end) {
			return nil, fleet.ErrNoInstance
		}
		select {
		case <-ctx.Done():
			return nil, fleet.ErrNoInstance
		case <-clock.After(wait):
		}
		if reservation, err := q.pick(); err == nil {
			return reservation, nil
		}
	}
}

// instancesFull returns the problem for a request for which no fragile instance has room.
// Callers return over the route's objective.
func (q *request) instancesFull() *problem {
	countFragile("refused", q.service.Name)
	wait := busyRetryAfter + time.Duration(rand.Float64()*float64(q.route.Objective))
	return notExecuted(result.Overloaded, "the instances have no room, and fail when they reject requests", wait)
}

// countFragile counts a request at fragile instances by what became of it.
func countFragile(end, service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_fragile_requests_total{service=%q,end=%q}", service, end)).Inc()
}
