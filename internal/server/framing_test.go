package server

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	. "github.com/onsi/gomega"

	appsvc "github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// startServer starts a server with routes for replies of each kind and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	s := New(Options{Address: address, Log: slog.New(slog.DiscardHandler), MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10})
	s.hertz.GET("/stream", s.wrap(func(ctx context.Context, c *app.RequestContext) error {
		return s.streamEvents(ctx, c, "r", &scriptedStream{events: twoEvents, done: true}, 0)
	}))
	s.hertz.GET("/problem", s.wrap(func(context.Context, *app.RequestContext) error {
		return result.New(result.Draining, result.NotRun, "x")
	}))
	for path, body := range map[string]string{"/reply": "body", "/empty": "", "/long": strings.Repeat("x", 1<<20)} {
		s.hertz.GET(path, func(_ context.Context, c *app.RequestContext) {
			writeReply(c, proxy.AppReply{Reply: appsvc.Reply{Status: http.StatusOK, Body: []byte(body)}})
		})
	}
	go func() { _ = s.Run() }()
	t.Cleanup(func() { _ = s.hertz.Close() })
	g.Eventually(func() error {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err
	}, 5*time.Second).Should(Succeed())
	return address
}

// Guards against replies whose body ends with the connection: callers can't tell a part of
// one from the whole, and the clients of this repository refuse it.
func TestRepliesStateWhereTheirBodyEnds(t *testing.T) {
	address := startServer(t)
	for name, request := range map[string]string{
		"health":        "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
		"metrics":       "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
		"close":         "GET /reply HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"reply":         "GET /reply HTTP/1.1\r\nHost: a\r\n\r\n",
		"empty reply":   "GET /empty HTTP/1.1\r\nHost: a\r\n\r\n",
		"long reply":    "GET /long HTTP/1.1\r\nHost: a\r\n\r\n",
		"version 1.0":   "GET /long HTTP/1.0\r\nHost: a\r\n\r\n",
		"problem":       "GET /problem HTTP/1.1\r\nHost: a\r\n\r\n",
		"no such path":  "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n",
		"other method":  "POST /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		"stream":        "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n",
		"body too long": "POST /reply HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
		"malformed":     "GET /reply HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = c.Close() })
			g.Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = io.WriteString(c, request)
			g.Expect(err).NotTo(HaveOccurred())
			reply, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = reply.Body.Close() })
			framed := reply.ContentLength >= 0 || len(reply.TransferEncoding) > 0
			g.Expect(framed).To(BeTrue(), "status %d, headers %v", reply.StatusCode, reply.Header)
			var body bytes.Buffer
			_, err = body.ReadFrom(reply.Body)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
