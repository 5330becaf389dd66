// Package replyconn holds what all readers of HTTP/1.1 replies share: the rules for the
// bytes of a head, and for connections that end.
package replyconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection on which requests are sent and replies are read. Its Read returns
// io.EOF only if the peer has ended the connection in order, so that a body without a
// length is whole at io.EOF, and fails if a head that is expected is malformed.
//
// The system reports a reset, or another failure of the connection, to one call only. If
// that is a Write, reads return io.EOF afterwards, as at an orderly end.
type Conn struct {
	net.Conn
	writing  sync.Mutex // held during a Write
	writeErr error      // of the first Write that failed; guarded by writing

	limits  Limits
	reading sync.Mutex
	scanner *HeadScanner // nil if no head is expected; guarded by reading
	// lineFeeds reports that a line of the last head ended without a carriage return; guarded
	// by reading.
	lineFeeds bool
}

// New returns a Conn that uses c. Heads of replies are within the limits.
func New(c net.Conn, limits Limits) *Conn { return &Conn{Conn: c, limits: limits} }

// ExpectHead announces that the next bytes are those of the replies to a request, up to the
// head of the final one. buffered are the first of them, if they have been read already.
// The error wraps ErrMalformed.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.scanner = NewHeadScanner(c.limits)
	return c.scan(buffered)
}

// scan checks bytes that were read.
func (c *Conn) scan(data []byte) error {
	for len(data) > 0 && c.scanner != nil {
		n, ended, err := c.scanner.Scan(data)
		if err != nil {
			return err
		}
		data = data[n:]
		if ended && !c.scanner.Interim() {
			c.lineFeeds = c.scanner.lineFeeds
			c.scanner = nil
		}
	}
	return nil
}

// LineFeeds reports whether a line of the last final head ended without a carriage return. The
// peer probably ends those of its other heads so too.
func (c *Conn) LineFeeds() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.lineFeeds
}

// Write implements net.Conn. Each call waits until an earlier one has returned.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection it ends a Write in progress, and
// returns the error of a Write that met a failure of the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.reading.Lock()
	defer c.reading.Unlock()
	if malformed := c.scan(data[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// failure returns the error with which the connection failed, as far as a Write shows it,
// or nil.
func (c *Conn) failure() error {
	// Whether a Write in progress has met the failure is known when it has returned.
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(c.writeErr, syscall.EPIPE):
		// A reset gives EPIPE only after the peer has ended its side, or if a read has
		// returned the reset.
		return nil
	}
	return errors.Wrap(c.writeErr, "connection failed during a write")
}
