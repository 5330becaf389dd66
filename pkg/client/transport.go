package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/hertzconn"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const problemType = "application/problem+json"

// transport sends single attempts. hertz repeats GET, PUT and DELETE requests
// when a pooled connection was closed, which can't be disabled. Requests that
// carry an Idempotency-Key therefore use a new connection each.
type transport struct {
	options  *Options
	pooled   *hertz.Client
	unpooled *hertz.Client
}

// dialError means that no byte of the request was sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.error }

func newTransport(o *Options) (*transport, error) {
	dialer := standard.NewDialer()
	dial := func(address string) (network.Conn, error) {
		conn, err := dialer.DialConnection("tcp", address, o.DialTimeout, nil)
		if err != nil {
			return nil, &dialError{err}
		}
		return hertzconn.Wrap(conn), nil
	}
	t := &transport{options: o}
	for keepAlive, target := range map[bool]**hertz.Client{true: &t.pooled, false: &t.unpooled} {
		c, err := hertz.NewClient(
			hertz.WithResponseBodyStream(true),
			hertz.WithKeepAlive(keepAlive),
			hertz.WithDialer(dialer),
			hertz.WithDialFunc(dial, dialer),
			hertz.WithNoDefaultUserAgentHeader(true),
			hertz.WithDisablePathNormalizing(true),
		)
		if err != nil {
			return nil, errors.Wrap(err, "create HTTP client")
		}
		*target = c
	}
	return t, nil
}

func (t *transport) close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// call sends one attempt and reads the whole reply. It returns a problem
// document of a daemon as *result.Error and any other failure as an error of
// another type.
func (t *transport) call(ctx context.Context, address string, r *Request) (*Response, error) {
	raw, err := t.open(ctx, address, r, timeLeft(ctx, t.options.Timeout))
	if err != nil {
		return nil, err
	}
	return t.read(ctx, address, r, raw)
}

// openResult is the result of sending a request and reading the reply's header.
type openResult struct {
	raw *protocol.Response
	err error
}

// open sends one attempt and returns when the reply's header has arrived. It
// runs hertz in a goroutine, because hertz does not stop when ctx ends. If ctx
// ends first, the connection is closed when the reply arrives or the read
// timeout expires.
func (t *transport) open(ctx context.Context, address string, r *Request, readTimeout time.Duration) (*protocol.Response, error) {
	request := t.build(ctx, address, r)
	request.SetOptions(config.WithReadTimeout(readTimeout), config.WithWriteTimeout(readTimeout))
	client := t.pooled
	if r.IdempotencyKey != "" {
		client = t.unpooled
	}
	done := make(chan openResult, 1)
	go func() {
		raw := &protocol.Response{}
		done <- openResult{raw, client.Do(context.WithoutCancel(ctx), request, raw)}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return nil, errors.Wrapf(o.err, "request to %s", address)
		}
		if !isReplyTo(r, o.raw) {
			forceClose(o.raw)
			return nil, errors.Errorf("request to %s: the reply belongs to another request", address)
		}
		return o.raw, nil
	case <-ctx.Done():
		go func() {
			if o := <-done; o.err == nil {
				forceClose(o.raw)
			}
		}()
		return nil, errors.Wrapf(ctx.Err(), "request to %s", address)
	}
}

// maxRequestIDBytes is the maximum length of a request ID that daemons don't replace.
const maxRequestIDBytes = 128

// isReplyTo reports whether the reply states the ID of r, or none. A pooled connection may
// hold a second copy of the reply to an earlier request.
func isReplyTo(r *Request, raw *protocol.Response) bool {
	id, want := strings.TrimSpace(raw.Header.Get(headerRequestID)), strings.TrimSpace(r.RequestID)
	return id == want || id == "" || want == "" || len(want) > maxRequestIDBytes
}

func (t *transport) build(ctx context.Context, address string, r *Request) *protocol.Request {
	request := &protocol.Request{}
	request.SetRequestURI("http://" + address + r.Path)
	request.SetMethod(r.Method)
	for name, values := range r.Header {
		for _, value := range values {
			request.Header.Add(name, value)
		}
	}
	request.Header.Set(headerRequestID, r.RequestID)
	if t.options.Key != "" {
		request.Header.Set(headerAuthorization, "Bearer "+t.options.Key)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set(headerIdempotencyKey, r.IdempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(headerDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	if len(r.Body) > 0 {
		request.SetBody(r.Body)
	}
	return request
}

// read reads the body. It closes the connection if ctx ends or the body is
// incomplete or too large.
func (t *transport) read(ctx context.Context, address string, r *Request, raw *protocol.Response) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { forceClose(raw) })
	defer stop()
	var body []byte
	var err error
	if raw.IsBodyStream() {
		body, err = io.ReadAll(io.LimitReader(raw.BodyStream(), int64(t.options.MaxBodyBytes)+1))
	} else {
		body = raw.Body()
	}
	if err == nil && len(body) > t.options.MaxBodyBytes {
		err = errors.Errorf("the response body exceeds %d bytes", t.options.MaxBodyBytes)
	}
	if err != nil {
		forceClose(raw)
		return nil, errors.Wrapf(err, "reply of %s", address)
	}
	_ = raw.CloseBodyStream()
	response := &Response{
		Status: raw.StatusCode(), Header: make(http.Header), Body: body, Execution: result.Ran,
		RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey, Address: address,
	}
	raw.Header.VisitAll(func(name, value []byte) { response.Header.Add(string(name), string(value)) })
	if problem := parseProblem(response); problem != nil {
		return nil, problem
	}
	return response, nil
}

// forceClose closes the connection of a streamed body, also while another
// goroutine reads the body.
func forceClose(raw *protocol.Response) {
	if !raw.IsBodyStream() {
		return
	}
	if s, ok := raw.BodyStream().(interface{ ForceClose() error }); ok {
		_ = s.ForceClose()
	}
}

// problem is a daemon's problem document.
type problem struct {
	Code      *int     `json:"code"`
	Execution string   `json:"execution"`
	Detail    string   `json:"detail"`
	Addresses []string `json:"addresses"`
}

// parseProblem returns the error in a problem document of a daemon. Upstreams
// may send problem documents too; those have no code and execution state.
func parseProblem(r *Response) *result.Error {
	if !strings.HasPrefix(r.Header.Get(headerContentType), problemType) {
		return nil
	}
	e := decodeProblem(r.Body)
	if e == nil {
		return nil
	}
	e.RetryAfterSeconds, _ = strconv.Atoi(r.Header.Get(headerRetryAfter))
	return e
}

// decodeProblem returns nil if body is not a daemon's problem document.
func decodeProblem(body []byte) *result.Error {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == nil {
		return nil
	}
	switch x := result.Execution(p.Execution); x {
	case result.NotRun, result.Ran, result.Unknown:
		return result.New(result.Code(*p.Code), x, "%s", p.Detail).WithAddresses(p.Addresses)
	}
	return nil
}

// timeLeft returns the time until the deadline of ctx, at most limit.
func timeLeft(ctx context.Context, limit time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(limit, time.Until(deadline))
	}
	return limit
}
