package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config holds the parameters of a Pool.
type Config struct {
	// DialTimeout is the maximum time to connect.
	DialTimeout time.Duration
	// AckTimeout is the time after which a connection fails if the peer does not
	// acknowledge sent data (TCP_USER_TIMEOUT).
	AckTimeout time.Duration
	// IdleTimeout is the maximum time that an idle connection is kept.
	IdleTimeout time.Duration
	// Dial connects to an instance; nil means Dial of this package. Its errors wrap
	// ErrNotSent.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Links knows whether instances can be reached; nil means that they can.
	Links Links
	// Detour connects to an instance through another daemon; nil means that none does so.
	// Its errors wrap ErrNotSent, and ErrLinksLost if no daemon gave a connection.
	Detour func(ctx context.Context, address string) (DetourConn, error)
}

// idleMargin is how long before the idle timeout announced by the upstream a
// connection is no longer used, so that no request is sent while the upstream
// closes it.
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

// get returns an idle connection, or a new one if there is none or newConnection
// is set.
func (p *Pool) get(ctx context.Context, peer Peer, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.pop(peer.ID)
		if c == nil {
			break
		}
		if p.reusable(c) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	metrics.GetOrCreateCounter("rudder_upstream_connections_total").Inc()
	return p.connect(ctx, peer.Address)
}

func (p *Pool) reusable(c *conn) bool {
	timeout := p.config.IdleTimeout
	if c.idleTimeout > 0 {
		timeout = min(timeout, c.idleTimeout-idleMargin)
	}
	return time.Since(c.idleSince) < timeout && p.onUsableWay(c) && c.openWithoutData()
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

// put adds a connection to the idle ones, or closes it if peer.MaxIdleConns is
// reached. The last reply must have been read completely.
func (p *Pool) put(peer Peer, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[peer.ID]
	full := len(list) >= peer.MaxIdleConns
	if !full {
		p.idle[peer.ID] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an instance.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}
