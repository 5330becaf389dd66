package exchange

import (
	"io"
	"net"
	"net/http"
	"time"
)

// ReadForTest reads one reply to a request with a method from c.
func ReadForTest(c net.Conn, method string, matches func(http.Header, string, bool) bool) (status int, body []byte, err error) {
	reused := newConn(c)
	reused.reused = true
	reply, err := readReply(reused, &Request{Method: method, Matches: matches})
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(reply.Body)
	return reply.StatusCode, body, err
}

// ErrRepeatedReplyForTest is returned for a body that seems to be followed by a cut copy.
var ErrRepeatedReplyForTest = errRepeatedReply

// BodyForTest returns the body of a reply that ends with its connection.
func BodyForTest(source io.Reader, id string, earlier []string) io.Reader {
	return &embeddedReplies{
		source: source, endsWithConnection: true, method: http.MethodGet, id: id, earlier: earlier,
		matches: func(h http.Header, id string, _ bool) bool { return h.Get("X-Request-Id") == id },
	}
}

// BodyWithLengthForTest returns the body of a reply with a length. surplus returns what
// follows the body, as that of a connection does.
func BodyWithLengthForTest(source io.Reader, id string, surplus func(count int, deadline time.Time) []byte) io.Reader {
	return &embeddedReplies{
		source: source, method: http.MethodGet, id: id, surplus: surplus,
		matches: func(h http.Header, id string, _ bool) bool { return h.Get("X-Request-Id") == id },
	}
}

// SurplusForTest returns the bytes that arrive on c until the deadline, at least one more than
// count of them.
func SurplusForTest(c net.Conn, count int, deadline time.Time) []byte {
	return newConn(c).surplus(count, deadline)
}
