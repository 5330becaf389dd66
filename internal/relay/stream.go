package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

const (
	streamBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event, so that an instance that never
	// ends an event cannot exhaust the memory.
	maxEventBytes = 1 << 20
	// basePrefillTime and prefillTokensPerMs give the expected time to the first
	// event, by which latencies are scaled for the health of instances.
	basePrefillTime    = 100 * time.Millisecond
	prefillTokensPerMs = 100.0
	// maxDemandLatency is the maximum latency of a sample for Demand. Longer ones
	// come from instances that are stuck.
	maxDemandLatency = 2 * time.Second
)

// streamState is the state of a stream that its attempts share.
type streamState struct {
	started bool   // an event reached the client
	lastID  string // ID of the last event that reached the client
	order   eventOrder
}

// resumable reports whether another attempt can continue after the last event.
func (s *streamState) resumable() bool { return !s.started || s.lastID != "" }

// relayStream forwards events as they arrive. It forwards only complete events,
// so that another attempt can continue between two of them. Comments before the first
// event are held back until it comes, because the request can no longer be sent to
// another instance once a part of the reply was forwarded.
func (q *request) relayStream(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, stream *streamState, sent time.Time) (attemptOutcome, string) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(ctx, reply.Abort)()
	flusher, _ := q.writer.(http.Flusher)
	pending := buffer{budget: q.relay.options.ReplyMemory}
	defer pending.free()
	part := make([]byte, streamBufferBytes)
	var stall *stallTimer
	stream.order.resume()
	for {
		n, err := reply.Read(part)
		if addErr := pending.add(part[:n]); addErr != nil {
			return q.streamFailed(ctx, reservation, stream, sent, addErr)
		}
		complete := completeEventsLen(pending.data)
		if followed := stream.order.follow(pending.data[:complete]); followed < complete {
			complete, err = followed, errEventOrder
		}
		progress := containsEvent(pending.data[:complete])
		if progress && stall == nil {
			q.attemptTimer.stop()
			q.recordFirstEvent(reservation, sent)
			stall = q.newStallTimer(reservation, stream, cancel)
			defer stall.stop()
		}
		if complete > 0 && stall != nil {
			q.writeHead(reply, -1)
			if _, writeErr := q.writer.Write(pending.data[:complete]); writeErr != nil {
				return left, writeErr.Error()
			}
			flusher.Flush()
			stream.started = true
			if id := lastEventID(pending.data[:complete]); id != "" {
				stream.lastID = id
			}
			pending.data = append(pending.data[:0], pending.data[complete:]...)
		}
		if progress {
			stall.progressed(q, stream)
		}
		proved, ended := false, errors.Is(err, io.EOF) && stall != nil && !containsEvent(pending.data)
		if ended {
			proved, err = q.checkEnd(ctx, reply, reservation)
		}
		switch {
		case ended && err == nil:
			if _, writeErr := q.writer.Write(pending.data); writeErr != nil {
				return left, writeErr.Error()
			}
			q.completed(reservation, proved, sent)
			return answered, ""
		case err != nil:
			return q.streamFailed(ctx, reservation, stream, sent, err)
		case len(pending.data) > maxEventBytes:
			return q.streamFailed(ctx, reservation, stream, sent, io.ErrShortBuffer)
		}
	}
}

// recordFirstEvent records the first event: the instance has processed the prompt.
func (q *request) recordFirstEvent(reservation *fleet.Reservation, sent time.Time) {
	q.meterOnce()
	reservation.FirstEventArrived()
	if q.ticket != nil {
		q.ticket.FirstByte()
	}
	latency := q.relay.options.Clock.Since(sent)
	expected := basePrefillTime + time.Duration(float64(q.info.PromptTokens)/prefillTokensPerMs*float64(time.Millisecond))
	reservation.Observe(false, latency, expected)
	reservation.ObserveTime(latency)
	q.firstEvent = latency
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, false, latency)
	q.relay.latencies.observe(q.route.Name, latency)
	// Only other prompts delay this one noticeably, not requests that are past their
	// first event. The number of running requests is not checked: in deployments
	// where no instance is ever idle, there would be no samples.
	if reservation.Load.PrefillTokens == 0 && latency < maxDemandLatency {
		q.relay.options.Demand.FirstEvent(q.service.Name, q.info.PromptTokens, q.info.SharedTokens, latency)
	}
	observeFirstEvent(q.relay.options.Clock.Since(q.received))
}

// streamFailed classifies a stream that ended early.
func (q *request) streamFailed(ctx context.Context, reservation *fleet.Reservation, stream *streamState, sent time.Time, err error) (attemptOutcome, string) {
	stalled := errors.Is(context.Cause(ctx), errStalled)
	if outcome, ended := q.contextOutcome(ctx, reservation); ended && (!stalled || outcome == left) {
		return outcome, err.Error()
	}
	q.observeFailure(reservation, sent)
	if stalled {
		return broken, errStalled.Error()
	}
	if !errors.Is(err, errBufferMemory) && !errors.Is(err, io.ErrShortBuffer) && !errors.Is(err, errEventOrder) {
		q.connectionBroke(reservation)
	}
	if stream.started {
		return broken, "stream broke: " + err.Error()
	}
	return lost, "stream broke before its first event: " + err.Error()
}

// completeEventsLen returns the length of the complete events at the start of
// data. A blank line ends an event.
func completeEventsLen(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// containsEvent reports whether events contain a field, and not only comments, which
// begin with a colon.
func containsEvent(events []byte) bool {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// lastEventID returns the value of the last id field, or "" if there is none.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
