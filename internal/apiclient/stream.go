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
	// resumeRounds and resumePause bound the attempts to resume a stream to
	// about 10 s, the time in which a daemon that was lost is replaced by its
	// peer in every address answer.
	resumeRounds = 20
	resumePause  = 500 * time.Millisecond
)

var doneMarker = []byte("[DONE]")

// Event is one event of a completion stream, without the final [DONE]. Data is
// only valid until the function that receives the event returns.
type Event struct {
	ID   string
	Data []byte
}

// StreamEnd describes a stream that has ended.
type StreamEnd struct {
	RequestID   string
	LastEventID string
	// Resumptions counts how often the stream was continued on a new
	// connection.
	Resumptions int
	// Whole means that the final [DONE] was received.
	Whole bool
}

// Stream sends r to the first address that accepts it and calls f for each
// event. If the stream breaks or moves, it is resumed with the request ID and
// Last-Event-ID at the addresses that the daemon names or at the given ones.
func (c *Client) Stream(ctx context.Context, addresses []string, r Request, f func(Event) error) (StreamEnd, error) {
	var end StreamEnd
	err := c.firstStream(ctx, addresses, r, &end, f)
	for round := 0; round < resumeRounds && resumable(ctx, err, &end); round++ {
		if round > 0 && !sleep(ctx, resumePause) {
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
	return end, coded(ctx, err)
}

// withFallback puts the addresses at which a stream continues first and keeps
// the others for the case that those daemons are gone.
func withFallback(next, others []string) []string {
	merged := slices.Clone(next)
	for _, address := range others {
		if !slices.Contains(merged, address) {
			merged = append(merged, address)
		}
	}
	return merged
}

// coded gives an error of the connection a result code.
func coded(ctx context.Context, err error) error {
	var handler *handlerError
	switch {
	case err == nil || isAnswer(err) || errors.As(err, &handler):
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(err, result.DeadlineExceeded, result.Unknown, "the stream did not end in time")
	}
	return result.Wrap(err, result.PeerUnreachable, result.Unknown, "the stream broke and was not resumed")
}

// resume tries every address once. It returns the last error, or previous if
// there is no address.
func (c *Client) resume(ctx context.Context, addresses []string, r Request, end *StreamEnd,
	f func(Event) error, previous error,
) error {
	for _, address := range addresses {
		r.Header["Last-Event-ID"] = end.LastEventID
		previous = c.stream(ctx, address, r, end, f)
		if !resumable(ctx, previous, end) {
			return previous
		}
	}
	return previous
}

// firstStream sends r to each address until one answers. A daemon that drains
// does not count. A completion has no side effect, so that it may be sent
// again as long as no event of it was received.
func (c *Client) firstStream(ctx context.Context, addresses []string, r Request, end *StreamEnd, f func(Event) error) error {
	err := error(result.New(result.BadRequest, result.NotRun, "no daemon address"))
	execution := result.NotRun
	for _, address := range addresses {
		err = c.stream(ctx, address, r, end, f)
		if err == nil || end.RequestID != "" || isAnswer(err) && result.CodeOf(err) != result.Draining {
			return err
		}
		if !isAnswer(err) && !errors.Is(err, ErrNotConnected) {
			execution = result.Unknown
		}
	}
	if isAnswer(err) || ctx.Err() != nil {
		return err
	}
	return result.Wrap(err, result.PeerUnreachable, execution, "no daemon answered")
}

// resumable reports whether a stream that ended with err may continue. A
// stream that another daemon does not know yet may be on its way there.
func resumable(ctx context.Context, err error, end *StreamEnd) bool {
	if err == nil || end.RequestID == "" || ctx.Err() != nil {
		return false
	}
	var handler *handlerError
	if errors.As(err, &handler) {
		return false
	}
	if !isAnswer(err) {
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

// isAnswer reports whether err is a problem document of a daemon.
func isAnswer(err error) bool {
	var e *result.Error
	return errors.As(err, &e)
}

// handlerError is an error of the function that receives the events.
type handlerError struct{ error }

func (e *handlerError) Unwrap() error { return e.error }

// stream makes one attempt. The error is a *result.Error if the daemon
// answered with a problem document.
func (c *Client) stream(ctx context.Context, address string, r Request, end *StreamEnd, f func(Event) error) error {
	resp := protocol.AcquireResponse()
	defer release(resp)
	if err := c.send(ctx, address, r, resp); err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		whole, err := read(resp)
		if err != nil {
			return err
		}
		return Problem(whole.Status, whole.Body)
	}
	if id := resp.Header.Get("X-Request-Id"); end.RequestID == "" {
		end.RequestID = id
	}
	err := eventstream.Read(ctx, resp, maxEventBytes, func(e *sse.Event) error { return end.receive(e, f) })
	if err != nil {
		return err
	}
	if !end.Whole {
		return errors.New("the stream ended before [DONE]")
	}
	return nil
}

// movedError is the error for a stream that continues at other addresses.
func movedError(data []byte) error {
	var moved struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal(data, &moved); err != nil {
		return errors.Wrap(err, "decode event moved")
	}
	return result.New(result.StreamMoved, result.Unknown, "the stream moved").WithAddresses(moved.Addresses)
}

// receive passes an event on. Events of type "moved" and "error" end the
// stream.
func (end *StreamEnd) receive(e *sse.Event, f func(Event) error) error {
	if bytes.Equal(e.Data, doneMarker) {
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
