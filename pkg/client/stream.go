package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	requestPath    = "/v1/requests/"
	contentTypeSSE = "text/event-stream"
	eventMoved     = "moved"
	eventError     = "error"
	maxEventBytes  = 1 << 20
	// maxGaps is the maximum number of times in a row that a stream is resumed
	// because an event is missing.
	maxGaps         = 3
	endOfCompletion = "[DONE]"
)

// Event is one server-sent event of a stream.
type Event struct {
	ID   int64 // 1, 2, ... without gaps
	Type string
	Data []byte
}

// Stream is a streamed response. It is not safe for concurrent use.
type Stream struct {
	client  *Client
	ctx     context.Context
	cancel  context.CancelFunc
	request Request
	lastID  int64 // ID of the last event that Next returned
	// accepted means that a daemon may know the request ID, so the stream is
	// resumed and not restarted.
	accepted bool
	// preferredAddresses are tried first: those named by the daemon that the
	// stream left, or the daemon whose connection broke.
	preferredAddresses []string
	gaps               int   // consecutive gaps, at most maxGaps
	endErr             error // result of every further Next

	// State of the current connection; reader is nil if there is none.
	address string
	raw     *protocol.Response
	reader  *sse.Reader
	// stopContextWatch stops closing the connection at the end of ctx.
	stopContextWatch func() bool
}

// Stream starts an idempotent streamed request. ctx bounds the whole stream;
// Close ends it early.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	r.setDefaults()
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: c, ctx: ctx, cancel: cancel, request: r}
	if err := s.connect(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// RequestID returns the ID under which the daemons know the stream. It changes
// if the request had to be sent again before its first event.
func (s *Stream) RequestID() string { return s.request.RequestID }

// Close ends the stream.
func (s *Stream) Close() {
	s.disconnect()
	s.cancel()
}

// Next returns the next event. It returns io.EOF after the last one, and a
// *result.Error if the stream cannot be completed. When the connection breaks
// or the daemon names other daemons, the stream is resumed after the last event
// that Next has returned.
func (s *Stream) Next() (Event, error) {
	for s.endErr == nil {
		if s.reader == nil {
			if err := s.connect(); err != nil {
				s.endErr = err
				break
			}
		}
		event, ok := s.readEvent()
		if ok {
			return event, nil
		}
	}
	s.Close()
	return Event{}, s.endErr
}

// readEvent reads and handles one event from the connection; ok means that it is
// the next event of the stream.
func (s *Stream) readEvent() (event Event, ok bool) {
	var raw sse.Event
	if err := s.reader.Read(&raw); err != nil {
		s.disconnect()
		s.preferredAddresses = []string{s.address} // the daemon may still work although its connection broke
		if s.ctx.Err() != nil {
			s.endErr = asResult(s.ctx, err, result.Unknown)
		}
		return Event{}, false
	}
	switch {
	case raw.Type == eventMoved:
		s.handleMoved(raw.Data)
	case raw.Type == eventError:
		s.handleError(raw.Data)
	case string(raw.Data) == endOfCompletion:
		s.endErr = io.EOF
	default:
		return s.checkEvent(&raw)
	}
	return Event{}, false
}

// checkEvent returns the event if its ID is the next one. It drops a repeated
// event, and disconnects after a gap so that the stream is resumed.
func (s *Stream) checkEvent(raw *sse.Event) (Event, bool) {
	id, err := strconv.ParseInt(raw.ID, 10, 64)
	switch {
	case err != nil:
		s.endErr = result.New(result.UpstreamIncomplete, result.Unknown, "the daemon sent an event with the invalid ID %q", raw.ID)
		return Event{}, false
	case id <= s.lastID:
		return Event{}, false
	case id > s.lastID+1:
		if s.gaps++; s.gaps > maxGaps {
			s.endErr = result.New(result.StreamGone, result.Unknown, "event %d is missing from the stream", s.lastID+1)
		}
		s.disconnect()
		return Event{}, false
	}
	s.lastID, s.gaps = id, 0
	return Event{ID: id, Type: raw.Type, Data: bytes.Clone(raw.Data)}, true
}

// handleMoved disconnects, so that the stream is resumed on a daemon that the
// moved event names.
func (s *Stream) handleMoved(data []byte) {
	var moved struct {
		Addresses []string `json:"addresses"`
	}
	if json.Unmarshal(data, &moved) == nil {
		s.preferredAddresses = moved.Addresses
	}
	s.disconnect()
}

// handleError handles an error event, which ends the stream unless the problem
// document names other daemons.
func (s *Stream) handleError(data []byte) {
	problem := decodeProblem(data)
	switch {
	case problem == nil:
		s.endErr = result.New(result.UpstreamFailed, result.Unknown, "the daemon ended the stream with an error: %s", data)
	case problem.Code == result.StreamMoved || problem.Code == result.Draining:
		s.preferredAddresses = problem.Addresses
		s.disconnect()
	default:
		s.endErr = problem
	}
}

// connect starts or resumes the stream on the first daemon that accepts it.
func (s *Stream) connect() error {
	var err error
	s.client.tryAddresses(s.ctx, func(address string) bool {
		for len(s.preferredAddresses) > 0 {
			next := s.preferredAddresses[0]
			s.preferredAddresses = s.preferredAddresses[1:]
			if err = s.attempt(next); err == nil || s.final(err) {
				return true
			}
		}
		err = s.attempt(address)
		return err == nil || s.final(err)
	})
	if s.reader != nil {
		return nil
	}
	return asResult(s.ctx, err, result.Unknown)
}

// final reports whether no other daemon can succeed after err. If err names
// other daemons, it stores their addresses for the next attempts.
func (s *Stream) final(err error) bool {
	var known *result.Error
	if !errors.As(err, &known) {
		return false
	}
	if len(known.Addresses) > 0 && retryable(err) {
		s.preferredAddresses = slices.Clone(known.Addresses)
		return false
	}
	switch known.Code {
	case result.StreamUnknown, result.StreamGone, result.NotFound:
		return false
	}
	return !retryable(err)
}

// attempt connects to one daemon. If the daemon may know the request, attempt
// first tries to resume it, and sends it again only if the daemon doesn't know
// it and no event was received.
func (s *Stream) attempt(address string) error {
	if s.accepted {
		err := s.open(address, s.resumeRequest())
		if code := result.CodeOf(err); err == nil || s.lastID > 0 || code != result.StreamUnknown {
			return err
		}
	}
	if s.accepted {
		// The first execution may continue on another daemon. With the same ID,
		// a later resumption could reach that execution, whose output may
		// differ.
		s.request.RequestID = uuid.NewString()
		s.accepted = false
	}
	err := s.open(address, &s.request)
	var notSent *dialError
	var known *result.Error
	if err == nil || !errors.As(err, &notSent) && !errors.As(err, &known) {
		s.accepted = true
	}
	return err
}

// resumeRequest returns the request for the events after the last received one.
func (s *Stream) resumeRequest() *Request {
	header := s.request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Del(headerContentType)
	header.Set(headerLastEventID, strconv.FormatInt(s.lastID, 10))
	return &Request{
		Method: http.MethodGet, Path: requestPath + url.PathEscape(s.request.RequestID),
		Header: header, RequestID: s.request.RequestID,
	}
}

// open sends the request to a daemon and starts reading the event stream.
func (s *Stream) open(address string, r *Request) error {
	idle := s.client.options.IdleTimeout
	raw, err := s.client.transport.open(s.ctx, address, r, timeLeft(s.ctx, idle))
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(raw.Header.ContentType(), []byte(contentTypeSSE)) {
		return s.notAStreamError(address, r, raw)
	}
	// The reader gets a separate response, because hertz closes the body of a
	// response whose body is replaced.
	wrapped := &protocol.Response{}
	wrapped.Header.SetContentType(contentTypeSSE)
	wrapped.SetBodyStream(&unexpectedEOFReader{raw.BodyStream()}, -1)
	reader, err := sse.NewReader(wrapped)
	if err != nil {
		forceClose(raw)
		return errors.Wrapf(err, "stream from %s", address)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	s.raw, s.reader, s.address = raw, reader, address
	s.stopContextWatch = context.AfterFunc(s.ctx, func() { forceClose(raw) })
	return nil
}

// notAStreamError returns the error for a reply that is not an event stream.
func (s *Stream) notAStreamError(address string, r *Request, raw *protocol.Response) error {
	response, err := s.client.transport.read(s.ctx, address, r, raw)
	if err != nil {
		return err
	}
	return result.New(result.UpstreamFailed, result.Unknown, "the daemon sent status %d with content type %q instead of an event stream",
		response.Status, response.Header.Get(headerContentType))
}

func (s *Stream) disconnect() {
	if s.reader == nil {
		return
	}
	s.stopContextWatch()
	// The rest of the body is not read, so the connection cannot be reused.
	forceClose(s.raw)
	s.raw, s.reader = nil, nil
}

// unexpectedEOFReader reports the end of the body as an error. Otherwise hertz's
// reader would return an event that was truncated.
type unexpectedEOFReader struct{ io.Reader }

// Read implements io.Reader.
func (r *unexpectedEOFReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it unwrapped
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
