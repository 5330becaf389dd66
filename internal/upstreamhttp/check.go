package upstreamhttp

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// checkTimeout bounds a health check without a deadline.
const checkTimeout = time.Second

// Checker asks an upstream for its health over HTTP.
type Checker struct {
	Client *Client
	Path   string
}

// Check returns nil if the upstream answers with a status below 500.
func (c Checker) Check(ctx context.Context, address string) error {
	timeout := checkTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + c.Path)
	if err := c.Client.Do(ctx, req, resp, timeout); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() >= 500 {
		return errors.Errorf("health check of %s: status %d", address, resp.StatusCode())
	}
	return nil
}
