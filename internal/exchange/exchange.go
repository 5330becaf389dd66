package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// syncWriteBytes is the largest request that is written before its response is
// read: it fits into the socket buffers. A longer one is written beside the
// reading, because an early answer can come while the body is still on its way.
const syncWriteBytes = 4 << 10

// maxStrayReplies bounds the late replies of earlier requests that are skipped.
const maxStrayReplies = 4

// maxStrayBytes bounds the body of a skipped reply.
const maxStrayBytes = 1 << 20

// Peer names the upstream of an exchange.
type Peer struct {
	ID      string
	Address string // ip:port
	// MaxIdle bounds the idle connections that are kept to it.
	MaxIdle int
}

// Request is what is sent, byte for byte.
type Request struct {
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header
	Body   []byte
	// HasBody sends Content-Length even if the body is empty.
	HasBody bool
	// Fresh forbids an idle connection, whose peer may be closing it.
	Fresh bool
	// Matches reports whether a reply belongs to the request.
	Matches func(http.Header) bool
}

// Reply is the head of a response and its body. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	// Length is the announced length of the body, -1 if it is unknown.
	Length int64

	response *http.Response
	pool     *Pool
	peer     Peer
	conn     *conn
	written  *atomic.Bool
	stop     func() bool
	whole    bool
}

// Do sends the request and reads the head of the reply. When ctx ends, the
// connection is closed at once. The error wraps ErrNotSent if no byte was sent;
// otherwise the upstream may have run the request.
func (p *Pool) Do(ctx context.Context, peer Peer, r *Request) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	c, err := p.get(ctx, peer, r.Fresh)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := &atomic.Bool{}
	if err := send(c, r, written); err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	response, err := readReply(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	return &Reply{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		response: response, pool: p, peer: peer, conn: c, written: written, stop: stop,
	}, nil
}

// send writes the request. A failure of the first byte means that nothing was sent.
func send(c *conn, r *Request, written *atomic.Bool) error {
	data := encode(r)
	if len(data) > syncWriteBytes {
		go func() {
			if _, err := c.Write(data); err == nil {
				written.Store(true)
			}
		}()
		return nil
	}
	n, err := c.Write(data)
	if err != nil && n == 0 {
		return errors.Wrapf(ErrNotSent, "write: %v", err)
	}
	if err != nil {
		return errors.Wrap(err, "write request")
	}
	written.Store(true)
	return nil
}

func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readReply reads the head of the reply that belongs to the request. Replies
// of earlier requests on the connection are skipped.
func readReply(c *conn, r *Request) (*http.Response, error) {
	for strays := 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read reply")
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		strays++
		if !c.reused || strays > maxStrayReplies || response.Close {
			return nil, errors.New("reply belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("reply of another request has no end")
		}
	}
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Reply) Read(buffer []byte) (int, error) {
	n, err := r.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the whole request was
// written, the whole body was read and nothing follows it.
func (r *Reply) Close() {
	alive := r.stop()
	keep := alive && r.whole && r.written.Load() && !r.response.Close && r.conn.reader.Buffered() == 0
	if !keep {
		_ = r.conn.Close()
		return
	}
	r.conn.idleLimit = parseIdleLimit(r.Header.Get("Keep-Alive"))
	r.pool.put(r.peer, r.conn)
}
