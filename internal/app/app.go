// Package app makes single attempts of calls to application services over plain
// HTTP.
package app

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// Header is an HTTP header field.
type Header struct{ Name, Value string }

// Call is one attempt of a call to an application service.
type Call struct {
	Address   string // ip:port
	AttemptID string
	Method    string
	Path      string // path and query
	Headers   []Header
	Body      []byte
	// Timeout bounds the wait for the reply and each read of its body.
	Timeout time.Duration
}

// Reply is the complete reply of a service, without hop-by-hop header fields.
type Reply struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Outcome says whether an attempt was sent and answered.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered means that the complete reply has arrived, with any status.
	Answered Outcome = iota
	// NotSent means that no byte reached the service.
	NotSent
	// Refused means that the service refused the call without executing it.
	Refused
	// Lost means that the call may have been sent and no complete reply has
	// arrived, so that it is unknown whether the service executed it.
	Lost
)

// Client calls application services.
type Client interface {
	// Call makes one attempt. The error explains every outcome but Answered.
	Call(ctx context.Context, call Call) (Reply, Outcome, error)
}

// HTTP is the Client for services over plain HTTP.
type HTTP struct {
	client *upstreamhttp.Client
	// MaxReplyBytes is the maximum size of a reply body. A larger one has the
	// outcome Lost.
	MaxReplyBytes int64
}

// settleTime is how long the end of a connection may come before the end of the listener
// when a process is killed. The system closes the connections first, one after the other.
const settleTime = 5 * time.Millisecond

// NewHTTP returns an HTTP client that makes its attempts with client.
func NewHTTP(client *upstreamhttp.Client, maxReplyBytes int64) *HTTP {
	return &HTTP{client: client, MaxReplyBytes: maxReplyBytes}
}

// Call implements Client.
func (h *HTTP) Call(ctx context.Context, call Call) (Reply, Outcome, error) {
	if call.Timeout <= 0 {
		return Reply{}, NotSent, errors.New("call not sent: the deadline has passed")
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	h.fillRequest(req, call)
	if err := h.client.Do(ctx, req, resp, call.Timeout); err != nil {
		if errors.Is(err, upstreamhttp.ErrNotConnected) {
			return Reply{}, NotSent, err
		}
		return Reply{}, Lost, errors.Wrapf(err, "call %s %s on %s", call.Method, call.Path, call.Address)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return h.readReply(ctx, resp, call)
}

// fillRequest sets the fields of a request.
func (h *HTTP) fillRequest(req *protocol.Request, call Call) {
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

// readReply reads the reply of an attempt and checks that it is complete and
// belongs to this attempt.
func (h *HTTP) readReply(ctx context.Context, resp *protocol.Response, call Call) (Reply, Outcome, error) {
	if got := resp.Header.Get(upstreamhttp.HeaderAttempt); got != "" && got != call.AttemptID {
		return Reply{}, Lost, errors.Errorf("the reply belongs to another attempt, %s", got)
	}
	if reason := resp.Header.Get(upstreamhttp.HeaderRefused); reason != "" && resp.StatusCode() == 503 {
		return Reply{}, Refused, errors.Errorf("upstream %s refused the call: %s", call.Address, reason)
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), h.MaxReplyBytes+1))
	if errors.Is(err, upstreamhttp.ErrEndsWithConnection) {
		err = h.checkWhole(ctx, resp, call, body)
	}
	if err != nil {
		return Reply{}, Lost, errors.Wrap(err, "read reply body")
	}
	if int64(len(body)) > h.MaxReplyBytes {
		return Reply{}, Lost, errors.Errorf("the reply is larger than %d bytes", h.MaxReplyBytes)
	}
	if want := resp.Header.ContentLength(); want >= 0 && want != len(body) {
		return Reply{}, Lost, errors.Errorf("reply body truncated: got %d of %d bytes", len(body), want)
	}
	reply := Reply{Status: resp.StatusCode(), Body: body}
	resp.Header.VisitAll(func(name, value []byte) {
		if !isHopByHop(string(name)) {
			reply.Headers = append(reply.Headers, Header{string(name), string(value)})
		}
	})
	return reply, Answered, nil
}

// checkWhole returns an error if a body that ended with its connection may be a part. A JSON
// document tells its own end. Otherwise the service must still be there: the system also ends
// the connections of a killed process in order.
func (h *HTTP) checkWhole(ctx context.Context, resp *protocol.Response, call Call, body []byte) error {
	if isJSON(resp) && len(body) > 0 && strings.IndexByte(`{["`, body[0]) >= 0 {
		decoder := json.NewDecoder(bytes.NewReader(body))
		var document json.RawMessage
		first := decoder.Decode(&document)
		next := decoder.Decode(&document) // returns first again if that is an error
		switch {
		case errors.Is(next, io.ErrUnexpectedEOF):
			return errors.New("the connection ended within a JSON document")
		case first == nil && errors.Is(next, io.EOF):
			return nil
		}
	}
	return errors.WithMessage(h.checkAlive(ctx, call.Address), "the connection ended, and the service accepts none")
}

// checkAlive returns an error unless the service is proved to run, or accepts connections also
// after settleTime.
func (h *HTTP) checkAlive(ctx context.Context, address string) error {
	if proved, err := h.client.Alive(ctx, address); err != nil || proved {
		return err
	}
	select {
	case <-time.After(settleTime):
		return h.client.Connect(ctx, address)
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// isJSON reports whether the body of a reply is a JSON document.
func isJSON(resp *protocol.Response) bool {
	mediaType, _, _ := mime.ParseMediaType(string(resp.Header.ContentType()))
	return mediaType == "application/json" || strings.HasSuffix(mediaType, "+json")
}

// isHopByHop reports whether a header field applies only to one connection. The
// content length is included because the response to the caller gets its own.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "content-length", "te",
		"trailer", "upgrade", "proxy-authenticate", "proxy-authorization":
		return true
	}
	return false
}
