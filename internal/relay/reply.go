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
// forwarded as they arrive, and so are others while the memory for buffers is used up.
const maxBufferedBytes = 1 << 20

// maxReplyBytes is the largest body of a reply that is not a stream. A longer one
// counts as one without end and is broken off.
const maxReplyBytes = 64 << 20

// forwardBytes is the size of the parts in which a reply that is not buffered is forwarded.
const forwardBytes = 32 << 10

// relayBuffered reads a reply that is not a stream and sends it to the client.
func (q *request) relayBuffered(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, sent time.Time) (attemptOutcome, string) {
	q.meterOnce()
	reservation.FirstEventArrived()
	body := buffer{budget: q.relay.options.ReplyMemory}
	defer body.free()
	err := body.readAll(reply, maxBufferedBytes)
	q.attemptTimer.stop()
	proved := false
	if err == nil {
		proved, err = q.checkEnd(ctx, reply, reservation)
	}
	if errors.Is(err, errSuspectEnd) {
		return lost, err.Error()
	}
	if err != nil && !forwardable(err) {
		if outcome, ended := q.contextOutcome(ctx, reservation); ended {
			return outcome, err.Error()
		}
		q.observeFailure(reservation, sent)
		q.connectionBroke(reservation)
		return lost, "truncated reply: " + err.Error()
	}
	latency := q.relay.options.Clock.Since(sent)
	if err != nil {
		outcome, reason := q.relayUnbuffered(ctx, reply, reservation, &body)
		switch outcome {
		case answered:
			q.observeSuccess(reservation, latency)
		case broken:
			q.observeFailure(reservation, sent)
		}
		return outcome, reason
	}
	q.observeSuccess(reservation, latency)
	q.completed(reservation, proved, sent)
	q.writeHead(reply, int64(len(body.data)))
	if _, err := q.writer.Write(body.data); err != nil {
		return left, err.Error()
	}
	return answered, ""
}

// forwardable reports whether a body that could not be buffered can be forwarded as it
// arrives. The memory may be used up by other replies, which must not fail this one.
func forwardable(err error) bool {
	return errors.Is(err, errBodyTooLarge) || errors.Is(err, errBufferMemory)
}

// observeSuccess records a whole reply that is not a stream, or the start of one that has
// been forwarded whole.
func (q *request) observeSuccess(reservation *fleet.Reservation, latency time.Duration) {
	q.relay.latencies.observe(q.route.Name, latency)
	reservation.Observe(false, latency, 0)
	reservation.ObserveTime(latency)
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, false, latency)
}

// relayUnbuffered forwards a reply that can't be buffered. start is the
// part of the body that has been read.
func (q *request) relayUnbuffered(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, start *buffer) (attemptOutcome, string) {
	q.bodyStarted = true
	q.writeHead(reply, reply.Length)
	if _, err := q.writer.Write(start.data); err != nil {
		return left, err.Error()
	}
	rest := maxReplyBytes - len(start.data)
	start.free()
	part := make([]byte, forwardBytes)
	for {
		n, readErr := reply.Read(part[:min(len(part), rest+1)])
		if n > rest {
			return broken, "the reply is longer than 64 MiB"
		}
		rest -= n
		if _, err := q.writer.Write(part[:n]); err != nil {
			return left, err.Error()
		}
		if errors.Is(readErr, io.EOF) {
			if _, readErr = q.checkEnd(ctx, reply, reservation); readErr == nil {
				return answered, ""
			}
		}
		if readErr != nil {
			if outcome, ended := q.contextOutcome(ctx, reservation); ended {
				return outcome, readErr.Error()
			}
			q.connectionBroke(reservation)
			return broken, "truncated reply: " + readErr.Error()
		}
	}
}

// relayFailure forwards the error reply of the instance unchanged, or returns an
// outcome after which the request is retried if it is repeatable.
func (q *request) relayFailure(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation) (attemptOutcome, string) {
	status := strconv.Itoa(reply.Status)
	if q.headWritten {
		return broken, "status " + status
	}
	body := buffer{budget: q.relay.options.ReplyMemory}
	defer body.free()
	err := body.readAll(reply, maxBufferedBytes)
	if err == nil {
		_, err = q.checkEnd(ctx, reply, reservation)
	}
	unbuffered := err != nil && forwardable(err)
	if err != nil && !unbuffered {
		return lost, "truncated failure " + status
	}
	if q.route.Repeatable() && q.attempts < q.route.Attempts && reply.Status >= http.StatusInternalServerError {
		return lost, "status " + status
	}
	q.meterOnce()
	q.outcome = "status " + status + " of the instance"
	if unbuffered {
		return q.relayUnbuffered(ctx, reply, reservation, &body)
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
	q.responding.Store(true)
	if q.framing = q.framingOf(length); q.framing == framedByClose {
		q.resetUntilWhole()
	}
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
