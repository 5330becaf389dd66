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

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// newPool returns a pool that reaches instances through other daemons only.
func newPool(peers ...string) *exchange.Pool { return newDetouredPool(newClient(peers...).Dial) }

func newDetouredPool(detour func(context.Context, string) (exchange.DetourConn, error)) *exchange.Pool {
	return exchange.NewPool(exchange.Config{
		DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute,
		Links: fixedLinks{lost: true}, Detour: detour,
	})
}

// send sends a request on a new connection and returns the reply.
func send(ctx context.Context, pool *exchange.Pool, instance, body string) (*exchange.Reply, error) {
	peer := exchange.Peer{ID: "i", Address: instance, MaxIdleConns: 1}
	return pool.Do(ctx, peer, &exchange.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(body), HasBody: true, NewConnection: true,
	})
}

// readBody sends a request and returns the body of the reply.
func readBody(ctx context.Context, pool *exchange.Pool, instance, body string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	reply, err := send(ctx, pool, instance, body)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	received, err := io.ReadAll(reply)
	return string(received), err
}

const headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"

// upload doesn't fit into the buffers of the system, so that it is still being written when
// an instance answers early.
var upload = strings.Repeat("x", 16<<20)

// startEarlyInstance starts an instance that answers before it has read the body of the
// request, and ends the connection with end.
func startEarlyInstance(t *testing.T, answer string, end func(*net.TCPConn)) string {
	return startInstance(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		end(c)
	})
}

// An instance sends a part of a reply without a length and resets the connection while the
// request is still being written. Guards against taking the part for the whole because the
// write to the instance consumed the reset.
func TestResetDuringAnUploadIsNoOrderlyEnd(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after the part was read": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			instance := startEarlyInstance(t, headWithoutLength+"part", func(c *net.TCPConn) {
				time.Sleep(pause)
				_ = c.SetLinger(0)
			})
			_, address := startServer(t)
			pool, taken := newPool(address), 0
			for range 100 {
				if _, err := readBody(t.Context(), pool, instance, upload); err == nil {
					taken++
				}
			}
			NewWithT(t).Expect(taken).To(BeZero(), "parts of a body taken for the whole, of 100")
		})
	}
}

// Guards against failing an early reply that is whole: one without a length whose connection
// ends before the request was read, or one with a length.
func TestWholeEarlyReplyPasses(t *testing.T) {
	withLength := "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
	body := strings.Repeat("whole", 40_000)
	for name, c := range map[string]struct {
		head string
		end  func(*net.TCPConn)
	}{
		"end of the connection, request read on": {headWithoutLength, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}},
		"end of the connection, request not read": {headWithoutLength, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}},
		"length, request read on":  {withLength, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }},
		"length, request not read": {withLength, func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			instance := startEarlyInstance(t, c.head+body, c.end)
			_, address := startServer(t)
			pool, whole := newPool(address), 0
			for range 20 {
				if received, err := readBody(t.Context(), pool, instance, upload); err == nil && received == body {
					whole++
				}
			}
			g.Expect(whole).To(Equal(20))
		})
	}
}
