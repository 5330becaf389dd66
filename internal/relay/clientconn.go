package relay

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// connectionKey is the key of the client's connection in the context of a request.
type connectionKey struct{}

// ConnContext adds the connection of a client to the context of its requests. The
// http.Server of a Relay must use it as its ConnContext: otherwise a client of HTTP/1.0
// can't tell a part of a reply from a whole one.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// lingerer is a connection with the socket option SO_LINGER, such as a *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

const (
	// lingerReset makes the system reset a connection that is closed, also by the end of
	// the process.
	lingerReset = 0
	// lingerDefault makes the system send what was written, and then the end.
	lingerDefault = -1
)

// framing tells how a client recognises the end of a body. Its values are labels in logs
// and metrics.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	// framedByClose means that the connection ends with the body, and is reset if the body
	// is incomplete.
	framedByClose framing = "connection"
)

// framingOf returns the framing of a body whose length is -1 if it is unknown.
func (q *request) framingOf(length int64) framing {
	switch {
	case length >= 0:
		return framedByLength
	case q.http.ProtoAtLeast(1, 1):
		return framedByChunks
	}
	return framedByClose
}

// resetUntilWhole makes the client's connection end with a reset until endBody is called.
func (q *request) resetUntilWhole() {
	if c, ok := q.http.Context().Value(connectionKey{}).(lingerer); ok {
		_ = c.SetLinger(lingerReset) // fails only on a closed connection
	}
}

// endBody lets the client's connection end in order once the system has the whole body.
func (q *request) endBody() error {
	if q.framing != framedByClose {
		return nil
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return errors.Wrap(err, "write the end of the body")
	}
	if c, ok := q.http.Context().Value(connectionKey{}).(lingerer); ok {
		return errors.Wrap(c.SetLinger(lingerDefault), "end the connection in order")
	}
	return nil
}
