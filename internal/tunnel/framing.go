package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http/httputil"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// The bytes of the instance are framed if the client asks for it with this header and the
// server confirms it with the same. In the chunked coding, the last chunk stands for the
// orderly end of the instance's connection: the end of the server's own connection shows
// nothing, since the system ends those of a killed process in order.
const (
	framingHeader  = "Tunnel-Framing"
	framingChunked = "chunked"
	// chunkOverhead is the room for the length of a chunk and two line ends.
	chunkOverhead = 16
)

// errUnproved is returned instead of io.EOF if the server doesn't frame.
var errUnproved = errors.WithMessage(io.ErrUnexpectedEOF, "tunnel without framing ended")

// chunkWriter writes each part as a chunk, without delay.
type chunkWriter struct {
	buffer *bufio.Writer
	chunks io.WriteCloser
}

func newChunkWriter(w io.Writer) *chunkWriter {
	buffer := bufio.NewWriterSize(w, copyBytes+chunkOverhead)
	return &chunkWriter{buffer: buffer, chunks: httputil.NewChunkedWriter(buffer)}
}

// Write implements io.Writer.
func (w *chunkWriter) Write(data []byte) (int, error) {
	n, err := w.chunks.Write(data)
	if err != nil {
		return n, errors.Wrap(err, "write chunk")
	}
	return n, errors.Wrap(w.buffer.Flush(), "write chunk")
}

// Close writes the last chunk.
func (w *chunkWriter) Close() error {
	if err := w.chunks.Close(); err != nil {
		return errors.Wrap(err, "write last chunk")
	}
	if _, err := w.buffer.WriteString("\r\n"); err != nil {
		return errors.Wrap(err, "write last chunk")
	}
	return errors.Wrap(w.buffer.Flush(), "write last chunk")
}

// clientConn is the client's end of a tunnel. Its Read returns io.EOF only if the server has
// told that the instance ended its connection in order.
type clientConn struct {
	net.Conn
	raw    syscall.Conn  // of Conn
	buffer *bufio.Reader // of Conn
	source io.Reader     // the bytes of the instance
	framed bool
	ended  bool // Read has returned an error
}

func newClientConn(c *net.TCPConn, buffer *bufio.Reader, framed bool) *clientConn {
	conn := &clientConn{Conn: c, raw: c, buffer: buffer, source: buffer, framed: framed}
	if framed {
		conn.source = httputil.NewChunkedReader(buffer)
	}
	return conn
}

// Read implements net.Conn.
func (c *clientConn) Read(data []byte) (int, error) {
	n, err := c.source.Read(data)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !c.framed {
		err = errUnproved
	}
	if !c.ended && !errors.Is(err, net.ErrClosed) {
		countEnd(err)
	}
	c.ended = true
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Readable implements exchange.DetourConn.
func (c *clientConn) Readable() bool { return c.ended || c.buffer.Buffered() > 0 }

func countEnd(err error) {
	end := "broken"
	switch {
	case errors.Is(err, io.EOF):
		end = "orderly"
	case errors.Is(err, errUnproved):
		end = "unproved"
	}
	metrics.GetOrCreateCounter(`rudder_tunnel_ends_total{end="` + end + `"}`).Inc()
}
