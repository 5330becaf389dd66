// Package exchange sends single HTTP/1.1 requests to upstream instances over
// pooled connections. It reports whether a failed request may have reached the
// instance, closes the connection at once when the context ends, and never
// delivers bytes of one exchange to another. The HTTP libraries are not usable
// here: hertz cannot cancel an exchange, and net/http retries requests by itself
// and drops a connection on which a late reply to an earlier request arrives.
package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

const (
	// readBufferBytes is large enough for a response header and a few events.
	readBufferBytes = 4 << 10
	// keepAliveIdle and keepAliveCount detect an unresponsive peer within about 3 s.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
	// maxHeadBytes and maxHeadLines limit the head of a reply. An upstream that sends
	// header lines without end would otherwise exhaust the memory.
	maxHeadBytes = 16 << 10
	maxHeadLines = 200
)

var headLimits = replyconn.Limits{Bytes: maxHeadBytes, Lines: maxHeadLines}

// ErrNotSent is returned when no byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// ErrRefused is returned when the machine of the upstream refused the connection, so that
// the upstream wasn't running. It wraps ErrNotSent.
var ErrRefused = errors.WithMessage(ErrNotSent, "connection refused")

// ErrReset is returned when a new connection was reset: by an upstream that accepts no more,
// or because the listener that had accepted it has ended. It wraps ErrNotSent.
var ErrReset = errors.WithMessage(ErrNotSent, "new connection reset")

// conn is a connection to one instance.
type conn struct {
	*replyconn.Conn
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration // announced by the upstream; 0 if unknown
	reused      bool          // it has carried an earlier exchange
	earlier     []string      // IDs of the last requests that it has carried
}

// dial connects within timeout. The connection fails if the peer does not
// acknowledge sent data within ackTimeout.
func dial(ctx context.Context, address string, timeout, ackTimeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, errors.Wrapf(ErrRefused, "connect: %v", err)
	}
	if errors.Is(err, unix.ECONNRESET) {
		return nil, errors.Wrapf(ErrReset, "connect: %v", err)
	}
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	wrapped := replyconn.New(c, headLimits)
	return &conn{Conn: wrapped, reader: bufio.NewReaderSize(wrapped, readBufferBytes)}
}

// readFinal reads the head of the next reply that is not an interim one.
func (c *conn) readFinal(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	if err := c.ExpectHead(buffered); err != nil {
		return nil, errors.Wrap(err, "read reply")
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read reply")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// openWithoutData reports whether an idle connection is open and has no unread
// data. Data on an idle connection does not belong to any request.
func (c *conn) openWithoutData() bool {
	return c.reader.Buffered() == 0 && errors.Is(c.poll(), unix.EAGAIN)
}

// poll looks for bytes that the system has received, without waiting. It returns nil if there
// are some or if the peer has ended the connection, and unix.EAGAIN if there is nothing.
func (c *conn) poll() error {
	if d, indirect := c.Conn.Conn.(detour); indirect && d.Readable() {
		return nil
	}
	syscallConn, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return errors.New("the connection has no file descriptor")
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get file descriptor")
	}
	var one [1]byte
	var recvErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return errors.Wrap(err, "poll")
	}
	return recvErr
}

// surplus returns the bytes that have arrived after those that were read: more than count of
// them, unless no more arrive until the deadline or the buffer is full.
func (c *conn) surplus(count int, deadline time.Time) []byte {
	if c.reader.Buffered() <= count {
		_ = c.SetReadDeadline(deadline) // fails only on a closed connection
		_, err := c.reader.Peek(count + 1)
		_ = c.SetReadDeadline(time.Time{})
		if errors.Is(err, os.ErrDeadlineExceeded) && c.poll() == nil {
			_, _ = c.reader.Peek(count + 1) // doesn't wait; an error shows as missing bytes
		}
	}
	arrived, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	return arrived
}

// parseIdleTimeout returns the timeout parameter of a Keep-Alive header, which is
// in whole seconds, or 0 if there is none.
func parseIdleTimeout(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
