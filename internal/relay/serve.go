package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/evacuation"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/homes"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// maxUnsentAttempts limits the attempts that end as unsent or misdirected. They
	// do not count as attempts of the route.
	maxUnsentAttempts = 6
	// idleConnectionShare is the share of the connections accepted by an instance
	// that all daemons together may keep idle.
	idleConnectionShare = 0.3
	// maxIdleConnections is the maximum number of idle connections of one daemon
	// to an instance.
	maxIdleConnections = 16
	// minAttemptTime is the minimum time to the deadline for another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// attemptOutcome classifies how an attempt ended. Its String is the label end in
// logs and metrics.
type attemptOutcome int

const (
	// answered: the client has received the complete response.
	answered attemptOutcome = iota
	// unsent: no byte reached the instance.
	unsent
	// misdirected: another instance uses the address. The request did not run.
	misdirected
	// refused: the instance reported that it did not run the request.
	refused
	// lost: the request may have run, and no part of a response reached the client.
	lost
	// broken: the response ended early after a part of it reached the client.
	broken
	// left: the client closed the connection.
	left
	// expired: the deadline passed, or the account keys became too old.
	expired
	// stopped: the daemon stops before a part of a response reached the client.
	stopped
)

var errStopped = errors.New("the daemon stops")

// serve makes attempts until one succeeds or no further one is allowed.
func (q *request) serve() {
	q.relay.options.RetryBudget.AddRequest(q.service.Name)
	q.relay.options.Demand.Offered(q.service.Name, q.info.PromptTokens, q.info.SharedTokens)
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	ctx, abandon := context.WithCancelCause(ctx)
	defer context.AfterFunc(q.relay.ending, func() {
		if !q.responding.Load() {
			abandon(errStopped)
		}
	})()
	unsentCount := 0
	stream := q.newStreamState()
	for tries := 0; ; tries++ {
		if tries > 0 && q.quarantined() {
			q.respondProblem(q.promptQuarantined())
			return
		}
		reservation, err := q.pickOrWait(ctx)
		if err != nil {
			q.endWithoutInstance(ctx, stream)
			return
		}
		q.instance, q.predicted = reservation.ID, reservation.Predicted
		outcome, reason := q.attemptAndRelease(ctx, reservation, stream)
		q.logAttempt(reservation, outcome, reason)
		switch outcome {
		case answered:
			if q.endBody() != nil {
				q.clientLeft()
			}
			q.finish(http.StatusOK, result.OK)
			return
		case left:
			q.clientLeft()
		case expired:
			q.respondProblem(q.deadlinePassed())
			return
		case stopped:
			q.respondProblem(q.daemonStopped())
			return
		case unsent, misdirected:
			unsentCount++
			if unsentCount > maxUnsentAttempts || q.remaining() < minAttemptTime || outcome == misdirected && !q.takeRetry() {
				q.respondProblem(q.noInstance(stream))
				return
			}
			q.excluded = append(q.excluded, reservation.ID)
		case refused, lost, broken:
			q.excluded = append(q.excluded, reservation.ID)
			if p := q.checkRetry(outcome, stream); p != nil {
				q.respondProblem(p)
				return
			}
		}
	}
}

// clientLeft ends a request whose client has closed the connection. It doesn't return.
func (q *request) clientLeft() {
	q.outcome = "the client closed the connection"
	q.returnQuota()
	q.finish(statusClientGone, result.OK)
	q.breakOff(statusClientGone, result.OK)
}

// attemptAndRelease makes an attempt and releases its slot, also if the attempt panics.
func (q *request) attemptAndRelease(ctx context.Context, reservation *fleet.Reservation, stream *streamState) (attemptOutcome, string) {
	defer reservation.Release()
	return q.attempt(ctx, reservation, stream)
}

// pick reserves a slot on an instance.
func (q *request) pick() (*fleet.Reservation, error) {
	defer q.place()
	return q.relay.options.Instances.Pick(q.query())
}

func (q *request) query() fleet.Query {
	var accountHomes []string
	if q.account != nil {
		accountHomes = q.account.HomeRegions
	}
	return fleet.Query{
		AllowDataCentre: homes.Filter(q.relay.options.Regions, q.route.HomeRegions, accountHomes),
		Service:         q.service.Name, AffinityKey: q.info.AffinityKey, PromptTokens: q.info.PromptTokens, Excluded: q.excluded,
		SharedTokens: q.info.SharedTokens, Objective: q.route.Objective, Priority: q.priority(), Whole: q.route.Semantics != traffic.Streaming,
		Accept: q.relay.options.Versions.Accept(q.service.Name, q.info.ID), DataCentre: q.relay.options.DataCentre,
	}
}

// checkRetry returns nil if another attempt is allowed, or else the problem to
// send to the client.
func (q *request) checkRetry(outcome attemptOutcome, stream *streamState) *problem {
	repeatable := outcome == refused || q.route.Repeatable()
	switch {
	case !repeatable && outcome == broken:
		return outcomeUnknown(result.UpstreamIncomplete, "the stream broke")
	case !repeatable:
		return outcomeUnknown(result.OrderOutcomeUnknown, "the instance may have run the request")
	case q.attempts >= q.route.Attempts:
		return q.retriesExhausted(outcome, "no attempt is left")
	case q.remaining() < minAttemptTime:
		return q.deadlinePassed()
	case q.bodyStarted:
		return outcomeUnknown(result.UpstreamIncomplete, "the body broke off after a part of it was forwarded")
	case outcome == broken && !stream.resumable():
		return outcomeUnknown(result.UpstreamIncomplete, "the stream broke without an event ID")
	case outcome != refused && q.crashesInstances():
		return outcomeUnknown(result.PromptQuarantined, promptQuarantinedDetail)
	case !q.takeRetry():
		return q.retriesExhausted(outcome, "the retry budget is spent")
	}
	return nil
}

// crashesInstances reports whether the request must not be repeated because a part of its
// prompt has crashed instances, probably also the one at which it has just broken off.
func (q *request) crashesInstances() bool {
	if q.brokeOff != nil {
		q.brokeOff.Wait(q.http.Context())
	}
	refused, _ := q.relay.options.Crashes.Refuses(q.prompt(), true)
	return refused
}

// quarantined reports whether the prompt was quarantined since the request was admitted.
func (q *request) quarantined() bool {
	refused, _ := q.relay.options.Crashes.Refuses(q.prompt(), q.ran)
	return refused
}

// promptQuarantined returns the problem for a request that must not be sent again.
func (q *request) promptQuarantined() *problem {
	if q.ran {
		return outcomeUnknown(result.PromptQuarantined, promptQuarantinedDetail)
	}
	return notExecuted(result.PromptQuarantined, promptQuarantinedDetail, busyRetryAfter)
}

// takeRetry takes a retry from the budget, unless the attempt timer has taken it
// already.
func (q *request) takeRetry() bool {
	return q.retryTaken.Swap(false) || q.relay.options.RetryBudget.Take(q.service.Name)
}

// retriesExhausted returns the problem for a request whose last allowed attempt
// failed.
func (q *request) retriesExhausted(outcome attemptOutcome, detail string) *problem {
	if outcome == refused && !q.ran {
		return notExecuted(result.UpstreamRefused, "the instance refused; "+detail, busyRetryAfter)
	}
	return outcomeUnknown(result.UpstreamFailed, "the attempt failed; "+detail)
}

// noInstance returns the problem for a request that no instance can take. If instances
// have asked for a pause, the client is told to return when one of the pauses ends.
func (q *request) noInstance(stream *streamState) *problem {
	if q.ran || stream.started {
		return outcomeUnknown(result.NoUpstream, "no other instance can take the request")
	}
	if evacuated := q.relay.options.Evacuated; evacuated != nil && evacuated(q.query()) {
		return notExecuted(result.NoUpstream, evacuation.RefusalDetail, evacuatedRetryAfter)
	}
	if wait, withheld := q.relay.options.Instances.Withheld(q.query()); withheld {
		countWithheld(q.service.Name, "refused")
		return notExecuted(result.NoUpstream, "the instances that can take the request have just started", q.withheldRetryAfter(wait))
	}
	if wait, paused := q.relay.options.Instances.RetryAfter(q.query(), q.priority() == 0, q.remaining()); paused {
		return notExecuted(result.UpstreamRefused, "all instances have asked for a pause", wait)
	}
	if q.relay.options.Instances.Full(q.query()) {
		return q.instancesFull()
	}
	return notExecuted(result.NoUpstream, "no instance can take the request", busyRetryAfter)
}

// deadlinePassed returns the problem for a request whose deadline has passed.
func (q *request) deadlinePassed() *problem {
	if !q.ran {
		return notExecuted(result.DeadlineTooShort, "the deadline passed before the request was sent", busyRetryAfter)
	}
	return &problem{code: result.DeadlineExceeded, status: http.StatusGatewayTimeout, detail: "the deadline passed"}
}

// daemonStopped returns the problem for a request that the stop of the daemon has ended.
func (q *request) daemonStopped() *problem {
	if !q.ran {
		return notExecuted(result.Draining, "the daemon stopped before the request was sent", 0)
	}
	return outcomeUnknown(result.UpstreamIncomplete, "the daemon stopped before the instance had answered")
}

// attempt sends the request to one instance and relays the reply. The string is
// the reason for the log if the attempt failed.
func (q *request) attempt(ctx context.Context, reservation *fleet.Reservation, stream *streamState) (attemptOutcome, string) {
	options := &q.relay.options
	if q.account != nil && !options.Configuration.Fresh(options.MaxKeyAge) {
		return expired, "the account keys may be out of date"
	}
	sent := options.Clock.Now()
	q.brokeOff, q.sent = nil, bootclock.Now()
	ctx, timer := q.withAttemptTimeout(ctx, reservation)
	defer timer.release()
	reply, err := options.Pool.Do(ctx, q.peer(reservation), q.newRequest(reservation, stream))
	if err != nil {
		return q.exchangeFailed(ctx, reservation, err)
	}
	q.attemptTimer = timer
	defer reply.Close()
	options.Instances.Answered(reservation.Description)
	class := options.Headers.Classify(reply.Status, reply.Header)
	q.heedNotice(reservation, reply, class)
	switch class {
	case NotExecuted:
		q.attempts++
		reservation.Observe(false, 0, 0)
		return refused, "the instance refused the request"
	case WrongInstance:
		reservation.MarkDisplaced()
		return misdirected, "another instance uses the address"
	case InvalidReply:
		q.attempts++
		q.ran = true
		q.observeFailure(reservation, sent)
		return lost, "the reply is not from an instance"
	case Failure:
		q.attempts++
		q.ran = true
		q.observeFailure(reservation, sent)
		outcome, reason := q.relayFailure(ctx, reply, reservation)
		q.recordEnd(reservation, reply, outcome)
		return outcome, reason
	}
	q.attempts++
	q.ran = true
	if q.headWritten && reply.Header.Get("Content-Type") != q.writer.Header().Get("Content-Type") {
		q.observeFailure(reservation, sent)
		return broken, "the reply does not continue the stream"
	}
	var outcome attemptOutcome
	var reason string
	if q.route.Semantics == traffic.Streaming {
		outcome, reason = q.relayStream(ctx, reply, reservation, stream, sent)
	} else {
		outcome, reason = q.relayBuffered(ctx, reply, reservation, sent)
	}
	q.recordEnd(reservation, reply, outcome)
	return outcome, reason
}

// heedNotice applies what the instance says about itself in its reply, before the reply
// is passed on.
func (q *request) heedNotice(reservation *fleet.Reservation, reply *exchange.Reply, class ReplyClass) {
	notice := q.relay.options.Headers.Notice(reply.Status, reply.Header)
	if notice.Leaving {
		reservation.MarkLeaving()
	}
	if notice.Pause > 0 {
		reservation.Pause(notice.Pause)
		countPause(reservation.Service)
	}
	heedFragility(reservation, notice, class)
}

// peer returns the address of the instance and the number of idle connections
// that this daemon may keep to it. All daemons together keep at most a share of
// the connections that an instance accepts idle; the rest is for requests.
func (q *request) peer(reservation *fleet.Reservation) exchange.Peer {
	idle := maxIdleConnections
	if limit := q.service.MaxConnections; limit > 0 {
		share := float64(limit) * idleConnectionShare / float64(max(q.relay.options.DaemonCount(), 1))
		idle = min(int(share), maxIdleConnections)
	}
	return exchange.Peer{ID: reservation.ID, Address: reservation.Address, MaxIdleConns: idle}
}

// exchangeFailed classifies an attempt that got no reply.
func (q *request) exchangeFailed(ctx context.Context, reservation *fleet.Reservation, err error) (attemptOutcome, string) {
	notSent := errors.Is(err, exchange.ErrNotSent)
	if !notSent {
		q.attempts++
		q.ran = true
	}
	if outcome, ended := q.contextOutcome(ctx, reservation); ended {
		return outcome, err.Error()
	}
	if errors.Is(err, exchange.ErrLinksLost) {
		return unsent, err.Error()
	}
	countFragileFailure(reservation)
	if notSent {
		reservation.Observe(true, 0, 0)
		if errors.Is(err, exchange.ErrRefused) {
			// Other errors may be those of this daemon's machine or link.
			q.relay.options.Instances.Unreachable(reservation.Description)
		}
		return unsent, err.Error()
	}
	q.observeFailure(reservation, time.Time{})
	q.connectionBroke(reservation)
	return lost, err.Error()
}

// connectionBroke reports that the connection to the instance ended without a complete
// reply, although neither the client nor the daemon ended the attempt.
func (q *request) connectionBroke(reservation *fleet.Reservation) {
	q.brokeOff = q.relay.options.Crashes.Broke(reservation.Description, q.prompt())
}

// contextOutcome returns the outcome of an attempt whose context has ended, and
// false if the context has not ended.
func (q *request) contextOutcome(ctx context.Context, reservation *fleet.Reservation) (attemptOutcome, bool) {
	switch {
	case q.http.Context().Err() != nil:
		return left, true
	case errors.Is(context.Cause(ctx), errStopped):
		return stopped, true
	case errors.Is(context.Cause(ctx), errAttemptTimeout):
		// The request would have taken longer still.
		reservation.ObserveTime(bootclock.Now() - q.sent)
		q.observeFailure(reservation, time.Time{})
		return lost, true
	case ctx.Err() != nil:
		reservation.Observe(true, 0, 0)
		return expired, true
	}
	return answered, false
}

// observeFailure records a failed attempt in the health of the instance and of its
// version. sent is zero if the latency is unknown.
func (q *request) observeFailure(reservation *fleet.Reservation, sent time.Time) {
	reservation.Observe(true, 0, 0)
	var latency time.Duration
	if !sent.IsZero() {
		latency = q.relay.options.Clock.Since(sent)
	}
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, true, latency)
}

// newRequest returns the request to send to the instance.
func (q *request) newRequest(reservation *fleet.Reservation, stream *streamState) *exchange.Request {
	attempt := Attempt{
		InstanceID: reservation.ID, Remaining: q.remaining(), Priority: q.priority(), LastEvent: stream.lastID,
		PromptSource: reservation.PromptSource,
	}
	if q.account != nil {
		attempt.Account = q.account.Name
	}
	return &exchange.Request{
		Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host, Body: q.body.data,
		HasBody: q.http.ContentLength != 0, NewConnection: !q.route.Repeatable(),
		Header: q.relay.options.Headers.ForInstance(q.http.Header, attempt),
		ID:     q.info.ID, Matches: q.relay.options.Headers.Matches,
	}
}

// priority returns the priority of the request at the instance; 0 is the highest.
func (q *request) priority() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// meterOnce counts the request for its account when it has started to run.
func (q *request) meterOnce() {
	if q.metered {
		return
	}
	q.metered = true
	if q.account != nil {
		q.relay.options.Meter.RequestStarted(q.account.Name)
	}
}
