// Package client is the library for callers. It finds daemons through the
// address lookup, repeats idempotent calls on another daemon, ensures that an
// order is executed at most once, and resumes interrupted streams on another
// daemon without a repeated or dropped event.
package client

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Header names of the daemons' API for callers.
const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRetryAfter     = "Retry-After"
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Request-Deadline"
	headerContentType    = "Content-Type"
)

// Defaults of Options.
const (
	DefaultDialTimeout  = time.Second
	DefaultTimeout      = 60 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultMaxBodyBytes = 16 << 20
	DefaultMaxRounds    = 6
)

// initialBackoff is the wait between the first two rounds over all addresses. It
// doubles after each round.
const initialBackoff = 100 * time.Millisecond

// Options of a Client.
type Options struct {
	// Addresses are ip:port pairs of daemons that answer the first lookup.
	Addresses []string
	// Key is sent as "Authorization: Bearer <key>".
	Key string
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// Timeout bounds a call or order whose context has no deadline.
	Timeout time.Duration
	// IdleTimeout is the time without data after which a stream is resumed on
	// another daemon.
	IdleTimeout time.Duration
	// MaxBodyBytes is the maximum size of a response body.
	MaxBodyBytes int
	// MaxRounds is the maximum number of times that all addresses are tried.
	MaxRounds int
	Clock     clockwork.Clock
}

func (o *Options) setDefaults() {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxRounds, DefaultMaxRounds)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client sends requests to the daemons. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *transport
	addresses addressCache
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("create client: no daemon address is given")
	}
	o.setDefaults()
	t, err := newTransport(&o)
	if err != nil {
		return nil, err
	}
	c := &Client{options: o, transport: t}
	c.addresses = addressCache{client: c, reply: lookupReply{Addresses: o.Addresses}}
	return c, nil
}

// Close releases idle connections.
func (c *Client) Close() { c.transport.close() }

// Request is a call of the daemons' API.
type Request struct {
	Method string // POST if empty
	Path   string // path and query
	Header http.Header
	Body   []byte
	// RequestID identifies the request on all daemons; empty means a new UUID.
	RequestID string
	// IdempotencyKey is the key of an earlier order that is to be continued, for
	// example after a restart of the caller; empty means a new key.
	IdempotencyKey string
}

func (r *Request) setDefaults() {
	setDefault(&r.Method, http.MethodPost)
	if r.RequestID == "" {
		r.RequestID = uuid.NewString()
	}
}

// Response is the reply of an upstream.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Execution result.Execution
	RequestID string
	// IdempotencyKey is the key of an order.
	IdempotencyKey string
	// Address is the daemon that answered.
	Address string
}

// withTimeout applies Options.Timeout if ctx has no deadline.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// sleep waits for d; it reports false if ctx ends first.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-c.options.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
