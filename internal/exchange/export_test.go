package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ReadForTest reads one reply to a request with a method from c.
func ReadForTest(c net.Conn, method string, matches func(http.Header, bool) bool) (status int, body []byte, err error) {
	limiter := &headLimiter{Conn: c}
	reply, err := readReply(
		&conn{Conn: c, limiter: limiter, reader: bufio.NewReader(limiter), reused: true},
		&Request{Method: method, Matches: matches})
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(reply.Body)
	return reply.StatusCode, body, err
}
