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
}

// resumable reports whether another attempt can continue after the last event.
func (s *streamState) resumable() bool { return !s.started || s.lastID != "" }

// relayStream forwards events as they arrive. It forwards only complete events,
// so that another attempt can continue between two of them.
func (q *request) relayStream(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, stream *streamState, sent time.Time) (attemptOutcome, string) {
	flusher, _ := q.writer.(http.Flusher)
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	first := true
	for {
		n, err := reply.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if complete := completeEventsLen(pending); complete > 0 {
			if first {
				first = false
				q.attemptTimer.stop()
				q.recordFirstEvent(reservation, sent)
			}
			q.writeHead(reply, -1)
			if _, writeErr := q.writer.Write(pending[:complete]); writeErr != nil {
				return left, writeErr.Error()
			}
			flusher.Flush()
			stream.started = true
			if id := lastEventID(pending[:complete]); id != "" {
				stream.lastID = id
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0 && !first:
			return answered, ""
		case err != nil:
			return q.streamFailed(ctx, reservation, stream, sent, err)
		case len(pending) > maxEventBytes:
			return q.streamFailed(ctx, reservation, stream, sent, io.ErrShortBuffer)
		}
	}
}

// recordFirstEvent records the first event: the instance has processed the prompt.
func (q *request) recordFirstEvent(reservation *fleet.Reservation, sent time.Time) {
	q.meterOnce()
	reservation.FirstEventArrived()
	latency := q.relay.options.Clock.Since(sent)
	expected := basePrefillTime + time.Duration(float64(q.info.PromptTokens)/prefillTokensPerMs*float64(time.Millisecond))
	reservation.Observe(false, latency, expected)
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
	if outcome, ended := q.contextOutcome(ctx, reservation); ended {
		return outcome, err.Error()
	}
	q.observeFailure(reservation, sent)
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
