// Package weights looks up model weights in the weight store and paces load orders
// to the rate limit of the store.
package weights

import (
	"context"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// ErrLimited means that the store refused a request because of its rate limit.
var ErrLimited = errors.New("weight store rate limit exceeded")

// Source is a weight store.
type Source interface {
	// Wait blocks until one more load can be ordered within the store's rate limit.
	Wait(ctx context.Context) error
	// Exists reports whether the store has weights with this name.
	Exists(ctx context.Context, name string) (bool, error)
}

// HTTP is a Source over HTTP. Engines download the weights themselves; the daemon
// that orders the loads only keeps them within the store's rate limit.
type HTTP struct {
	client  *upstreamhttp.Client
	address string
	limiter *rate.Limiter
	timeout time.Duration
}

// NewHTTP returns a Source for the store at address (ip:port), whose rate limit is
// loadsPerMinute. The timeout applies to each look-up.
func NewHTTP(client *upstreamhttp.Client, address string, loadsPerMinute float64, timeout time.Duration) *HTTP {
	return &HTTP{
		client: client, address: address, timeout: timeout,
		limiter: rate.NewLimiter(rate.Limit(loadsPerMinute/60), 1),
	}
}

// Wait implements Source.
func (h *HTTP) Wait(ctx context.Context) error { return h.limiter.Wait(ctx) }

// Exists implements Source.
func (h *HTTP) Exists(ctx context.Context, name string) (bool, error) {
	reply, err := h.client.Exchange(ctx, upstreamhttp.Exchange{
		Method: "HEAD", Address: h.address, Path: "/v1/weights/" + url.PathEscape(name), Timeout: h.timeout,
	})
	switch {
	case err != nil:
		return false, errors.Wrapf(err, "look up weights %s", name)
	case reply.Status == 429:
		return false, errors.Wrapf(ErrLimited, "look up weights %s", name)
	}
	return reply.Status < 300, nil
}
