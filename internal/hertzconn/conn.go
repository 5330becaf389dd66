// Package hertzconn provides a dialer and connections for hertz clients. The
// dialer's errors distinguish failed dials from failed writes. The read timeout of
// a connection applies to each read: the standard connection of hertz converts
// the timeout to one deadline, which ends a streamed reply whose total time is
// longer.
package hertzconn

import (
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// renewalsPerTimeout is the maximum number of times that reads renew the deadline
// within one timeout. It bounds the number of system calls for a stream with many
// small reads. In return, a read may time out early by up to 1/20 of the timeout.
const renewalsPerTimeout = 20

// Wrap returns a connection whose read timeout works as the documentation of
// network.Conn says: "SetReadTimeout should work for every Read process".
func Wrap(c network.Conn) network.Conn { return &conn{Conn: c} }

type conn struct {
	network.Conn
	timeout time.Duration // 0 means none
	renewed time.Time     // when the read deadline was last set
}

// normaliser is network.ErrorNormalization, which hertz looks for on its
// connections.
type normaliser interface{ ToHertzError(error) error }

// ToHertzError implements network.ErrorNormalization.
func (c *conn) ToHertzError(err error) error {
	if n, ok := c.Conn.(normaliser); ok {
		return n.ToHertzError(err)
	}
	return err
}

// SetReadTimeout implements network.Conn.
func (c *conn) SetReadTimeout(t time.Duration) error {
	c.timeout, c.renewed = max(t, 0), time.Now()
	return c.Conn.SetReadTimeout(t)
}

// renew renews the read deadline before a read. An error is ignored, because the
// read that follows returns it too.
func (c *conn) renew() {
	if now := time.Now(); c.timeout > 0 && now.Sub(c.renewed) > c.timeout/renewalsPerTimeout {
		c.renewed = now
		_ = c.Conn.SetReadTimeout(c.timeout)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.renew()
	return c.Conn.Read(p)
}

// Peek implements network.Reader.
func (c *conn) Peek(n int) ([]byte, error) {
	c.renew()
	return c.Conn.Peek(n)
}

// Skip implements network.Reader.
func (c *conn) Skip(n int) error {
	c.renew()
	return c.Conn.Skip(n)
}

// ReadByte implements network.Reader.
func (c *conn) ReadByte() (byte, error) {
	c.renew()
	return c.Conn.ReadByte()
}

// ReadBinary implements network.Reader.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	c.renew()
	return c.Conn.ReadBinary(n)
}
