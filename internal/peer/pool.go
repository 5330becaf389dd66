// Package peer connects daemons with each other over gRPC.
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
	MaxMessageBytes  = 8 << 20
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// maxReconnectDelay is shorter than the suspicion timeout, so that a peer
	// that restarts isn't suspected because of the reconnect backoff.
	maxReconnectDelay = time.Second
	connectTimeout    = time.Second
)

// Pool keeps one connection for each peer address. Connections that were not
// used for idleTimeout are closed by CloseIdle.
type Pool struct {
	idleTimeout time.Duration
	now         func() time.Time
	options     []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*pooledConn
}

type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// NewPool returns a pool. options are added to the defaults, for example
// transport credentials.
func NewPool(idleTimeout time.Duration, now func() time.Time, options ...grpc.DialOption) *Pool {
	return &Pool{
		idleTimeout: idleTimeout,
		now:         now,
		options:     append(defaultOptions(), options...),
		conns:       make(map[string]*pooledConn),
	}
}

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
			MinConnectTimeout: connectTimeout,
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

// Conn returns the connection to the daemon at address (ip:port).
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

// CloseIdle closes connections that were not used for the idle timeout. Calls
// on such a connection must end within the timeout.
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

// Redial makes the connection to address try again at once if it waits between
// two attempts to connect. Calls on the connection go on.
func (p *Pool) Redial(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		c.conn.ResetConnectBackoff()
	}
}

// Forget closes the connection to address, for example after a peer died.
func (p *Pool) Forget(address string) {
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
