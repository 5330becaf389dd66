package server

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	appsvc "github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// problemMetric returns the name and labels of the counter for an error.
func problemMetric(e *result.Error) string {
	return `rudder_problems_total{code="` + strconv.Itoa(int(e.Code)) + `",execution="` + string(e.Execution) + `"}`
}

// address returns daemon addresses and an order token.
func (s *Server) address(_ context.Context, c *app.RequestContext, _ proxy.Caller) error {
	answer := operatorapi.AddressResponse{
		Addresses:  s.options.Daemon.Addresses(),
		TTLSeconds: int(s.options.AddressTTL.Seconds()),
	}
	answer.OrderToken, answer.OrderTokenExpires = s.options.Daemon.OrderToken()
	writeJSON(c, answer)
	return nil
}

// requestDeadline returns the deadline in the header X-Request-Deadline, an RFC
// 3339 time, or the zero time without the header.
func requestDeadline(c *app.RequestContext) (time.Time, error) {
	value := string(c.GetHeader(headerDeadline))
	if value == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return time.Time{}, result.New(result.BadHeader, result.NotRun, "header %s: %q is not an RFC 3339 time", headerDeadline, value)
	}
	return t, nil
}

// lastEventID returns the ID in the header Last-Event-ID, 0 without the header.
func lastEventID(c *app.RequestContext) (int64, error) {
	value := string(c.GetHeader(headerLastEvent))
	if value == "" {
		return 0, nil
	}
	id, err := strconv.ParseInt(value, 10, 64)
	if err != nil || id < 0 {
		return 0, result.New(result.BadHeader, result.NotRun, "header %s: %q is not an event ID", headerLastEvent, value)
	}
	return id, nil
}

// chat starts a chat completion request and writes its response.
func (s *Server) chat(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	deadline, err := requestDeadline(c)
	if err != nil {
		return err
	}
	lastID, err := lastEventID(c)
	if err != nil {
		return err
	}
	f, err := s.options.Proxy.Chat(ctx, proxy.ChatCall{
		Caller: caller, RequestID: requestIDOf(c), Session: string(c.GetHeader(headerSession)),
		Deadline: deadline, Body: append([]byte{}, c.Request.Body()...),
	})
	if err != nil {
		return s.withAddresses(err)
	}
	detach := s.options.Proxy.Attach(f)
	defer detach()
	if f.Streams() {
		return s.streamEvents(ctx, c, f.ID, f, lastID)
	}
	return s.writeCompletion(ctx, c, f)
}

// resume writes the response of a request that was started earlier.
func (s *Server) resume(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	lastID, err := lastEventID(c)
	if err != nil {
		return err
	}
	f, err := s.options.Proxy.Resume(caller, c.Param("id"), lastID)
	if err != nil {
		return s.withAddresses(err)
	}
	c.Response.Header.Set(headerRequestID, f.ID)
	detach := s.options.Proxy.Attach(f)
	defer detach()
	if f.Streams() {
		return s.streamEvents(ctx, c, f.ID, f, lastID)
	}
	return s.writeCompletion(ctx, c, f)
}

// withAddresses adds the addresses of daemons and a retry delay of 1 s to an
// error that tells the caller to use another daemon.
func (s *Server) withAddresses(err error) error {
	e := result.From(err)
	if e.Code == result.Draining || e.Code == result.StreamMoved || e.Code == result.OrderFrozen {
		if len(e.Addresses) == 0 {
			_ = e.WithAddresses(s.options.Daemon.Addresses())
		}
		_ = e.WithRetryAfter(1)
	}
	return e
}

// eventStream is the stream of a model request.
type eventStream interface {
	// Next waits for events after lastID or the end of the stream.
	Next(ctx context.Context, lastID int64) (proxy.Progress, error)
	// Delivered records that the caller received the whole stream.
	Delivered()
}

// streamEvents writes the server-sent events after the given ID until the stream
// ends. A failure before the first event is returned, to be written as a problem
// document; a later one is written as an event of type "error".
func (s *Server) streamEvents(ctx context.Context, c *app.RequestContext, id string, f eventStream, lastID int64) error {
	progress, err := f.Next(ctx, lastID)
	if err == nil && progress.Failure != nil && len(progress.Events) == 0 && lastID == 0 {
		return progress.Failure
	}
	body := newStreamWriter(c)
	if err != nil {
		return nil // the caller has disconnected
	}
	w := sse.NewWriter(c)
	for {
		for _, e := range progress.Events {
			if w.WriteEvent(strconv.FormatInt(e.ID, 10), "", e.Data) != nil {
				return nil
			}
			lastID = e.ID
		}
		ended, err := s.endStream(w, id, f, progress)
		if err != nil {
			return nil
		}
		if ended {
			body.end()
			return nil
		}
		if progress, err = f.Next(ctx, lastID); err != nil {
			return nil
		}
	}
}

// endStream reports whether the request has moved, failed or completed. It writes an
// event that tells of a move or a failure. It fails if the caller has disconnected.
func (s *Server) endStream(w *sse.Writer, id string, f eventStream, progress proxy.Progress) (ended bool, err error) {
	switch {
	case progress.Moved != nil:
		data, _ := json.Marshal(map[string]any{"requestId": id, "addresses": progress.Moved})
		return true, w.WriteEvent("", "moved", data)
	case progress.Failure != nil:
		data, _ := json.Marshal(problemOf(progress.Failure, id))
		return true, w.WriteEvent("", "error", data)
	case !progress.Done:
		return false, nil
	}
	f.Delivered()
	return true, nil
}

// writeCompletion waits for the end of the request and writes its response body.
func (s *Server) writeCompletion(ctx context.Context, c *app.RequestContext, f *proxy.Inflight) error {
	body, err := f.Completion(ctx)
	if err != nil {
		return s.withAddresses(err)
	}
	f.Delivered()
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
	return nil
}

// app executes a call to an application service.
func (s *Server) app(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
	deadline, err := requestDeadline(c)
	if err != nil {
		return err
	}
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	if query := c.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	service, err := url.PathUnescape(c.Param("service"))
	if err != nil {
		return result.Wrap(err, result.BadRequest, result.NotRun, "service name in the path is not escaped correctly")
	}
	reply, err := s.options.Proxy.App(ctx, proxy.AppCall{
		Caller: caller, RequestID: requestIDOf(c), Service: service,
		Method: string(c.Method()), Path: path, Headers: forwardedHeaders(c),
		Body: append([]byte{}, c.Request.Body()...), OrderKey: string(c.GetHeader(headerOrderKey)),
		Session: string(c.GetHeader(headerSession)), Deadline: deadline,
	})
	if err != nil {
		return s.withAddresses(err)
	}
	writeReply(c, reply)
	return nil
}

// forwardedHeaders returns the request headers that are sent to the upstream.
func forwardedHeaders(c *app.RequestContext) []appsvc.Header {
	var headers []appsvc.Header
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match"} {
		if value := c.GetHeader(name); len(value) > 0 {
			headers = append(headers, appsvc.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

// writeReply writes the reply of an application service.
func writeReply(c *app.RequestContext, reply proxy.AppReply) {
	id := requestIDOf(c)
	for _, h := range reply.Headers {
		c.Response.Header.Set(h.Name, h.Value)
	}
	c.Response.Header.Set(headerRequestID, id)
	if reply.Replayed {
		c.Response.Header.Set(headerReplayed, "true")
	}
	c.SetStatusCode(reply.Status)
	c.Response.SetBody(reply.Body)
}
