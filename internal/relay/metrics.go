package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// statusClientGone is the status in logs and metrics of a request whose client
// closed the connection.
const statusClientGone = 499

func countClientGone() {
	metrics.GetOrCreateCounter("rudder_relay_client_gone_total").Inc()
}

func countPause(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_pauses_total{service=%q}", service)).Inc()
}

func observeFirstEvent(latency time.Duration) {
	metrics.GetOrCreateHistogram("rudder_relay_first_event_seconds").Update(latency.Seconds())
}

// finish writes the log line and the metrics of a finished request.
func (q *request) finish(status int, code result.Code) {
	duration := q.relay.options.Clock.Since(q.received)
	semantics := "none"
	route, service := "", ""
	if q.route != nil {
		semantics = q.route.Semantics.String()
		route = q.route.Name
	}
	if q.service != nil {
		service = q.service.Name
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_requests_total{semantics=%q,status=\"%d\",code=\"%d\"}", semantics, status, code)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("rudder_relay_request_seconds{semantics=%q}", semantics)).Update(duration.Seconds())
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	q.relay.options.Log.Info("request finished", "request", q.info.ID, "route", route, "service", service,
		"account", account, "instance", q.instance, "attempts", q.attempts, "status", status, "code", int(code),
		"ran", q.ran, "duration_ms", duration.Milliseconds(), "first_event_ms", q.firstEvent.Milliseconds(), "predicted_ms", q.predicted.Milliseconds(), "outcome", q.outcome)
}

// recordBreakOff logs and counts a response of which the client received a part only.
func (q *request) recordBreakOff(status int, code result.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_responses_broken_off_total{status=\"%d\",code=\"%d\",framing=%q}", status, code, q.framing)).Inc()
	q.relay.options.Log.Info("response broken off", "request", q.info.ID, "status", status, "code", int(code), "framing", q.framing)
}

// logAttempt logs and counts an attempt that did not succeed.
func (q *request) logAttempt(reservation *fleet.Reservation, outcome attemptOutcome, reason string) {
	if outcome == answered {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_attempts_failed_total{end=%q}", outcome.String())).Inc()
	q.relay.options.Log.Info("attempt failed", "request", q.info.ID, "instance", reservation.ID, "service", reservation.Service,
		"version", reservation.Version, "end", outcome.String(), "reason", reason, "load", reservation.Load.Inflight,
		"predicted_ms", reservation.Predicted.Milliseconds(), "alternative_ms", reservation.Alternative.Milliseconds())
}

// recordEnd counts a reply that reached the client whole by what ended its body. It logs one
// that ended with its connection, since nothing else tells that such a body is whole.
func (q *request) recordEnd(reservation *fleet.Reservation, reply *exchange.Reply, outcome attemptOutcome) {
	if outcome != answered {
		return
	}
	end, way := "connection", "direct"
	switch {
	case reply.Length >= 0:
		end = "length"
	case reply.Framed():
		end = "chunks"
	case reply.Proved():
		end = "copy"
	}
	if reply.Detoured() {
		way = "tunnel"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_replies_total{end=%q,way=%q}", end, way)).Inc()
	if !reply.Proved() {
		q.relay.options.Log.Info("reply ended with its connection", "request", q.info.ID, "instance", reservation.ID,
			"service", reservation.Service, "way", way)
	}
}

// String returns the name used in logs and metrics.
func (o attemptOutcome) String() string {
	return [...]string{"answered", "unsent", "misdirected", "refused", "lost", "broken", "left", "expired", "stopped"}[o]
}
