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
	streamBuffer = 2 << 10
	// maxEvent bounds one event, so that an instance that never ends one
	// cannot fill the memory.
	maxEvent = 1 << 20
	// expectedPrefill scales latencies of streams for the health of instances.
	expectedPrefill = 100 * time.Millisecond
	prefillPerMs    = 100.0
	// maxIdleLatency leaves out samples of instances that are stuck.
	maxIdleLatency = 2 * time.Second
)

// streamState is what a stream's attempts share.
type streamState struct {
	begun  bool   // an event reached the client
	lastID string // ID of the last event that reached the client
}

// resumable reports whether another attempt can go on after the last event.
func (s *streamState) resumable() bool { return !s.begun || s.lastID != "" }

// relayStream passes on events as they arrive. Only whole events are passed
// on, so that another attempt can continue between two of them.
func (q *request) relayStream(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation, stream *streamState, sent time.Time) (attemptEnd, string) {
	flusher, _ := q.writer.(http.Flusher)
	var pending []byte
	buffer := make([]byte, streamBuffer)
	first := true
	for {
		n, err := reply.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if whole := wholeEvents(pending); whole > 0 {
			if first {
				first = false
				q.patience.begun()
				q.firstEvent(reservation, sent)
			}
			q.writeHead(reply, -1)
			if _, writeErr := q.writer.Write(pending[:whole]); writeErr != nil {
				return left, writeErr.Error()
			}
			flusher.Flush()
			stream.begun = true
			if id := lastEventID(pending[:whole]); id != "" {
				stream.lastID = id
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0 && !first:
			return answered, ""
		case err != nil:
			return q.brokenStream(ctx, reservation, stream, sent, err)
		case len(pending) > maxEvent:
			return q.brokenStream(ctx, reservation, stream, sent, io.ErrShortBuffer)
		}
	}
}

// firstEvent records that the instance has read the prompt.
func (q *request) firstEvent(reservation *fleet.Reservation, sent time.Time) {
	q.beganRunning()
	reservation.FirstEventArrived()
	latency := q.relay.options.Clock.Since(sent)
	expected := expectedPrefill + time.Duration(float64(q.info.PromptTokens)/prefillPerMs*float64(time.Millisecond))
	reservation.Observe(false, latency, expected)
	q.relay.options.Versions.Observe(q.service.Name, q.route.Name, reservation.Version, false, latency)
	q.relay.latencies.observe(q.route.Name, latency)
	// Requests that have their first event delay the prompt little. Their number
	// must not matter: where instances are never idle, nothing would be measured.
	if reservation.Load.PrefillTokens == 0 && latency < maxIdleLatency {
		q.relay.options.Demand.FirstEvent(q.service.Name, q.info.PromptTokens, q.info.SharedTokens, latency)
	}
	observeFirstEvent(q.relay.options.Clock.Since(q.received))
}

func (q *request) brokenStream(ctx context.Context, reservation *fleet.Reservation, stream *streamState, sent time.Time, err error) (attemptEnd, string) {
	if end, ended := q.endOf(ctx, reservation); ended {
		return end, err.Error()
	}
	q.failed(reservation, sent)
	if stream.begun {
		return broken, "stream broke: " + err.Error()
	}
	return lost, "stream broke before its first event: " + err.Error()
}

// wholeEvents returns the length of the part of data that ends with a blank line.
func wholeEvents(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastEventID returns the value of the last id field.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
