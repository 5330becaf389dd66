// Package hertzconn provides a dialer and connections for hertz clients. The
// dialer's errors distinguish failed dials from failed writes. The connections
// check the heads of replies, because hertz takes malformed ones. The read timeout of
// a connection applies to each read: the standard connection of hertz converts
// the timeout to one deadline, which ends a streamed reply whose total time is
// longer.
package hertzconn

import (
	"io"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

// maxHeadBytes limits the head of a reply, so that header lines without end don't exhaust
// the memory.
const maxHeadBytes = 1 << 20

// renewalsPerTimeout is the maximum number of times that reads renew the deadline
// within one timeout. It bounds the number of system calls for a stream with many
// small reads. In return, a read may time out early by up to 1/20 of the timeout.
const renewalsPerTimeout = 20

// Wrap returns a client's connection whose read timeout works as the documentation of
// network.Conn says: "SetReadTimeout should work for every Read process". Its reads fail
// with an error that wraps replyconn.ErrMalformed if the head of a reply is malformed. The
// end of the connection is never the end of a body: reads of a body without a length or
// chunks fail with ErrEndsWithConnection there. They fail with ErrRepeated at another copy
// of the reply.
func Wrap(c network.Conn) network.Conn { return &conn{Conn: c} }

type conn struct {
	network.Conn
	timeout time.Duration // 0 means none
	renewed time.Time     // when the read deadline was last set

	scanner *replyconn.HeadScanner // nil if no head is expected
	started bool                   // a byte of the reply was read
	head    []byte                 // checked and not read by hertz

	body *body // of the reply; nil before its head has ended
	// writeFailed means that the request was not written as a whole. hertz reads the reply
	// without streaming then.
	writeFailed bool
	// failed is the error of the first read of the body that failed. hertz ignores it in
	// some cases and reads again, and a reset is reported by the system once only.
	failed error
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

// Flush implements network.Writer. hertz calls it at the end of each request.
func (c *conn) Flush() error {
	c.scanner, c.started, c.head = replyconn.NewHeadScanner(replyconn.Limits{Bytes: maxHeadBytes}), false, nil
	c.body, c.failed = nil, nil
	err := c.Conn.Flush()
	c.writeFailed = err != nil
	return err
}

// readHead reads and checks the heads of the replies to a request, if they are expected. It
// leaves that of the final reply in c.head.
func (c *conn) readHead() error {
	for c.scanner != nil {
		c.renew()
		if _, err := c.Conn.Peek(1); err != nil {
			// hertz sends a request again after io.EOF on a pooled connection.
			if c.started && errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		c.started = true
		data, err := c.Conn.Peek(c.Conn.Len())
		if err != nil {
			return err
		}
		n, ended, err := c.scanner.Scan(data)
		if err != nil {
			return err
		}
		c.head = append(c.head, data[:n]...)
		if err := c.Conn.Skip(n); err != nil {
			return err
		}
		switch {
		case ended && c.scanner.Interim():
			c.head = c.head[:0] // hertz takes most interim replies for final ones
		case ended:
			c.body = newBody(c.head)
			unfold(c.head)
			c.scanner = nil
			if c.writeFailed && c.body.endsWithConnection && !c.body.refused {
				return errors.WithStack(ErrEndsWithConnection) // hertz ignores that of the body
			}
		}
	}
	return nil
}

// unfold replaces the line breaks before folded lines by blanks, as RFC 9112, section 5.2,
// asks of a reader. hertz takes a folded line with a colon for a field.
func unfold(head []byte) {
	for i := range len(head) - 1 {
		if head[i] != '\n' || head[i+1] != ' ' && head[i+1] != '\t' {
			continue
		}
		head[i] = ' '
		if head[i-1] == '\r' {
			head[i-1] = ' '
		}
	}
}

// Peek implements network.Reader. It returns no bytes beyond the head until hertz has read
// the head.
func (c *conn) Peek(n int) ([]byte, error) {
	if err := c.readHead(); err != nil {
		return nil, err
	}
	switch {
	case len(c.head) == 0:
		return c.peekBody(n)
	case n > len(c.head):
		return c.head, io.ErrShortBuffer
	}
	return c.head[:n], nil
}

// Len implements network.Reader.
func (c *conn) Len() int {
	switch {
	case len(c.head) > 0:
		return len(c.head)
	case c.streamed():
		return 0
	}
	return c.Conn.Len()
}

// streamed reports whether the body is read with Read only. hertz would read a body without
// a length as a whole before it returns the head, and ends that if Peek fails.
func (c *conn) streamed() bool { return c.body != nil && c.body.endsWithConnection && !c.writeFailed }

// Skip implements network.Reader.
func (c *conn) Skip(n int) error {
	if len(c.head) > 0 && n <= len(c.head) {
		c.head = c.head[n:]
		return nil
	}
	c.renew()
	if c.body.checked() {
		data, _ := c.Conn.Peek(n)
		c.body.advance(data)
	}
	return c.Conn.Skip(n)
}

// buffered returns the bytes that have arrived and were not read.
func (c *conn) buffered() []byte {
	data, _ := c.Conn.Peek(c.Conn.Len())
	return data
}

// peekBody returns the next bytes of the body.
func (c *conn) peekBody(n int) ([]byte, error) {
	switch {
	case c.failed != nil:
		return nil, c.failed
	case c.streamed():
		return nil, errStreamed
	}
	c.renew()
	data, err := c.Conn.Peek(n)
	if err != nil {
		c.failed = c.body.failure(err)
		return data, c.failed
	}
	if c.body.checked() {
		c.failed = c.body.check(data, c.buffered()[n:])
	}
	return data, c.failed
}

// readBody reads the next bytes of the body, but none beyond its length.
func (c *conn) readBody(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	c.renew()
	if !c.body.checked() {
		n, err := c.Conn.Read(p)
		c.failed = err
		return n, err
	}
	if left := c.body.left; left >= 0 && int64(len(p)) >= left {
		// The bytes after the body arrive in the buffer.
		if _, err := c.Conn.Peek(1); err != nil {
			c.failed = err
			return 0, err
		}
		p = p[:min(left, int64(c.Conn.Len()))]
	}
	n, err := c.Conn.Read(p)
	if repeated := c.body.check(p[:n], c.buffered()); repeated != nil {
		c.failed = repeated
		return 0, repeated
	}
	c.body.advance(p[:n])
	c.failed = c.body.failure(err)
	return n, c.failed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.readHead(); err != nil {
		return 0, err
	}
	if len(c.head) > 0 {
		n := copy(p, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	return c.readBody(p)
}

// ReadByte implements network.Reader.
func (c *conn) ReadByte() (byte, error) {
	data, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	b := data[0]
	return b, c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	data, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	data = slices.Clone(data)
	return data, c.Skip(n)
}
