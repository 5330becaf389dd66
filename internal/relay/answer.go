package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// maxWhole is the largest answer that is held until it is complete, so that a
// truncated one can be repeated. Larger ones are passed on as they arrive.
const maxWhole = 1 << 20

// relayWhole reads a plain answer and sends it to the client.
func (q *request) relayWhole(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, sent time.Time) (attemptEnd, string) {
	q.beganRunning()
	reservation.FirstEventArrived()
	body, err := io.ReadAll(io.LimitReader(reply, maxWhole+1))
	q.patience.begun()
	if err != nil {
		if end, ended := q.endOf(ctx, reservation); ended {
			return end, err.Error()
		}
		q.failed(reservation, sent)
		return lost, "truncated reply: " + err.Error()
	}
	latency := q.relay.options.Clock.Since(sent)
	q.relay.latencies.observe(q.route.Name, latency)
	reservation.Observe(false, latency, 0)
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, false, latency)
	if len(body) > maxWhole {
		return q.relayLong(reply, body)
	}
	q.writeHead(reply, int64(len(body)))
	if _, err := q.writer.Write(body); err != nil {
		return left, err.Error()
	}
	return answered, ""
}

// relayLong passes on an answer that is too large to be held.
func (q *request) relayLong(reply *exchange.Reply, start []byte) (attemptEnd, string) {
	q.writeHead(reply, reply.Length)
	if _, err := q.writer.Write(start); err != nil {
		return left, err.Error()
	}
	if _, err := io.Copy(q.writer, reply); err != nil {
		return broken, err.Error()
	}
	return answered, ""
}

// relayFailure passes on the instance's own failure, whole and unchanged, or
// has an idempotent request repeated.
func (q *request) relayFailure(reply *exchange.Reply) (attemptEnd, string) {
	status := strconv.Itoa(reply.Status)
	if q.started {
		return broken, "status " + status
	}
	body, err := io.ReadAll(io.LimitReader(reply, maxWhole))
	if err != nil {
		return lost, "truncated failure " + status
	}
	if q.route.Repeatable() && q.attempts < q.route.Attempts && reply.Status >= http.StatusInternalServerError {
		return lost, "status " + status
	}
	q.beganRunning()
	q.outcome = "status " + status + " of the instance"
	q.writeHead(reply, int64(len(body)))
	if _, err := q.writer.Write(body); err != nil {
		return left, err.Error()
	}
	return answered, "status " + status
}

// writeHead sends status and headers. A negative length means that the body is
// sent in chunks.
func (q *request) writeHead(reply *exchange.Reply, length int64) {
	if q.started {
		return
	}
	q.started = true
	h := q.writer.Header()
	for name, values := range q.relay.options.Wire.ForClient(reply.Header) {
		h[name] = values
	}
	// Nil values keep the server from adding headers that the instance didn't send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, set := h[name]; !set {
			h[name] = nil
		}
	}
	h.Del("Content-Length")
	if length >= 0 && bodyAllowed(reply.Status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.writer.WriteHeader(reply.Status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
