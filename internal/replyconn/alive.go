package replyconn

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// aliveTimeout bounds the wait for a process to end a connection.
const aliveTimeout = 100 * time.Millisecond

// Alive ends this side of a new connection on which nothing was sent, and reports whether the
// process of the peer ends its side: only a running process accepts a connection and reads its
// end. The system resets the connections that no process has accepted when their listener ends.
// Without an error, false means that this is not known within aliveTimeout, or that c can't be
// ended on one side. The error wraps ECONNRESET.
func Alive(c net.Conn) (bool, error) {
	oneSided, ok := c.(interface{ CloseWrite() error })
	if !ok || oneSided.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(aliveTimeout)) != nil {
		return false, nil
	}
	var one [1]byte
	n, err := c.Read(one[:])
	if errors.Is(err, syscall.ECONNRESET) {
		return false, errors.Wrap(err, "await end")
	}
	return n > 0 || errors.Is(err, io.EOF), nil
}
