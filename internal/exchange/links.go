package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

// ErrLinksLost is returned when this daemon has lost its links to all instances and no other
// daemon gave a connection. It tells nothing about the instance. It wraps ErrNotSent.
var ErrLinksLost = errors.WithMessage(ErrNotSent, "links to instances lost")

// Links knows whether this daemon can reach instances.
type Links interface {
	// Lost reports whether no instance can be reached.
	Lost() bool
	// Hanging reports whether, besides, connections made before are probably unusable.
	Hanging() bool
	// Connected records an attempt to connect, begun at a time, that succeeded.
	Connected(began time.Time)
	// Confirm reports whether the links are lost, after an attempt to connect to address,
	// begun at a time, has failed.
	Confirm(ctx context.Context, address string, began time.Time) bool
}

// DetourConn is a connection to an instance through another daemon. Its Read returns io.EOF
// only if the instance has ended its connection in order.
type DetourConn interface {
	net.Conn
	syscall.Conn
	// Readable reports whether bytes or an end have been received from the system and not
	// been returned by Read.
	Readable() bool
}

type detour struct{ DetourConn }

// connect connects to an instance: directly, or through another daemon if this one has lost
// its links. No byte of a request has been sent when it fails, so that the way can change.
func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	links := p.config.Links
	if links == nil {
		return p.direct(ctx, address)
	}
	detoured := links.Lost()
	if detoured {
		c, err := p.indirect(ctx, address)
		if err == nil || !errors.Is(err, ErrLinksLost) {
			return c, err
		}
	}
	began := time.Now()
	c, err := p.direct(ctx, address)
	if err == nil {
		links.Connected(began)
		return c, nil
	}
	switch {
	case detoured && links.Lost():
		return nil, errors.Wrapf(ErrLinksLost, "%v", err)
	case ctx.Err() != nil || !links.Confirm(ctx, address, began):
		return nil, err
	}
	return p.indirect(ctx, address)
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

// indirect connects to an instance through another daemon.
func (p *Pool) indirect(ctx context.Context, address string) (*conn, error) {
	if p.config.Detour == nil {
		return nil, ErrLinksLost
	}
	c, err := p.config.Detour(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(detour{c}), nil
}

// onUsableWay reports whether an idle connection may be used, considering the links: one
// over lost links doesn't answer, and one through another daemon takes longer than needed
// once they are restored.
func (p *Pool) onUsableWay(c *conn) bool {
	if p.config.Links == nil {
		return true
	}
	if _, indirect := c.Conn.Conn.(detour); indirect {
		return p.config.Links.Lost()
	}
	return !p.config.Links.Hanging()
}

// CloseUnusable closes the idle connections that are not used any more since the links were
// lost or restored.
func (p *Pool) CloseUnusable() {
	var unusable []*conn
	p.mu.Lock()
	for id, list := range p.idle {
		kept := list[:0:0]
		for _, c := range list {
			if p.onUsableWay(c) {
				kept = append(kept, c)
			} else {
				unusable = append(unusable, c)
			}
		}
		p.idle[id] = kept
	}
	p.mu.Unlock()
	for _, c := range unusable {
		_ = c.Close()
	}
}

// Dial connects to an address without a pool, with the timeouts of the configuration.
func Dial(ctx context.Context, address string, config Config) (*net.TCPConn, error) {
	c, err := dial(ctx, address, config.DialTimeout, config.AckTimeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.Conn.Conn.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, errors.Wrapf(ErrNotSent, "not a TCP connection")
	}
	return tcp, nil
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

// Alive is Reachable that also reports whether the process of the instance is proved to run
// (replyconn.Alive). Through another daemon it isn't. The error wraps ErrReset if the
// connection was reset.
func (p *Pool) Alive(ctx context.Context, address string) (proved bool, err error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	proved, err = replyconn.Alive(c.Conn.Conn)
	if err != nil {
		return false, errors.Wrapf(ErrReset, "%v", err)
	}
	return proved, nil
}
