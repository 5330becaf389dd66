package upstreamhttp

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// defaultCheckTimeout bounds a health check whose context has no deadline.
const defaultCheckTimeout = time.Second

// Checker checks the health of upstreams over HTTP.
type Checker struct {
	Client *Client
	Path   string // path of the health check
}

// Check returns nil if the upstream answers with a status below 500.
func (c Checker) Check(ctx context.Context, address string) error {
	timeout := defaultCheckTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	reply, err := c.Client.Exchange(ctx, Exchange{
		Method: "GET", Address: address, Path: c.Path, SelfDelimited: true, Timeout: timeout,
	})
	if err != nil {
		return err
	}
	if reply.Status >= 500 {
		return errors.Errorf("health check of upstream %s: got status %d, want less than 500", address, reply.Status)
	}
	return nil
}
