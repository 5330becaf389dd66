package exchange

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Links learns from the attempts to connect to instances whether this daemon can reach any.
type Links interface {
	// Connected records an attempt, begun at a time, that succeeded.
	Connected(began time.Time)
	// Failed records an attempt, begun at a time, that failed.
	Failed(began time.Time)
}

// connect connects to an instance.
func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	began := time.Now()
	c, err := p.direct(ctx, address)
	switch links := p.config.Links; {
	case links == nil:
	case err == nil:
		links.Connected(began)
	case ctx.Err() == nil: // otherwise the attempt was given up
		links.Failed(began)
	}
	return c, err
}

// direct connects to an instance over this daemon's own links.
func (p *Pool) direct(ctx context.Context, address string) (*conn, error) {
	if p.config.Dial == nil {
		return dial(ctx, address, p.config.DialTimeout, p.config.AckTimeout)
	}
	c, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// Dial connects to an address without a pool, with the timeouts of the configuration.
func Dial(ctx context.Context, address string, config Config) (net.Conn, error) {
	c, err := dial(ctx, address, config.DialTimeout, config.AckTimeout)
	if err != nil {
		return nil, err
	}
	return c.Conn.Conn, nil
}

// Reachable connects to address and closes the connection. It returns nil if the
// instance accepted it, and an error that wraps ErrNotSent otherwise.
func (p *Pool) Reachable(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return errors.Wrap(c.Close(), "close connection")
}
