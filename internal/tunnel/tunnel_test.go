package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// fixedLinks are links in a fixed state.
type fixedLinks struct{ lost bool }

func (l fixedLinks) Lost() bool                                      { return l.lost }
func (l fixedLinks) Hanging() bool                                   { return l.lost }
func (l fixedLinks) Connected(time.Time)                             {}
func (l fixedLinks) Confirm(context.Context, string, time.Time) bool { return l.lost }

func dialTCP(ctx context.Context, address string) (*net.TCPConn, error) {
	return exchange.Dial(ctx, address, exchange.Config{DialTimeout: 300 * time.Millisecond, AckTimeout: time.Second})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func serverConfig() ServerConfig {
	return ServerConfig{
		Dial:  func(ctx context.Context, address string) (net.Conn, error) { return dialTCP(ctx, address) },
		Links: fixedLinks{}, Known: func(string) bool { return true }, Accepts: func() bool { return true }, Limit: 10,
	}
}

// startServer starts a daemon that serves tunnels, and returns it and its address.
func startServer(t *testing.T, change ...func(*ServerConfig)) (*Server, string) {
	t.Helper()
	config := serverConfig()
	for _, f := range change {
		f(&config)
	}
	server, listener := NewServer(config), listen(t)
	go func() { _ = server.Serve(listener) }() // returns after Close
	return server, listener.Addr().String()
}

func newClient(peers ...string) *Client {
	return NewClient(ClientConfig{Dial: dialTCP, Peers: func() []Peer {
		var list []Peer
		for _, address := range peers {
			list = append(list, Peer{Address: address, Weight: 1})
		}
		return list
	}})
}

// startInstance accepts connections and passes each to handle.
func startInstance(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func TestTunnelCarriesBytesAndTheirEnd(t *testing.T) {
	g := NewWithT(t)
	sent := bytes.Repeat([]byte("0123456789"), 100_000)
	instance := startInstance(t, func(c *net.TCPConn) {
		head := make([]byte, 4)
		_, _ = io.ReadFull(c, head)
		_, _ = c.Write(append(head, sent...))
		_ = c.Close()
	})
	server, address := startServer(t)
	c, err := newClient(address).Dial(t.Context(), instance)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Write([]byte("GET "))
	g.Expect(err).NotTo(HaveOccurred())
	received, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(append([]byte("GET "), sent...)))
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(server.Active).Should(BeZero())
}

// Guards against a reply without a length that was cut off being taken for a whole one.
func TestResetOfTheInstanceIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	instance := startInstance(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 4))
		_, _ = c.Write([]byte("part"))
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	_, address := startServer(t)
	c, err := newClient(address).Dial(t.Context(), instance)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET "))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(c)
	g.Expect(errors.Is(err, unix.ECONNRESET)).To(BeTrue(), "%v", err)
}

// Guards against instances that work on for a client that has left.
func TestEndOfTheClientReachesTheInstance(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	instance := startInstance(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	server, address := startServer(t)
	c, err := newClient(address).Dial(t.Context(), instance)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(ended, 300*time.Millisecond).Should(BeClosed())
	g.Eventually(server.Active).Should(BeZero())
}

func TestRefusalOfTheInstanceIsToldApart(t *testing.T) {
	g := NewWithT(t)
	closed := listen(t)
	g.Expect(closed.Close()).To(Succeed())
	_, address := startServer(t)
	_, err := newClient(address).Dial(t.Context(), closed.Addr().String())
	g.Expect(errors.Is(err, exchange.ErrRefused)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, exchange.ErrNotSent)).To(BeTrue())
}

// Guards against forwarding in circles when the links of several daemons, or the
// instances themselves, are down.
func TestOtherDaemonsAreAskedIfOneGivesNoTunnel(t *testing.T) {
	unavailable := map[string]func(*ServerConfig){
		"lost":     func(c *ServerConfig) { c.Links = fixedLinks{lost: true} },
		"draining": func(c *ServerConfig) { c.Accepts = func() bool { return false } },
		"unknown":  func(c *ServerConfig) { c.Known = func(string) bool { return false } },
		"full":     func(c *ServerConfig) { c.Limit = 0 },
	}
	for name, change := range unavailable {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var dialled atomic.Int64
			instance := startInstance(t, func(c *net.TCPConn) { dialled.Add(1); _ = c.Close() })
			_, first := startServer(t, change)
			_, second := startServer(t, change)
			_, sound := startServer(t)
			_, err := newClient(first, second).Dial(t.Context(), instance)
			g.Expect(errors.Is(err, exchange.ErrNotSent)).To(BeTrue(), "%v", err)
			g.Expect(dialled.Load()).To(BeZero())
			c, err := newClient(first, second, sound).Dial(t.Context(), instance)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.Close()).To(Succeed())
		})
	}
}

func TestUnavailableDaemonIsAvoided(t *testing.T) {
	g := NewWithT(t)
	instance := startInstance(t, func(c *net.TCPConn) { _ = c.Close() })
	closed := listen(t)
	g.Expect(closed.Close()).To(Succeed())
	_, sound := startServer(t)
	client := newClient(closed.Addr().String(), sound)
	for range 20 {
		c, err := client.Dial(t.Context(), instance)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Close()).To(Succeed())
	}
	g.Expect(client.candidates()).To(HaveLen(1))
}

func TestCancelledDialEnds(t *testing.T) {
	g := NewWithT(t)
	silent := startInstance(t, func(*net.TCPConn) {})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := newClient(silent).Dial(ctx, "127.0.0.1:1")
	g.Expect(errors.Is(err, exchange.ErrNotSent)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
}
