// Package app makes single calls to application services over plain HTTP.
package app

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// Header is an HTTP header field.
type Header struct{ Name, Value string }

// Call is one attempt.
type Call struct {
	Address   string // ip:port
	AttemptID string
	Method    string
	Path      string // path and query
	Headers   []Header
	Body      []byte
	Timeout   time.Duration
}

// Reply is a whole reply of the service.
type Reply struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Outcome tells what is known about an attempt that brought no usable reply.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered means that the reply is whole.
	Answered Outcome = iota
	// NotSent means that no byte reached the service.
	NotSent
	// Refused means that the service refused the call without executing it.
	Refused
	// Lost means that the call was sent and its outcome is unknown.
	Lost
)

// Caller calls an application service.
type Caller interface {
	// Call makes one attempt. The error explains every outcome but Answered.
	Call(ctx context.Context, call Call) (Reply, Outcome, error)
}

// HTTP is the Caller for plain HTTP services.
type HTTP struct {
	client *upstreamhttp.Client
	// MaxReplyBytes bounds a reply body.
	MaxReplyBytes int64
}

// NewHTTP returns a caller that uses client for its attempts.
func NewHTTP(client *upstreamhttp.Client, maxReplyBytes int64) *HTTP {
	return &HTTP{client: client, MaxReplyBytes: maxReplyBytes}
}

// Call implements Caller.
func (h *HTTP) Call(ctx context.Context, call Call) (Reply, Outcome, error) {
	if call.Timeout <= 0 {
		return Reply{}, NotSent, errors.New("the deadline has passed")
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	h.fill(req, call)
	if err := h.client.Do(ctx, req, resp, call.Timeout); err != nil {
		if errors.Is(err, upstreamhttp.ErrNotConnected) {
			return Reply{}, NotSent, err
		}
		return Reply{}, Lost, errors.Wrapf(err, "call %s %s on %s", call.Method, call.Path, call.Address)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return h.read(resp, call)
}

func (h *HTTP) fill(req *protocol.Request, call Call) {
	req.SetMethod(call.Method)
	req.SetRequestURI("http://" + call.Address + call.Path)
	for _, header := range call.Headers {
		req.Header.Set(header.Name, header.Value)
	}
	req.Header.Set(upstreamhttp.HeaderAttempt, call.AttemptID)
	if len(call.Body) > 0 {
		req.SetBody(call.Body)
	}
}

func (h *HTTP) read(resp *protocol.Response, call Call) (Reply, Outcome, error) {
	if got := resp.Header.Get(upstreamhttp.HeaderAttempt); got != "" && got != call.AttemptID {
		return Reply{}, Lost, errors.Errorf("the reply belongs to attempt %s", got)
	}
	if reason := resp.Header.Get(upstreamhttp.HeaderRefused); reason != "" && resp.StatusCode() == 503 {
		return Reply{}, Refused, errors.Errorf("upstream %s refused the call: %s", call.Address, reason)
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), h.MaxReplyBytes+1))
	if err != nil {
		return Reply{}, Lost, errors.Wrap(err, "read reply body")
	}
	if int64(len(body)) > h.MaxReplyBytes {
		return Reply{}, Lost, errors.Errorf("the reply is larger than %d bytes", h.MaxReplyBytes)
	}
	if want := resp.Header.ContentLength(); want >= 0 && want != len(body) {
		return Reply{}, Lost, errors.Errorf("%d of %d reply bytes arrived", len(body), want)
	}
	reply := Reply{Status: resp.StatusCode(), Body: body}
	resp.Header.VisitAll(func(name, value []byte) {
		if !hopByHop(string(name)) {
			reply.Headers = append(reply.Headers, Header{string(name), string(value)})
		}
	})
	return reply, Answered, nil
}

// hopByHop reports whether a header field concerns one connection only.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "te",
		"trailer", "upgrade", "proxy-authenticate", "proxy-authorization":
		return true
	}
	return false
}
