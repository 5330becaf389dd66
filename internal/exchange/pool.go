package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config holds the parameters of a Pool.
type Config struct {
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// AckTimeout breaks a connection whose peer doesn't acknowledge data.
	AckTimeout time.Duration
	// IdleLimit is the longest time that a connection is kept idle.
	IdleLimit time.Duration
}

// idleMargin is how long before the announced end of its idle time a
// connection isn't used any more, so that a request doesn't cross the close.
const idleMargin = time.Second

// Pool keeps idle connections by instance. It is safe for concurrent use.
type Pool struct {
	config Config

	mu   sync.Mutex
	idle map[string][]*conn // by instance ID
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	return &Pool{config: config, idle: map[string][]*conn{}}
}

// get returns an idle connection, or a new one.
func (p *Pool) get(ctx context.Context, peer Peer, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(peer.ID)
		if c == nil {
			break
		}
		if p.usable(c) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	metrics.GetOrCreateCounter("rudder_upstream_connections_total").Inc()
	return dial(ctx, peer.Address, p.config.DialTimeout, p.config.AckTimeout)
}

func (p *Pool) usable(c *conn) bool {
	limit := p.config.IdleLimit
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit-idleMargin)
	}
	return time.Since(c.idleSince) < limit && c.quiet()
}

func (p *Pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// put keeps a connection on which a whole response was read and nothing follows.
func (p *Pool) put(peer Peer, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[peer.ID]
	full := len(list) >= peer.MaxIdle
	if !full {
		p.idle[peer.ID] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// Forget closes the idle connections to an instance.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}
