// Package apiclient sends the requests of callers and operators to daemons:
// single calls, event streams and the resumption of broken streams.
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

// ErrNotConnected means that no connection was made, so that no byte of the
// request reached the daemon.
var ErrNotConnected = hertzconn.ErrNotConnected

const (
	dialTimeout = time.Second
	// maxConnections bounds the connections to one daemon. It is above the
	// number of requests that one caller process has in flight.
	maxConnections = 1 << 14
)

// Request is a request to a daemon.
type Request struct {
	Method string
	// Path includes the query.
	Path        string
	Body        []byte // nil sends no body
	ContentType string
	Header      map[string]string
	// Timeout bounds the wait for the response header and each read of the
	// body.
	Timeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status    int
	Body      []byte
	RequestID string
}

// Client is safe for concurrent use.
type Client struct {
	http *client.Client
	key  string
}

// New returns a client that authenticates with key. Without keepAlive every
// request has its own connection.
func New(key string, keepAlive bool) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(hertzconn.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithResponseBodyStream(true),
		client.WithKeepAlive(keepAlive),
		client.WithMaxConnsPerHost(maxConnections),
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
	defer release(resp)
	if err := c.send(ctx, address, r, resp); err != nil {
		return nil, err
	}
	return read(resp)
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

func read(resp *protocol.Response) (*Response, error) {
	body, err := resp.BodyE()
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	return &Response{
		Status: resp.StatusCode(), Body: append([]byte{}, body...), RequestID: resp.Header.Get("X-Request-Id"),
	}, nil
}

func release(resp *protocol.Response) {
	_ = resp.CloseBodyStream()
	protocol.ReleaseResponse(resp)
}

// problem has the members of a problem document that errors carry.
type problem struct {
	Detail    string           `json:"detail"`
	Code      result.Code      `json:"code"`
	Execution result.Execution `json:"execution"`
	Addresses []string         `json:"addresses"`
}

// Problem turns an error response into a *result.Error.
func Problem(status int, body []byte) *result.Error {
	if e := parseProblem(body); e != nil {
		return e
	}
	return result.New(result.Internal, result.Unknown, "status %d: %s", status, body)
}

func parseProblem(body []byte) *result.Error {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == result.OK || !p.Code.Known() {
		return nil
	}
	return result.New(p.Code, p.Execution, "%s", p.Detail).WithAddresses(p.Addresses)
}
