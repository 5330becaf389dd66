package upstreamhttp

import (
	"context"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// maxReplyBytes is the maximum size of the reply body of an Exchange. A longer body
// is an error: the caller must not take its start for the whole.
const maxReplyBytes = 64 << 20

// Exchange is a request whose complete reply is read into memory.
type Exchange struct {
	Method      string
	Address     string // ip:port
	Path        string // path and query
	ContentType string
	Body        []byte
	// SelfDelimited means that a part of the reply's body can't be taken for the whole, as
	// with a JSON object, or that the body isn't used. Otherwise a reply whose body ends
	// with its connection is an error.
	SelfDelimited bool
	// Timeout bounds the wait for the reply and each read of its body.
	Timeout time.Duration
}

// ExchangeReply is the complete reply of an Exchange.
type ExchangeReply struct {
	Status  int
	Refused string // value of HeaderRefused
	Body    []byte
}

// Exchange makes one attempt. The error wraps ErrNotConnected if no byte was
// sent; a reply with any status is no error. When ctx ends, Exchange returns at
// once. The attempt itself ends at its timeout, because hertz can't cancel it.
func (c *Client) Exchange(ctx context.Context, e Exchange) (ExchangeReply, error) {
	type outcome struct {
		reply ExchangeReply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := c.exchange(ctx, e)
		done <- outcome{reply, err}
	}()
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		return ExchangeReply{}, errors.Wrapf(ctx.Err(), "%s %s", e.Method, e.Path)
	}
}

func (c *Client) exchange(ctx context.Context, e Exchange) (ExchangeReply, error) {
	if e.Timeout <= 0 {
		return ExchangeReply{}, errors.Wrap(ErrNotConnected, "the deadline has passed")
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(e.Method)
	req.SetRequestURI("http://" + e.Address + e.Path)
	if e.Body != nil {
		req.Header.SetContentTypeBytes([]byte(e.ContentType))
		req.SetBody(e.Body)
	}
	if err := c.Do(ctx, req, resp, e.Timeout); err != nil {
		return ExchangeReply{}, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxReplyBytes+1))
	if e.SelfDelimited && errors.Is(err, ErrEndsWithConnection) {
		err = nil
	}
	if err != nil {
		return ExchangeReply{}, errors.Wrapf(err, "read reply of %s %s", e.Method, e.Path)
	}
	if len(body) > maxReplyBytes {
		return ExchangeReply{}, errors.Errorf("reply of %s %s is longer than 64 MiB", e.Method, e.Path)
	}
	return ExchangeReply{Status: resp.StatusCode(), Refused: resp.Header.Get(HeaderRefused), Body: body}, nil
}
