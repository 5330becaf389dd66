// Package exchange makes single HTTP/1.1 exchanges with upstream instances
// over pooled connections. It tells apart what was sent, ends an exchange at
// once when its context ends, and never lets bytes of one exchange reach
// another. The HTTP libraries weren't usable here: hertz cannot cancel an
// exchange, and net/http repeats requests by itself and drops a connection on
// which a late reply precedes the awaited one.
package exchange

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds a response header and a few events.
	readBuffer = 4 << 10
	// keepAliveIdle and keepAliveCount detect a silent peer within about 3 s.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
)

// ErrNotSent means that no byte of the request reached the upstream.
var ErrNotSent = errors.New("request not sent")

// conn is a connection to one instance.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration // announced by the upstream; 0 if unknown
	reused    bool
}

// dial connects within timeout. Data that the peer doesn't acknowledge within
// ackTimeout breaks the connection.
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
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// quiet reports whether an idle connection is open and has no bytes waiting.
// Bytes on an idle connection belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = recvErr == unix.EAGAIN || recvErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// parseIdleLimit reads the timeout parameter of a Keep-Alive header, in whole
// seconds. It returns 0 if there is none.
func parseIdleLimit(value string) time.Duration {
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
