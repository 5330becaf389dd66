package exchange

import (
	"io"
	"net"
	"net/http"
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
