// Package apiclient sends requests of callers and operators to daemons. It sends
// single requests, reads event streams and resumes streams that break.
package apiclient

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/hertzconn"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// ErrNotConnected means that the connection could not be established, so that no
// byte of the request was sent.
var ErrNotConnected = hertzconn.ErrNotConnected

const (
	dialTimeout = time.Second
	// maxConnectionsPerDaemon exceeds the number of requests that one caller
	// process has in flight.
	maxConnectionsPerDaemon = 1 << 14
)

// Request is a request to a daemon.
type Request struct {
	Method string
	// Path includes the query.
	Path        string
	Body        []byte // nil sends no body
	ContentType string
	Header      map[string]string
	// Timeout is the time limit for the response header, each read of the body
	// and each write.
	Timeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status    int
	Body      []byte
	RequestID string
}

// Client sends requests to daemons. It is safe for concurrent use.
type Client struct {
	http *client.Client
	key  string
}

// New returns a client that authenticates with key. Without keepAlive, every
// request uses a connection of its own.
func New(key string, keepAlive bool) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(hertzconn.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithResponseBodyStream(true),
		client.WithKeepAlive(keepAlive),
		client.WithMaxConnsPerHost(maxConnectionsPerDaemon),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &Client{http: c, key: key}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends r to address (ip:port) once and reads the whole response. The error
// wraps ErrNotConnected if no byte was sent.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	resp := protocol.AcquireResponse()
	defer releaseResponse(resp)
	if err := c.send(ctx, address, r, resp); err != nil {
		return nil, err
	}
	return readResponse(resp)
}

func (c *Client) send(ctx context.Context, address string, r Request, resp *protocol.Response) error {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	req.SetMethod(r.Method)
	req.SetRequestURI("http://" + address + r.Path)
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	if r.Body != nil {
		req.Header.SetContentTypeBytes([]byte(r.ContentType))
		req.SetBody(r.Body)
	}
	req.SetOptions(config.WithReadTimeout(r.Timeout), config.WithWriteTimeout(r.Timeout))
	return c.http.Do(ctx, req, resp)
}

func readResponse(resp *protocol.Response) (*Response, error) {
	body, err := resp.BodyE()
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	return &Response{
		Status: resp.StatusCode(), Body: append([]byte{}, body...), RequestID: resp.Header.Get("X-Request-Id"),
	}, nil
}

func releaseResponse(resp *protocol.Response) {
	_ = resp.CloseBodyStream()
	protocol.ReleaseResponse(resp)
}

// problem has the fields of a problem document that a result.Error holds.
type problem struct {
	Detail    string           `json:"detail"`
	Code      result.Code      `json:"code"`
	Execution result.Execution `json:"execution"`
	Addresses []string         `json:"addresses"`
}

// Problem returns the *result.Error for an error response. A body that is not a
// problem document gives result.Internal with an unknown execution state.
func Problem(status int, body []byte) *result.Error {
	if e := parseProblem(body); e != nil {
		return e
	}
	return result.New(result.Internal, result.Unknown, "status %d: %s", status, body)
}

// parseProblem returns nil if body is not a problem document with a known code.
func parseProblem(body []byte) *result.Error {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == result.OK || !p.Code.Known() {
		return nil
	}
	return result.New(p.Code, p.Execution, "%s", p.Detail).WithAddresses(p.Addresses)
}
