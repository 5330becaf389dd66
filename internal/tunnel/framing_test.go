package tunnel

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// Guards against framing that holds bytes back: each part is sent after the one before was
// received, with sizes around those of the buffers.
func TestPartsPassWithoutDelay(t *testing.T) {
	g := NewWithT(t)
	sizes := []int{1, 2, 100, copyBytes - 1, copyBytes, copyBytes + 1, copyBytes + chunkOverhead, 3*copyBytes + 1, 100_000}
	received := make(chan struct{})
	instance := startInstance(t, func(c *net.TCPConn) {
		for _, size := range sizes {
			_, _ = c.Write(bytes.Repeat([]byte("x"), size))
			<-received
		}
		_ = c.Close()
	})
	_, address := startServer(t)
	c, err := newClient(address).Dial(t.Context(), instance)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	for _, size := range sizes {
		g.Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		g.Expect(io.ReadFull(c, make([]byte, size))).To(Equal(size))
		received <- struct{}{}
	}
	g.Expect(c.Read(make([]byte, 1))).Error().To(MatchError(io.EOF))
}

// Guards against sending a request over an idle tunnel that has ended or holds bytes that
// belong to no request.
func TestIdleTunnelIsReusedOnlyIfOpenWithoutData(t *testing.T) {
	const reply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for name, c := range map[string]struct {
		answer      string
		close       bool
		connections int64
	}{
		"open":       {reply, false, 1},
		"ended":      {reply, true, 20},
		"extra data": {reply + "HTTP/1.1 200 OK\r\n\r\n", false, 20},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var connections atomic.Int64
			instance := startInstance(t, func(conn *net.TCPConn) {
				connections.Add(1)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, c.answer)
					if c.close {
						return
					}
				}
			})
			_, address := startServer(t)
			pool, peer := newPool(address), exchange.Peer{ID: "i", Address: instance, MaxIdleConns: 1}
			for range 20 {
				got, err := pool.Do(t.Context(), peer, &exchange.Request{Method: http.MethodGet, Target: "/", Host: "h"})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(io.ReadAll(got)).To(Equal([]byte("whole")))
				got.Close()
				time.Sleep(5 * time.Millisecond)
			}
			g.Expect(connections.Load()).To(Equal(c.connections))
		})
	}
}

// Guards against an idle tunnel being taken for one without data because the process, not
// the system, holds the rest: bytes of the instance, or its end.
func TestBufferedDataShows(t *testing.T) {
	for name, c := range map[string]struct {
		frames   string
		readable bool
	}{
		"nothing": {"5\r\nwhole\r\n", false},
		"bytes":   {"5\r\nwhole\r\n1\r\nx\r\n", true},
		"end":     {"5\r\nwhole\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := startInstance(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framingHeader+": "+framingChunked+"\r\n\r\n"+c.frames)
			})
			conn, err := newClient(server).Dial(t.Context(), "127.0.0.1:1")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			g.Expect(io.ReadFull(conn, make([]byte, len("whole")))).To(Equal(len("whole")))
			g.Expect(conn.Readable()).To(Equal(c.readable))
		})
	}
}

// Guards against cutting off a reply whose last bytes the client reads after closeTimeout.
func TestSlowClientGetsTheWholeReply(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 200_000)
	for name, newPool := range map[string]func(string) *exchange.Pool{
		"framed":     func(server string) *exchange.Pool { return newPool(server) },
		"not framed": newPoolWithoutFraming,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			instance := startEarlyInstance(t, headWithoutLength+string(body), func(*net.TCPConn) {})
			server, address := startServer(t)
			reply, err := send(t.Context(), newPool(address), instance, "")
			g.Expect(err).NotTo(HaveOccurred())
			defer reply.Close()
			time.Sleep(closeTimeout + 200*time.Millisecond)
			g.Expect(server.Active()).To(BeZero())
			received, err := io.ReadAll(reply)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(received, body)).To(BeTrue())
		})
	}
}

// Guards against ends of tunnels that no metric tells apart.
func TestEndsOfTunnelsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		instance func(*net.TCPConn)
		client   string // end as the client counts it, "" if it leaves
		server   string
	}{
		"orderly": {func(c *net.TCPConn) { _ = c.Close() }, "orderly", "instance"},
		"broken":  {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, "broken", "broken"},
		"client":  {func(*net.TCPConn) {}, "", "client"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clientEnds := metrics.GetOrCreateCounter(`rudder_tunnel_ends_total{end="` + c.client + `"}`)
			serverEnds := metrics.GetOrCreateCounter(`rudder_tunnels_served_ends_total{end="` + c.server + `"}`)
			clientBefore, serverBefore := clientEnds.Get(), serverEnds.Get()
			server, address := startServer(t)
			conn, err := newClient(address).Dial(t.Context(), startInstance(t, func(conn *net.TCPConn) {
				_, _ = io.ReadFull(conn, make([]byte, 1))
				c.instance(conn)
			}))
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = conn.Write([]byte("x"))
			if c.client != "" {
				_, _ = io.ReadAll(conn)
				g.Expect(clientEnds.Get()).To(Equal(clientBefore + 1))
			}
			g.Expect(conn.Close()).To(Succeed())
			g.Eventually(server.Active).Should(BeZero())
			g.Expect(serverEnds.Get()).To(Equal(serverBefore + 1))
		})
	}
}
