// Package upstreamhttp makes single HTTP attempts to upstreams. Each attempt opens
// a new connection, for two reasons: a late reply on a reused connection could be
// taken for the reply to another request, and if the upstream has closed an idle
// connection, it is unknown whether a request on it was delivered.
package upstreamhttp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/hertzconn"
	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

// ErrNotConnected means that no connection was established, so that no byte of
// the request reached the upstream.
var ErrNotConnected = hertzconn.ErrNotConnected

// ErrEndsWithConnection is the error of reading a body that has neither a length nor chunks,
// at the orderly end of its connection. The body may be a part.
var ErrEndsWithConnection = hertzconn.ErrEndsWithConnection

// HeaderRefused is set in a reply by which an upstream refuses a request without
// having executed it. Its value is the reason.
const HeaderRefused = hertzconn.HeaderRefused

// RefusedLeaving is the value of HeaderRefused from an upstream that is about to
// stop.
const RefusedLeaving = "leaving"

// HeaderAttempt contains the attempt ID. Upstreams return it in the reply.
const HeaderAttempt = "X-Request-Id"

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	http   *client.Client
	dialer net.Dialer
}

// New returns a client with the given timeout for connecting.
func New(dialTimeout time.Duration) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(hertzconn.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithResponseBodyStream(true),
		client.WithKeepAlive(false),
		client.WithMaxConnsPerHost(1<<16),
		client.WithNoDefaultUserAgentHeader(true),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &Client{http: c, dialer: net.Dialer{Timeout: dialTimeout}}, nil
}

// Connect returns nil if the upstream at address (ip:port) accepts connections.
func (c *Client) Connect(ctx context.Context, address string) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	_ = conn.Close()
	return nil
}

// Alive is Connect that also reports whether the process of the upstream is proved to run
// (replyconn.Alive). A connection that was reset is no proof, and no error.
func (c *Client) Alive(ctx context.Context, address string) (proved bool, err error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		proved, err = replyconn.Alive(conn)
	}
	if errors.Is(err, syscall.ECONNRESET) {
		return false, nil
	}
	return proved, errors.WithStack(err)
}

// Do sends req and reads the header of the reply; the body is a stream that
// the caller must close. readTimeout bounds the wait for the header and then
// each read of the body. The error wraps ErrNotConnected if no byte was sent. Reads of a body
// without a length or chunks fail with ErrEndsWithConnection at its end.
func (c *Client) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response, readTimeout time.Duration) error {
	req.SetConnectionClose()
	req.SetOptions(config.WithReadTimeout(readTimeout), config.WithWriteTimeout(readTimeout))
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(ErrNotConnected, "%v", err)
	}
	return c.http.Do(ctx, req, resp)
}
