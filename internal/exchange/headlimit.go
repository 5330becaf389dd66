package exchange

import (
	"net"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes and maxHeadLines limit the head of a reply. An upstream that sends
	// header lines without end would otherwise exhaust the memory.
	maxHeadBytes = 16 << 10
	maxHeadLines = 200
)

var errHeadTooLong = errors.New("head of the reply exceeds 16 KiB or 200 lines")

// headLimiter reads from a connection and returns errHeadTooLong when a head exceeds
// its limits. Its count ends with the blank line after the head, so that bytes of the
// body that arrive in the same read are not counted.
type headLimiter struct {
	net.Conn
	counting  bool
	bytes     int
	lines     int
	lineEmpty bool // nothing but a carriage return since the last line feed
}

// expectHead starts the count for a new head.
func (l *headLimiter) expectHead() {
	l.counting, l.bytes, l.lines, l.lineEmpty = true, 0, 0, false
}

// headRead ends the count.
func (l *headLimiter) headRead() { l.counting = false }

// Read implements io.Reader.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	n, err := l.Conn.Read(buffer)
	if l.counting && l.exceeded(buffer[:n]) {
		return 0, errHeadTooLong
	}
	return n, err
}

// exceeded counts data and reports whether the head exceeds a limit.
func (l *headLimiter) exceeded(data []byte) bool {
	for _, b := range data {
		l.bytes++
		switch b {
		case '\n':
			if l.lineEmpty {
				l.counting = false
				return false
			}
			l.lines++
			l.lineEmpty = true
		case '\r':
		default:
			l.lineEmpty = false
		}
		if l.bytes > maxHeadBytes || l.lines > maxHeadLines {
			return true
		}
	}
	return false
}
