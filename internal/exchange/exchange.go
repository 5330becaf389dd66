package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxSyncWriteBytes is the largest request that is written before its reply is
// read; it fits into the socket buffers. A longer request is written concurrently,
// because the upstream may reply before it has received the whole body.
const maxSyncWriteBytes = 4 << 10

// maxSkippedReplies is the maximum number of late replies to earlier requests that
// are skipped.
const maxSkippedReplies = 4

// maxSkippedBytes is the maximum size of the bodies of all skipped replies.
const maxSkippedBytes = 1 << 20

// Peer identifies the upstream instance of an exchange.
type Peer struct {
	ID      string
	Address string // ip:port
	// MaxIdleConns is the maximum number of idle connections kept to the instance.
	MaxIdleConns int
}

// Request is a request to send. Nothing is added to Header except Host and
// Content-Length.
type Request struct {
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports that Content-Length is sent even if the body is empty.
	HasBody bool
	// NewConnection forbids reusing an idle connection, which the peer may be
	// closing at that moment.
	NewConnection bool
	// ID identifies the request.
	ID string
	// Matches reports whether a reply belongs to the request with an ID; nil accepts any.
	// reused tells that the connection has carried other requests.
	Matches func(h http.Header, id string, reused bool) bool
}

// matches reports whether a reply on a connection belongs to the request.
func (r *Request) matches(h http.Header, c *conn) bool {
	return r.Matches == nil || r.Matches(h, r.ID, c.reused)
}

// Reply is the head of a response and its body. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	// Length is the announced length of the body, -1 if it is unknown.
	Length int64

	response   *http.Response
	body       io.Reader // of response, without other replies
	pool       *Pool
	peer       Peer
	conn       *conn
	written    *atomic.Bool // the whole request was written
	stopCancel func() bool  // stops closing the connection when the context ends
	bodyRead   bool         // the whole body was read
}

// Do sends the request and reads the head of the reply. When ctx ends, the
// connection is closed at once. The error wraps ErrNotSent if no byte was sent;
// otherwise the upstream may have run the request.
func (p *Pool) Do(ctx context.Context, peer Peer, r *Request) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	c, err := p.get(ctx, peer, r.NewConnection)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := &atomic.Bool{}
	if err := send(c, r, written); err != nil {
		stopCancel()
		_ = c.Close()
		return nil, err
	}
	response, err := readReply(c, r)
	if err != nil {
		stopCancel()
		_ = c.Close()
		return nil, err
	}
	reply := &Reply{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		response: response, pool: p, peer: peer, conn: c, written: written, stopCancel: stopCancel,
	}
	reply.body = reply.withoutOtherReplies(r)
	return reply, nil
}

// send writes the request. The error wraps ErrNotSent if no byte was written. A
// long request is written by a goroutine, whose errors show when the reply is read.
func send(c *conn, r *Request, written *atomic.Bool) error {
	data := encode(r)
	if len(data) > maxSyncWriteBytes {
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

// readReply reads the head of the reply that belongs to the request. It skips
// interim (1xx) replies and late replies to earlier requests on the connection.
func readReply(c *conn, r *Request) (*http.Response, error) {
	skipped := 0
	skippable := int64(maxSkippedBytes)
	for {
		response, err := c.readFinal(r.Method)
		if err != nil {
			return nil, err
		}
		if r.matches(response.Header, c) {
			return response, nil
		}
		skipped++
		if !c.reused || skipped > maxSkippedReplies || response.Close {
			return nil, errors.New("reply belongs to another request")
		}
		// One byte more than allowed tells a body that ends at the limit from a longer one.
		n, err := io.CopyN(io.Discard, response.Body, skippable+1)
		if skippable -= n; skippable < 0 || !errors.Is(err, io.EOF) {
			return nil, errors.New("replies to other requests are truncated or longer than 1 MiB")
		}
	}
}

// withoutOtherReplies returns a reader of the body that does not return other replies as a
// part of it, and remembers the request on the connection.
func (r *Reply) withoutOtherReplies(request *Request) io.Reader {
	earlier := slices.Clone(r.conn.earlier)
	r.conn.remember(request.ID)
	if request.ID == "" || r.response.Body == http.NoBody {
		return r.response.Body
	}
	body := &embeddedReplies{
		source: r.response.Body, endsWithConnection: !r.Framed(), method: request.Method,
		id: request.ID, earlier: earlier, matches: request.Matches, lineFeeds: r.conn.LineFeeds(),
	}
	if r.Length >= 0 {
		body.surplus = r.conn.surplus
	}
	return body
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (r *Reply) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// Framed reports whether the end of the body shows in the reply itself, and not just as
// the end of the connection.
func (r *Reply) Framed() bool { return framed(r.response) }

func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Proved reports whether framing proves that the body is whole once Read has returned io.EOF:
// its own, or that of an equal second copy which follows it on the connection.
func (r *Reply) Proved() bool {
	body, ok := r.body.(*embeddedReplies)
	return r.Framed() || ok && body.proved
}

// Detoured reports whether the connection leads through another daemon.
func (r *Reply) Detoured() bool {
	_, indirect := r.conn.Conn.Conn.(detour)
	return indirect
}

// Abort closes the connection, which ends a Read in progress.
func (r *Reply) Abort() { _ = r.conn.Close() }

// Close ends the exchange. It returns the connection to the pool only if the whole
// request was written, the whole body was read and no data follows it.
func (r *Reply) Close() {
	open := r.stopCancel()
	keep := open && r.bodyRead && r.written.Load() && !r.response.Close && r.conn.reader.Buffered() == 0
	if !keep {
		_ = r.conn.Close()
		return
	}
	r.conn.idleTimeout = parseIdleTimeout(r.Header.Get("Keep-Alive"))
	r.pool.put(r.peer, r.conn)
}
