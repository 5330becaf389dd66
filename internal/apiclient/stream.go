package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/eventstream"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// maxEventBytes exceeds the 64 KiB default of the reader, because a line
	// may hold a whole problem document or a batch of tokens.
	maxEventBytes = 1 << 20
	// maxResumeRounds and resumeInterval limit the attempts to resume a stream
	// to about 10 s. Within this time, every response to an address lookup names
	// the peer of a lost daemon instead of that daemon.
	maxResumeRounds = 20
	resumeInterval  = 500 * time.Millisecond
)

var endOfCompletion = []byte("[DONE]")

// Event is one event of a completion stream, without the final [DONE]. Data is
// only valid until the function that receives the event returns.
type Event struct {
	ID   string
	Data []byte
}

// StreamEnd is the state of a stream when it ended.
type StreamEnd struct {
	RequestID   string
	LastEventID string
	// Resumptions is the number of rounds in which the client tried to resume
	// the stream.
	Resumptions int
	// Whole means that the stream is complete: the final [DONE] was received.
	Whole bool
}

// Stream sends r to the first address that accepts it and calls f for each
// event. If the connection breaks or the stream moves to another daemon, Stream
// resumes it with the request ID and Last-Event-ID, first at the addresses that
// the daemon named and then at the given ones.
func (c *Client) Stream(ctx context.Context, addresses []string, r Request, f func(Event) error) (StreamEnd, error) {
	var end StreamEnd
	err := c.startStream(ctx, addresses, r, &end, f)
	for round := 0; round < maxResumeRounds && resumable(ctx, err, &end); round++ {
		if round > 0 && !sleep(ctx, resumeInterval) {
			break
		}
		if next := result.From(err).Addresses; len(next) > 0 {
			addresses = withFallback(next, addresses)
		}
		resume := Request{
			Method: http.MethodGet, Path: "/v1/requests/" + url.PathEscape(end.RequestID), Timeout: r.Timeout,
			Header: map[string]string{"Accept": "text/event-stream", "Last-Event-ID": end.LastEventID},
		}
		end.Resumptions++
		err = c.resume(ctx, addresses, resume, &end, f, err)
	}
	return end, withResultCode(ctx, err)
}

// withFallback returns the addresses at which a stream continues, followed by the
// others in case those daemons are unreachable.
func withFallback(next, others []string) []string {
	merged := slices.Clone(next)
	for _, address := range others {
		if !slices.Contains(merged, address) {
			merged = append(merged, address)
		}
	}
	return merged
}

// withResultCode adds a result code to an error of the connection.
func withResultCode(ctx context.Context, err error) error {
	var handler *handlerError
	switch {
	case err == nil || isProblem(err) || errors.As(err, &handler):
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(err, result.DeadlineExceeded, result.Unknown, "the stream did not end before the deadline")
	}
	return result.Wrap(err, result.PeerUnreachable, result.Unknown, "the stream broke and was not resumed")
}

// resume tries to resume the stream at every address once. It returns the last
// error, or previous if there is no address.
func (c *Client) resume(ctx context.Context, addresses []string, r Request, end *StreamEnd,
	f func(Event) error, previous error,
) error {
	for _, address := range addresses {
		r.Header["Last-Event-ID"] = end.LastEventID
		previous = c.streamOnce(ctx, address, r, end, f)
		if !resumable(ctx, previous, end) {
			return previous
		}
	}
	return previous
}

// startStream sends r to each address until a daemon responds that is not
// draining. A completion has no side effect, so that it may be sent again as
// long as no event of it was received.
func (c *Client) startStream(ctx context.Context, addresses []string, r Request, end *StreamEnd, f func(Event) error) error {
	err := error(result.New(result.BadRequest, result.NotRun, "no daemon address"))
	execution := result.NotRun
	for _, address := range addresses {
		err = c.streamOnce(ctx, address, r, end, f)
		if err == nil || end.RequestID != "" || isProblem(err) && result.CodeOf(err) != result.Draining {
			return err
		}
		if !isProblem(err) && !errors.Is(err, ErrNotConnected) {
			execution = result.Unknown
		}
	}
	if isProblem(err) || ctx.Err() != nil {
		return err
	}
	return result.Wrap(err, result.PeerUnreachable, execution, "no daemon answered")
}

// resumable reports whether a stream that ended with err may be resumed. After a
// resumption this includes StreamUnknown: the stream may still be in transfer to
// the daemon that does not know it.
func resumable(ctx context.Context, err error, end *StreamEnd) bool {
	if err == nil || end.RequestID == "" || ctx.Err() != nil {
		return false
	}
	var handler *handlerError
	if errors.As(err, &handler) {
		return false
	}
	if !isProblem(err) {
		return true
	}
	switch result.CodeOf(err) {
	case result.StreamMoved, result.Draining, result.PeerUnreachable:
		return true
	case result.StreamUnknown:
		return end.Resumptions > 0
	}
	return false
}

// isProblem reports whether err comes from a problem document of a daemon.
func isProblem(err error) bool {
	var e *result.Error
	return errors.As(err, &e)
}

// handlerError is an error of the function that handles the events. It ends the
// stream without a resumption.
type handlerError struct{ error }

func (e *handlerError) Unwrap() error { return e.error }

// streamOnce sends r to one address and reads the events. The error is a
// *result.Error if the daemon responded with a problem document.
func (c *Client) streamOnce(ctx context.Context, address string, r Request, end *StreamEnd, f func(Event) error) error {
	resp := protocol.AcquireResponse()
	defer releaseResponse(resp)
	if err := c.send(ctx, address, r, resp); err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		response, err := readResponse(resp)
		if err != nil {
			return err
		}
		return Problem(response.Status, response.Body)
	}
	if id := resp.Header.Get("X-Request-Id"); end.RequestID == "" {
		end.RequestID = id
	}
	err := eventstream.Read(ctx, resp, maxEventBytes, func(e *sse.Event) error { return end.receive(e, f) })
	switch {
	case end.Whole:
		return nil // also if the connection broke after [DONE]
	case err == nil:
		return errors.New("the stream ended before [DONE]")
	}
	return err
}

// movedError returns the error for an event "moved", which names the addresses at
// which the stream continues.
func movedError(data []byte) error {
	var moved struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal(data, &moved); err != nil {
		return errors.Wrap(err, "decode event moved")
	}
	return result.New(result.StreamMoved, result.Unknown, "the stream moved").WithAddresses(moved.Addresses)
}

// receive passes an event to f. Events of type "moved" and "error" end the stream
// with an error.
func (end *StreamEnd) receive(e *sse.Event, f func(Event) error) error {
	if bytes.Equal(e.Data, endOfCompletion) {
		end.Whole = true
		return nil
	}
	switch e.Type {
	case "moved":
		return movedError(e.Data)
	case "error":
		return Problem(http.StatusOK, e.Data)
	}
	if err := f(Event{ID: e.ID, Data: e.Data}); err != nil {
		return &handlerError{err}
	}
	if e.IsSetID() {
		end.LastEventID = e.ID
	}
	return nil
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
