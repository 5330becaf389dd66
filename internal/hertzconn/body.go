package hertzconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

// HeaderRefused is set in a reply by which an upstream refuses a request without
// having executed it. Its value is the reason.
const HeaderRefused = "X-Refused"

const (
	// headerID holds the ID of the request in a reply, if the peer returns it.
	headerID = "X-Request-Id"
	// tailBytes is the part of a body that is kept to find a head that arrives in parts.
	tailBytes = 4 << 10
	// statusLinePrefix begins the head of each reply.
	statusLinePrefix = "HTTP/1."
	// statusLineLen is the length of a status line up to its reason.
	statusLineLen = len("HTTP/1.1 200")
)

// Errors of replies.
var (
	// ErrEndsWithConnection means that the body has neither a length nor chunks, and that
	// its connection ended in order. The body may be a part: the system also ends the
	// connections of a killed process in order.
	ErrEndsWithConnection = errors.New("the body ends with its connection")
	// ErrRepeated means that the reply is sent again within its body.
	ErrRepeated = errors.New("the reply is repeated within its body")
)

// errStreamed is the error of Peek within a body that is read with Read only.
var errStreamed = errors.New("the body is streamed")

// body checks the body of a reply as it is read.
type body struct {
	head []byte // of the reply
	id   string // headerID of the reply
	// refused means that the reply has HeaderRefused, so that its body isn't needed.
	refused bool
	// left is the number of bytes that have not been read; -1 if the reply states no
	// length.
	left int64
	// endsWithConnection means that the reply has neither a length nor chunks.
	endsWithConnection bool
	tail               []byte // last bytes that were read, at most tailBytes
}

// newBody returns the body of a reply with a head.
func newBody(head []byte) *body {
	b := &body{head: bytes.Clone(head), left: -1}
	reply, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b.head)), nil)
	if err != nil {
		b.endsWithConnection = true
		return b
	}
	_ = reply.Body.Close()
	b.id, b.left = reply.Header.Get(headerID), reply.ContentLength
	b.refused = reply.Header.Get(HeaderRefused) != ""
	b.endsWithConnection = b.left < 0 && len(reply.TransferEncoding) == 0
	return b
}

// checked reports whether the bytes of the connection are those of the body. Those of a
// body in chunks contain the framing too.
func (b *body) checked() bool { return b != nil && (b.left >= 0 || b.endsWithConnection) }

// advance takes the next bytes as read.
func (b *body) advance(data []byte) {
	if b.left >= 0 {
		b.left -= int64(len(data))
	}
	b.tail = append(b.tail, data...)
	b.tail = append(b.tail[:0], b.tail[max(len(b.tail)-tailBytes, 0):]...)
}

// check returns ErrRepeated if the head of another copy of the reply begins in the last bytes
// of the body, which end with data. following are the bytes that have arrived after data.
func (b *body) check(data, following []byte) error {
	return b.checkEnd(data, following, b.left == int64(len(data)))
}

// checkEnd is check for data after which the body has ended or not.
func (b *body) checkEnd(data, following []byte, ended bool) error {
	if isStatusLine(following) {
		following = nil // the copy begins after the body
	}
	recent := append(append(bytes.Clone(b.tail), data...), following...)
	ends := len(b.tail) + len(data)
	for from := 0; ; {
		next := bytes.Index(recent[from:], []byte(statusLinePrefix))
		if next < 0 || from+next >= ends {
			return nil
		}
		from += next
		if b.isCopy(recent[from:], ended) {
			return errors.WithStack(ErrRepeated)
		}
		from += len(statusLinePrefix)
	}
}

// isCopy reports whether data begins with the head of a copy of the reply. With ended, a part
// of an equal head is one too, from its second line on.
func (b *body) isCopy(data []byte, ended bool) bool {
	if !isStatusLine(data) {
		return false
	}
	if bytes.HasPrefix(data, b.head) || b.id != "" && hasID(data, b.id) {
		return true
	}
	secondLine := bytes.IndexByte(b.head, '\n') + 1
	return ended && len(data) > secondLine && bytes.HasPrefix(b.head, data)
}

// isStatusLine reports whether data begins with a status line, up to its reason.
func isStatusLine(data []byte) bool {
	return len(data) >= statusLineLen && replyconn.StatusLineStart(data)
}

// hasID reports whether the head with which data begins holds an ID.
func hasID(data []byte, id string) bool {
	for line := range bytes.Lines(data) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			return false
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte(headerID)) && string(bytes.TrimSpace(value)) == id {
			return true
		}
	}
	return false
}

// failure returns the error for a read of the body that failed with err.
func (b *body) failure(err error) error {
	if b == nil || !b.endsWithConnection || !errors.Is(err, io.EOF) {
		return err
	}
	if repeated := b.checkEnd(nil, nil, true); repeated != nil {
		return repeated
	}
	return errors.WithStack(ErrEndsWithConnection)
}
