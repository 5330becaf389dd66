// Package hertzconn dials for hertz clients: it tells failed dials from failed
// writes, and makes the read timeout of a connection
// apply to each read. The standard connection of hertz turns the timeout into
// one deadline, which ends a streamed reply that takes longer as a whole.
package hertzconn

import (
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// renewals is the number of parts of the timeout after which a read moves the
// deadline. It bounds the system calls of a stream with many small reads; a
// timeout is at most one part too short.
const renewals = 20

// Wrap returns a connection with the read timeout of the network.Conn contract:
// "SetReadTimeout should work for every Read process".
func Wrap(c network.Conn) network.Conn { return &conn{Conn: c} }

type conn struct {
	network.Conn
	timeout time.Duration // 0 means none
	renewed time.Time
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

// renew moves the deadline before a read. Its error also ends the read.
func (c *conn) renew() {
	if now := time.Now(); c.timeout > 0 && now.Sub(c.renewed) > c.timeout/renewals {
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
