package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/hertz/pkg/network/standard"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// rawExchangeTime bounds the time of an exchange over a raw connection.
const rawExchangeTime = 5 * time.Second

// transports are those that hertz uses, by platform.
var transports = map[string]func(*config.Options) network.Transporter{
	"netpoll": netpoll.NewTransporter, "standard": standard.NewTransporter,
}

// scriptedStream returns the same events to each reader. Unless it is done, it then waits
// until the reader has gone.
type scriptedStream struct {
	events  []proxy.Event
	done    bool
	failure *result.Error
}

var twoEvents = []proxy.Event{{ID: 1, Data: []byte("one")}, {ID: 2, Data: []byte("[DONE]"), Last: true}}

const twoEventsText = "id: 1\ndata: one\n\nid: 2\ndata: [DONE]\n\n"

func (s *scriptedStream) Next(ctx context.Context, lastID int64) (proxy.Progress, error) {
	if lastID < int64(len(s.events)) {
		return proxy.Progress{Events: s.events[lastID:]}, nil
	}
	if s.done {
		return proxy.Progress{Done: true, Failure: s.failure}, nil
	}
	<-ctx.Done()
	return proxy.Progress{}, ctx.Err()
}

func (s *scriptedStream) Delivered() {}

// requestStream serves a stream with a transport, requests it with a version of HTTP and
// returns the connection.
func requestStream(t *testing.T, transport, version string, stream *scriptedStream) *net.TCPConn {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	h := hertz.New(hertz.WithListener(listener), hertz.WithTransport(transports[transport]), hertz.WithSenseClientDisconnection(true),
		hertz.WithDisablePrintRoute(true), hertz.WithExitWaitTime(0))
	h.GET("/stream", func(ctx context.Context, c *app.RequestContext) {
		_ = (&Server{}).streamEvents(ctx, c, "r1", stream, 0) // fails only before the first event
	})
	go func() { _ = h.Run() }() // returns after Close
	t.Cleanup(func() { _ = h.Close() })
	g.Eventually(h.IsRunning, rawExchangeTime).Should(BeTrue())
	c, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(rawExchangeTime))).To(Succeed())
	_, err = fmt.Fprintf(c, "GET /stream HTTP/%s\r\nHost: h\r\n\r\n", version)
	g.Expect(err).NotTo(HaveOccurred())
	return c.(*net.TCPConn)
}

// A caller ends its own direction of the connection in the middle of a stream. Guards
// against a part of the stream that ends with the last chunk.
func TestBrokenOffStreamHasNoLastChunk(t *testing.T) {
	for transport := range transports {
		t.Run(transport, func(t *testing.T) {
			g := NewWithT(t)
			c := requestStream(t, transport, "1.1", &scriptedStream{events: twoEvents[:1]})
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(response.Body, make([]byte, len("id: 1\ndata: one\n\n")))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.CloseWrite()).To(Succeed())
			_, err = io.ReadAll(response.Body)
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		})
	}
}

// Such a caller has got no event yet. Guards against an empty response that looks complete.
func TestBrokenOffStreamWithoutEventsHasNoResponse(t *testing.T) {
	for transport := range transports {
		t.Run(transport, func(t *testing.T) {
			g := NewWithT(t)
			c := requestStream(t, transport, "1.1", &scriptedStream{})
			time.Sleep(50 * time.Millisecond) // until the handler waits for events
			g.Expect(c.CloseWrite()).To(Succeed())
			received, err := io.ReadAll(c)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(received)).To(BeEmpty())
		})
	}
}

// Guards against streams that end without the last chunk although their end was told.
func TestEndOfAStreamHasTheLastChunk(t *testing.T) {
	failure := result.New(result.UpstreamFailed, result.Unknown, "failed")
	for transport := range transports {
		for name, stream := range map[string]*scriptedStream{
			"whole": {events: twoEvents, done: true}, "failed": {events: twoEvents[:1], done: true, failure: failure},
		} {
			t.Run(transport+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				c := requestStream(t, transport, "1.1", stream)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				g.Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				if stream.failure == nil {
					g.Expect(string(body)).To(Equal(twoEventsText))
				} else {
					g.Expect(string(body)).To(ContainSubstring("event: error\n"))
				}
			})
		}
	}
}

// A caller uses HTTP/1.0, which has no chunks. Guards against their sizes within its stream.
func TestStreamWithoutChunks(t *testing.T) {
	for transport := range transports {
		t.Run(transport, func(t *testing.T) {
			g := NewWithT(t)
			c := requestStream(t, transport, "1.0", &scriptedStream{events: twoEvents, done: true})
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Header).NotTo(HaveKey("Transfer-Encoding"))
			g.Expect(response.TransferEncoding).To(BeEmpty())
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal(twoEventsText))
		})
	}
}
