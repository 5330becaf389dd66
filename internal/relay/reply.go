package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// maxBufferedBytes is the largest body that is buffered until it is complete, so
// that the request can be retried if the body is truncated. Larger bodies are
// forwarded as they arrive.
const maxBufferedBytes = 1 << 20

// maxReplyBytes is the largest body of a reply that is not a stream. A longer one
// counts as one without end and is broken off.
const maxReplyBytes = 64 << 20

// relayBuffered reads a reply that is not a stream and sends it to the client.
func (q *request) relayBuffered(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, sent time.Time) (attemptOutcome, string) {
	q.meterOnce()
	reservation.FirstEventArrived()
	body := buffer{budget: q.relay.options.ReplyMemory}
	defer body.free()
	err := body.readAll(reply, maxBufferedBytes)
	q.attemptTimer.stop()
	if err != nil && !errors.Is(err, errBodyTooLarge) {
		if outcome, ended := q.contextOutcome(ctx, reservation); ended {
			return outcome, err.Error()
		}
		q.observeFailure(reservation, sent)
		if !errors.Is(err, errBufferMemory) {
			q.connectionBroke(reservation)
		}
		return lost, "truncated reply: " + err.Error()
	}
	latency := q.relay.options.Clock.Since(sent)
	q.relay.latencies.observe(q.route.Name, latency)
	reservation.Observe(false, latency, 0)
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, false, latency)
	if err != nil {
		return q.relayUnbuffered(reply, &body)
	}
	q.completed(reservation, reply, sent)
	q.writeHead(reply, int64(len(body.data)))
	if _, err := q.writer.Write(body.data); err != nil {
		return left, err.Error()
	}
	return answered, ""
}

// relayUnbuffered forwards a reply that is too large to be buffered. start is the
// part of the body that has been read.
func (q *request) relayUnbuffered(reply *exchange.Reply, start *buffer) (attemptOutcome, string) {
	q.bodyStarted = true
	q.writeHead(reply, reply.Length)
	if _, err := q.writer.Write(start.data); err != nil {
		return left, err.Error()
	}
	rest := int64(maxReplyBytes - len(start.data))
	start.free()
	n, err := io.Copy(q.writer, io.LimitReader(reply, rest))
	if err != nil {
		return broken, err.Error()
	}
	if n == rest && !reply.Complete() {
		return broken, "the reply is longer than 64 MiB"
	}
	return answered, ""
}

// relayFailure forwards the error reply of the instance unchanged, or returns an
// outcome after which the request is retried if it is repeatable.
func (q *request) relayFailure(reply *exchange.Reply) (attemptOutcome, string) {
	status := strconv.Itoa(reply.Status)
	if q.headWritten {
		return broken, "status " + status
	}
	body := buffer{budget: q.relay.options.ReplyMemory}
	defer body.free()
	err := body.readAll(reply, maxBufferedBytes)
	tooLarge := errors.Is(err, errBodyTooLarge)
	if err != nil && !tooLarge {
		return lost, "truncated failure " + status
	}
	if q.route.Repeatable() && q.attempts < q.route.Attempts && reply.Status >= http.StatusInternalServerError {
		return lost, "status " + status
	}
	q.meterOnce()
	q.outcome = "status " + status + " of the instance"
	if tooLarge {
		return q.relayUnbuffered(reply, &body)
	}
	q.writeHead(reply, int64(len(body.data)))
	if _, err := q.writer.Write(body.data); err != nil {
		return left, err.Error()
	}
	return answered, "status " + status
}

// writeHead sends the status and the headers. A negative length means that the
// length of the body is unknown.
func (q *request) writeHead(reply *exchange.Reply, length int64) {
	if q.headWritten {
		return
	}
	q.headWritten = true
	h := q.writer.Header()
	for name, values := range q.relay.options.Headers.ForClient(reply.Header) {
		h[name] = values
	}
	// A nil value keeps net/http from adding a header that the instance did not send.
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
