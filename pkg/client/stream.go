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
	requestPath     = "/v1/requests/"
	contentTypeSSE  = "text/event-stream"
	eventMoved      = "moved"
	eventError      = "error"
	maxEventBytes   = 1 << 20
	maxGaps         = 3 // events missing on a fresh connection
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
	lastID  int64
	// accepted: a daemon may know the request ID, so the stream is resumed and
	// not begun anew.
	accepted  bool
	preferred []string // named by the daemon that the stream left
	gaps      int
	ended     error // result of every further Next

	address  string
	raw      *protocol.Response
	reader   *sse.Reader
	stopWait func() bool
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
// *result.Error if the stream cannot be completed. When the connection is cut,
// or the daemon names others, the stream is continued after the last event
// that Next has returned.
func (s *Stream) Next() (Event, error) {
	for s.ended == nil {
		if s.reader == nil {
			if err := s.connect(); err != nil {
				s.ended = err
				break
			}
		}
		event, ok := s.read()
		if ok {
			return event, nil
		}
	}
	s.Close()
	return Event{}, s.ended
}

// read handles one event of the connection; ok means that it is the next one.
func (s *Stream) read() (event Event, ok bool) {
	var raw sse.Event
	if err := s.reader.Read(&raw); err != nil {
		s.disconnect()
		s.preferred = []string{s.address} // a broken connection need not mean a broken daemon
		if s.ctx.Err() != nil {
			s.ended = asResult(s.ctx, err, result.Unknown)
		}
		return Event{}, false
	}
	switch {
	case raw.Type == eventMoved:
		s.move(raw.Data)
	case raw.Type == eventError:
		s.fail(raw.Data)
	case string(raw.Data) == endOfCompletion:
		s.ended = io.EOF
	default:
		return s.accept(&raw)
	}
	return Event{}, false
}

// accept drops repeated events and resumes after a gap.
func (s *Stream) accept(raw *sse.Event) (Event, bool) {
	id, err := strconv.ParseInt(raw.ID, 10, 64)
	switch {
	case err != nil:
		s.ended = result.New(result.UpstreamIncomplete, result.Unknown, "an event has the ID %q", raw.ID)
		return Event{}, false
	case id <= s.lastID:
		return Event{}, false
	case id > s.lastID+1:
		if s.gaps++; s.gaps > maxGaps {
			s.ended = result.New(result.StreamGone, result.Unknown, "event %d is missing", s.lastID+1)
		}
		s.disconnect()
		return Event{}, false
	}
	s.lastID, s.gaps = id, 0
	return Event{ID: id, Type: raw.Type, Data: bytes.Clone(raw.Data)}, true
}

func (s *Stream) move(data []byte) {
	var moved struct {
		Addresses []string `json:"addresses"`
	}
	if json.Unmarshal(data, &moved) == nil {
		s.preferred = moved.Addresses
	}
	s.disconnect()
}

func (s *Stream) fail(data []byte) {
	known := decodeProblem(data)
	switch {
	case known == nil:
		s.ended = result.New(result.UpstreamFailed, result.Unknown, "the daemon ended the stream: %s", data)
	case known.Code == result.StreamMoved || known.Code == result.Draining:
		s.preferred = known.Addresses
		s.disconnect()
	default:
		s.ended = known
	}
}

// connect begins or resumes the stream on the first daemon that can.
func (s *Stream) connect() error {
	var err error
	s.client.rounds(s.ctx, func(address string) bool {
		for len(s.preferred) > 0 {
			next := s.preferred[0]
			s.preferred = s.preferred[1:]
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

// final reports whether no other daemon can do better.
func (s *Stream) final(err error) bool {
	var known *result.Error
	if !errors.As(err, &known) {
		return false
	}
	if len(known.Addresses) > 0 && repeatable(err) {
		s.preferred = slices.Clone(known.Addresses)
		return false
	}
	switch known.Code {
	case result.StreamUnknown, result.StreamGone, result.NotFound:
		return false
	}
	return !repeatable(err)
}

// attempt connects to one daemon. A request that may be known there is asked
// for first, and is sent again only if it is not and no event was received.
func (s *Stream) attempt(address string) error {
	if s.accepted {
		err := s.open(address, s.resumption())
		if code := result.CodeOf(err); err == nil || s.lastID > 0 || code != result.StreamUnknown {
			return err
		}
	}
	if s.accepted {
		// The first run may go on elsewhere. Under the same ID, a later
		// resumption could reach that run, whose output may differ.
		s.request.RequestID = uuid.NewString()
		s.accepted = false
	}
	err := s.open(address, &s.request)
	var unsent *dialError
	var known *result.Error
	if err == nil || !errors.As(err, &unsent) && !errors.As(err, &known) {
		s.accepted = true
	}
	return err
}

func (s *Stream) resumption() *Request {
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

func (s *Stream) open(address string, r *Request) error {
	idle := s.client.options.IdleTimeout
	raw, err := s.client.transport.open(s.ctx, address, r, timeLeft(s.ctx, idle))
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(raw.Header.ContentType(), []byte(contentTypeSSE)) {
		return s.notAStream(address, r, raw)
	}
	// The reader gets a response of its own, because hertz would close the
	// body when it is replaced.
	wrapped := &protocol.Response{}
	wrapped.Header.SetContentType(contentTypeSSE)
	wrapped.SetBodyStream(&cutReader{raw.BodyStream()}, -1)
	reader, err := sse.NewReader(wrapped)
	if err != nil {
		forceClose(raw)
		return errors.Wrapf(err, "stream from %s", address)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	s.raw, s.reader, s.address = raw, reader, address
	s.stopWait = context.AfterFunc(s.ctx, func() { forceClose(raw) })
	return nil
}

func (s *Stream) notAStream(address string, r *Request, raw *protocol.Response) error {
	response, err := s.client.transport.read(s.ctx, address, r, raw)
	if err != nil {
		return err
	}
	return result.New(result.UpstreamFailed, result.Unknown, "status %d with content type %q instead of a stream",
		response.Status, response.Header.Get(headerContentType))
}

func (s *Stream) disconnect() {
	if s.reader == nil {
		return
	}
	s.stopWait()
	// The rest of the body is not wanted, so the connection cannot be reused.
	forceClose(s.raw)
	s.raw, s.reader = nil, nil
}

// cutReader reports the end of the body as an error. hertz's reader would
// otherwise return an event that was cut in its middle.
type cutReader struct{ io.Reader }

// Read implements io.Reader.
func (r *cutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it unwrapped
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
