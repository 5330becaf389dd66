package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// unsentLimit bounds attempts of which no byte was sent.
	unsentLimit = 6
	// idleShare is the part of the connections that an instance accepts which
	// the daemons keep idle, mostIdle the largest number at one daemon.
	idleShare = 0.3
	mostIdle  = 16
	// leastAttempt is the least remaining time for which a request is sent.
	leastAttempt = 20 * time.Millisecond
)

// attemptEnd is how an attempt ended.
type attemptEnd int

const (
	// answered: the client has the whole answer.
	answered attemptEnd = iota
	// unsent: no byte reached the instance.
	unsent
	// misdirected: another instance uses the address; nothing ran.
	misdirected
	// refused: the instance said that the request did not run.
	refused
	// lost: the request may have run, and no part of an answer reached the client.
	lost
	// broken: the stream ended early after a part of it reached the client.
	broken
	// left: the client went away.
	left
	// expired: the deadline passed.
	expired
)

// serve makes attempts until one answers or none is allowed.
func (q *request) serve() {
	q.relay.options.Budget.Offer(q.service.Name)
	q.relay.options.Demand.Offered(q.service.Name, q.info.PromptTokens, q.info.SharedTokens)
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	unsentCount := 0
	stream := &streamState{lastID: q.info.LastEvent}
	for {
		reservation, err := q.pick()
		if err != nil {
			q.refuse(q.withoutInstance(stream))
			return
		}
		q.instance = reservation.ID
		end, reason := q.attempt(ctx, reservation, stream)
		reservation.Release()
		q.logAttempt(reservation, end, reason)
		switch end {
		case answered:
			q.finish(http.StatusOK, result.OK)
			return
		case left:
			q.outcome = "the client left"
			q.finish(statusClientGone, result.OK)
			panic(http.ErrAbortHandler)
		case expired:
			q.refuse(q.late())
			return
		case unsent, misdirected:
			unsentCount++
			if unsentCount > unsentLimit || q.remaining() < leastAttempt || end == misdirected && !q.takeRetry() {
				q.refuse(q.withoutInstance(stream))
				return
			}
			q.excluded = append(q.excluded, reservation.ID)
		case refused, lost, broken:
			q.excluded = append(q.excluded, reservation.ID)
			if f := q.mayRepeat(end, stream); f != nil {
				q.refuse(f)
				return
			}
		}
	}
}

// pick reserves a place on an instance.
func (q *request) pick() (*fleet.Reservation, error) {
	query := fleet.Query{
		Service: q.service.Name, AffinityKey: q.info.Affinity, PromptTokens: q.info.PromptTokens, Excluded: q.excluded,
		SharedTokens: q.info.SharedTokens,
		Accept:       q.relay.options.Versions.Accept(q.service.Name, q.info.ID), DataCentre: q.relay.options.DataCentre,
	}
	return q.relay.options.Instances.Pick(query)
}

// mayRepeat returns nil if another attempt is allowed, or the final answer.
func (q *request) mayRepeat(end attemptEnd, stream *streamState) *failure {
	repeatable := end == refused || q.route.Repeatable()
	switch {
	case !repeatable && end == broken:
		return unknown(result.UpstreamIncomplete, "the stream broke")
	case !repeatable:
		return unknown(result.OrderOutcomeUnknown, "the instance may have run the request")
	case q.attempts >= q.route.Attempts:
		return q.exhausted(end, "no attempt is left")
	case q.remaining() < leastAttempt:
		return q.late()
	case end == broken && !stream.resumable():
		return unknown(result.UpstreamIncomplete, "the stream broke without an event ID")
	case !q.takeRetry():
		return q.exhausted(end, "the retry budget is spent")
	}
	return nil
}

// takeRetry draws on the retry budget, unless the next attempt was drawn already.
func (q *request) takeRetry() bool {
	return q.prepaid.Swap(false) || q.relay.options.Budget.Take(q.service.Name)
}

// exhausted is the answer when the last allowed attempt failed.
func (q *request) exhausted(end attemptEnd, detail string) *failure {
	if end == refused && !q.ran {
		return notRun(result.UpstreamRefused, "the instance refused; "+detail, busyRetry)
	}
	return unknown(result.UpstreamFailed, "the attempt failed; "+detail)
}

// withoutInstance is the answer when no instance can take the request.
func (q *request) withoutInstance(stream *streamState) *failure {
	if q.ran || stream.begun {
		return unknown(result.NoUpstream, "no other instance can take the request")
	}
	return notRun(result.NoUpstream, "no instance can take the request", busyRetry)
}

// late is the answer when the deadline passed.
func (q *request) late() *failure {
	if !q.ran {
		return notRun(result.DeadlineTooShort, "the deadline passed before the request was sent", busyRetry)
	}
	return &failure{code: result.DeadlineExceeded, status: http.StatusGatewayTimeout, detail: "the deadline passed"}
}

// attempt sends the request to one instance and relays its answer.
func (q *request) attempt(ctx context.Context, reservation *fleet.Reservation, stream *streamState) (attemptEnd, string) {
	options := &q.relay.options
	if q.account != nil && !options.Configuration.Fresh(options.KeyFreshness) {
		return expired, "the account keys may be out of date"
	}
	sent := options.Clock.Now()
	ctx, patience := q.withPatience(ctx)
	defer patience.stop()
	reply, err := options.Pool.Do(ctx, q.peer(reservation), q.encode(reservation, stream))
	if err != nil {
		return q.failedExchange(ctx, reservation, err)
	}
	q.patience = patience
	defer reply.Close()
	switch options.Wire.Judge(reply.Status, reply.Header) {
	case NotExecuted:
		q.attempts++
		reservation.Observe(false, 0, 0)
		return refused, "refused"
	case WrongInstance:
		reservation.MarkDisplaced()
		return misdirected, "another instance uses the address"
	case Garbled:
		q.attempts++
		q.ran = true
		q.failed(reservation, sent)
		return lost, "garbled reply"
	case Failure:
		q.attempts++
		q.ran = true
		q.failed(reservation, sent)
		return q.relayFailure(reply)
	}
	q.attempts++
	q.ran = true
	if q.route.Semantics == traffic.Streaming {
		return q.relayStream(ctx, reply, reservation, stream, sent)
	}
	return q.relayWhole(ctx, reply, reservation, sent)
}

// peer names the instance. The daemons together keep a part of the connections
// that an instance accepts idle; the rest is for requests.
func (q *request) peer(reservation *fleet.Reservation) exchange.Peer {
	idle := mostIdle
	if limit := q.service.MaxConnections; limit > 0 {
		share := float64(limit) * idleShare / float64(max(q.relay.options.Daemons(), 1))
		idle = min(int(share), mostIdle)
	}
	return exchange.Peer{ID: reservation.ID, Address: reservation.Address, MaxIdle: idle}
}

// failedExchange classifies an exchange without a reply.
func (q *request) failedExchange(ctx context.Context, reservation *fleet.Reservation, err error) (attemptEnd, string) {
	notSent := errors.Is(err, exchange.ErrNotSent)
	if !notSent {
		q.attempts++
		q.ran = true
	}
	if end, ended := q.endOf(ctx, reservation); ended {
		return end, err.Error()
	}
	if notSent {
		reservation.Observe(true, 0, 0)
		return unsent, err.Error()
	}
	q.failed(reservation, time.Time{})
	return lost, err.Error()
}

// endOf tells why the attempt's context ended, if it did.
func (q *request) endOf(ctx context.Context, reservation *fleet.Reservation) (attemptEnd, bool) {
	switch {
	case q.http.Context().Err() != nil:
		return left, true
	case errors.Is(context.Cause(ctx), errSlow):
		q.failed(reservation, time.Time{})
		return lost, true
	case ctx.Err() != nil:
		reservation.Observe(true, 0, 0)
		return expired, true
	}
	return answered, false
}

func (q *request) failed(reservation *fleet.Reservation, sent time.Time) {
	reservation.Observe(true, 0, 0)
	var latency time.Duration
	if !sent.IsZero() {
		latency = q.relay.options.Clock.Since(sent)
	}
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, true, latency)
}

// encode makes the request to the instance.
func (q *request) encode(reservation *fleet.Reservation, stream *streamState) *exchange.Request {
	attempt := Attempt{
		InstanceID: reservation.ID, Remaining: q.remaining(), Urgency: q.urgency(), LastEvent: stream.lastID,
		PromptSource: reservation.PromptSource,
	}
	if q.account != nil {
		attempt.Account = q.account.Name
	}
	return &exchange.Request{
		Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host, Body: q.body,
		HasBody: q.http.ContentLength != 0, Fresh: !q.route.Repeatable(),
		Header:  q.relay.options.Wire.ForInstance(q.http.Header, attempt),
		Matches: func(h http.Header) bool { return q.relay.options.Wire.Matches(h, q.info.ID) },
	}
}

// urgency is the rank of the request at the instance.
func (q *request) urgency() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// began counts the request as running.
func (q *request) beganRunning() {
	if q.began {
		return
	}
	q.began = true
	if q.account != nil {
		q.relay.options.Meter.Began(q.account.Name)
	}
}
