// Package peer connects daemons to each other over gRPC. A [Pool] holds the client
// connections; a [Service] is the server.
package peer

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
)

// Limits of a peer connection.
const (
	// MaxMessageBytes is the maximum size of a message in either direction.
	MaxMessageBytes = 8 << 20
	// keepaliveTime is the time without activity after which a client pings the
	// server.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time without an answer to a ping after which the
	// connection is closed.
	keepaliveTimeout = 3 * time.Second
	// maxReconnectDelay is shorter than the suspicion timeout, so that the
	// reconnect backoff doesn't make the membership suspect a peer that restarts.
	maxReconnectDelay = time.Second
	// minConnectTimeout is the minimum time that gRPC allows for an attempt to
	// connect.
	minConnectTimeout = time.Second
)

// Pool holds one client connection for each peer address. CloseIdle closes the
// connections that were not used for the idle timeout. A Pool is safe for
// concurrent use.
type Pool struct {
	idleTimeout time.Duration
	now         func() time.Time
	options     []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection of a Pool.
type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time // when Conn last returned the connection
}

// NewPool returns a pool without connections. options are added to the default
// dial options, for example transport credentials.
func NewPool(idleTimeout time.Duration, now func() time.Time, options ...grpc.DialOption) *Pool {
	return &Pool{
		idleTimeout: idleTimeout,
		now:         now,
		options:     append(defaultOptions(), options...),
		conns:       make(map[string]*pooledConn),
	}
}

// defaultOptions returns the dial options of all connections.
func defaultOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: minConnectTimeout,
		}),
	}
}

// Client returns a client for the peer at address (ip:port).
func (p *Pool) Client(address string) (peerv1.PeerClient, error) {
	conn, err := p.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerv1.NewPeerClient(conn), nil
}

// Conn returns the connection to the daemon at address (ip:port), and creates it if
// there is none. gRPC connects on the first call.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[address]
	if !ok {
		// The passthrough scheme keeps gRPC from resolving names.
		conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
		if err != nil {
			return nil, errors.Wrapf(err, "create connection to peer %s", address)
		}
		c = &pooledConn{conn: conn}
		p.conns[address] = c
	}
	c.lastUsed = p.now()
	return c.conn, nil
}

// CloseIdle closes the connections that Conn has not returned for the idle timeout.
// Calls must end within the idle timeout, because CloseIdle would interrupt them.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.now().Add(-p.idleTimeout)
	for address, c := range p.conns {
		if c.lastUsed.Before(limit) {
			_ = c.conn.Close()
			delete(p.conns, address)
		}
	}
}

// Redial makes the connection to address reconnect at once if it is waiting in the
// reconnect backoff. Calls on the connection continue.
func (p *Pool) Redial(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		c.conn.ResetConnectBackoff()
	}
}

// CloseConn closes and removes the connection to address, for example after a peer
// was declared dead.
func (p *Pool) CloseConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		_ = c.conn.Close()
		delete(p.conns, address)
	}
}

// Len returns the number of open connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, address)
	}
}
