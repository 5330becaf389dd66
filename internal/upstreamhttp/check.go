package upstreamhttp

import (
	"context"
	"time"

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
	reply, err := c.Client.Exchange(ctx, Exchange{Method: "GET", Address: address, Path: c.Path, Timeout: timeout})
	if err != nil {
		return err
	}
	if reply.Status >= 500 {
		return errors.Errorf("health check of %s: status %d", address, reply.Status)
	}
	return nil
}
