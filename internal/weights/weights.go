// Package weights reads model weights from the rate-limited weight store.
package weights

import (
	"context"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// ErrLimited means that the store asks to come back later.
var ErrLimited = errors.New("the weight store limits requests")

// Source is a weight store.
type Source interface {
	// Wait blocks until one more load may be ordered without exceeding the
	// store's rate.
	Wait(ctx context.Context) error
	// Exists asks whether weights of this name can be loaded.
	Exists(ctx context.Context, name string) (bool, error)
}

// HTTP is a Source over HTTP. Engines download weights themselves; the
// daemon that orders loads spaces them by the store's rate.
type HTTP struct {
	client  *upstreamhttp.Client
	address string
	limiter *rate.Limiter
	timeout time.Duration
}

// NewHTTP returns a source for the store at address (ip:port) that allows
// loadsPerMinute loads.
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
