package server

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

var errStreamBrokenOff = errors.New("the stream is incomplete")

// brokenOffStreams counts streams that ended before their last event, a move or a failure
// was written.
var brokenOffStreams = metrics.GetOrCreateCounter("rudder_caller_streams_broken_off_total")

// streamWriter writes the body of a stream. hertz ends the body after the handler, also one
// that the handler left incomplete, and closes the connection if that fails.
type streamWriter struct {
	network.ExtWriter
	ended bool // the end of the stream was written
}

// newStreamWriter makes a streamWriter the writer of a response, which has no body if
// nothing is written.
func newStreamWriter(c *app.RequestContext) *streamWriter {
	w := &streamWriter{ExtWriter: resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())}
	if !c.Request.Header.IsHTTP11() {
		w.ExtWriter = &unframedWriter{Writer: c.GetWriter(), c: c}
	}
	c.Response.HijackWriter(w)
	return w
}

// Finalize implements network.ExtWriter. It fails if the body is incomplete.
//
//nolint:misspell // hertz declares the method under this name
func (w *streamWriter) Finalize() error {
	if !w.ended {
		brokenOffStreams.Inc()
		return errStreamBrokenOff
	}
	return w.ExtWriter.Finalize()
}

// end writes the end of the body.
func (w *streamWriter) end() {
	w.ended = true
	_ = w.Finalize() //nolint:misspell // as above; fails only if the caller has disconnected
}

// unframedWriter writes a body that ends with the connection, as HTTP/1.0 has no chunks.
type unframedWriter struct {
	network.Writer
	c           *app.RequestContext
	wroteHeader bool
}

// Write implements network.ExtWriter.
func (w *unframedWriter) Write(p []byte) (int, error) {
	if err := w.writeHeader(); err != nil {
		return 0, err
	}
	return w.WriteBinary(p)
}

// Finalize implements network.ExtWriter.
//
//nolint:misspell // hertz declares the method under this name
func (w *unframedWriter) Finalize() error {
	if err := w.writeHeader(); err != nil {
		return err
	}
	return w.Flush()
}

func (w *unframedWriter) writeHeader() error {
	if w.wroteHeader {
		return nil
	}
	w.wroteHeader = true
	h := &w.c.Response.Header
	h.SetContentLength(unknownLength)
	h.Del("Transfer-Encoding") // which SetContentLength adds
	return resp.WriteHeader(h, w.Writer)
}

// unknownLength is what hertz calls the length of a body that ends with the connection.
const unknownLength = -2
