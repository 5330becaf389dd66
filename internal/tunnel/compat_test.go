package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// serveWithoutFraming serves tunnels as daemons of the release before do, which copy bytes.
func serveWithoutFraming(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			client := c.(*net.TCPConn)
			defer func() { _ = client.Close() }()
			request, err := http.ReadRequest(bufio.NewReaderSize(client, 1<<10))
			if err != nil || request.Method != http.MethodConnect {
				return
			}
			instance, err := net.Dial("tcp", request.RequestURI)
			if err != nil {
				return
			}
			_, _ = io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n")
			go func() {
				if _, err := io.Copy(client, instance); err != nil {
					_ = client.SetLinger(0)
					_ = client.Close()
					return
				}
				_ = client.CloseWrite()
			}()
			_, _ = io.Copy(instance, client)
			_ = instance.Close()
		}()
	}
}

// plainConn is a connection as a client of the release before uses it.
type plainConn struct{ *net.TCPConn }

func (plainConn) Readable() bool { return false }

// newPoolWithoutFraming returns a pool that opens tunnels as daemons of the release before.
func newPoolWithoutFraming(server string) *exchange.Pool {
	return newDetouredPool(func(ctx context.Context, address string) (exchange.DetourConn, error) {
		conn, err := dialTCP(ctx, server)
		if err != nil {
			return nil, err
		}
		if _, err := io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n"); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), &http.Request{Method: http.MethodConnect})
		if err != nil {
			return nil, err
		}
		if response.StatusCode != http.StatusOK || len(response.Header) > 0 {
			return nil, errors.Errorf("status %d, header %v", response.StatusCode, response.Header)
		}
		return plainConn{conn}, nil
	})
}

// A daemon of the release before sends requests through one of this release. Guards against
// framing that it doesn't know, and against ends of the server or failures of the instance
// that it takes for an orderly end.
func TestClientWithoutFraming(t *testing.T) {
	body := strings.Repeat("whole", 100_000)
	_, server := startServer(t)
	t.Run("orderly end", func(t *testing.T) {
		instance := startEarlyInstance(t, headWithoutLength+body, func(*net.TCPConn) {})
		received, err := readBody(t.Context(), newPoolWithoutFraming(server), instance, "")
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(received == body).To(BeTrue())
	})
	t.Run("reset", func(t *testing.T) {
		instance := startEarlyInstance(t, headWithoutLength+"part", func(c *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			_ = c.SetLinger(0)
		})
		taken := 0
		for range 50 {
			if _, err := readBody(t.Context(), newPoolWithoutFraming(server), instance, upload); err == nil {
				taken++
			}
		}
		NewWithT(t).Expect(taken).To(BeZero(), "parts of a body taken for the whole, of 50")
	})
	for _, way := range []string{"killed", "exits"} {
		t.Run(way, func(t *testing.T) {
			taken := countTaken(t, framing, way, newPoolWithoutFraming)
			NewWithT(t).Expect(taken).To(BeZero(), "parts of a body taken for the whole, of 10")
		})
	}
}

// A daemon sends requests through one of the release before, which doesn't tell how the
// connection of the instance ended. Guards against taking that end for the end of a body,
// and against losing replies that show their end themselves.
func TestServerWithoutFraming(t *testing.T) {
	listener := listen(t)
	go serveWithoutFraming(listener)
	pool := newPool(listener.Addr().String())
	for name, c := range map[string]struct {
		answer string
		whole  bool
	}{
		"length":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true},
		"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
		"without either": {headWithoutLength + "whole", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			instance := startEarlyInstance(t, c.answer, func(*net.TCPConn) {})
			received, err := readBody(t.Context(), pool, instance, "")
			g.Expect(received).To(Equal("whole"))
			if c.whole {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
			}
		})
	}
	for _, way := range []string{"killed", "exits"} {
		t.Run(way, func(t *testing.T) {
			taken := countTaken(t, noFraming, way, func(server string) *exchange.Pool { return newPool(server) })
			NewWithT(t).Expect(taken).To(BeZero(), "parts of a body taken for the whole, of 10")
		})
	}
}
