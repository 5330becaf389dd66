package edge

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

// sendLongBody sends a body that doesn't fit into the buffers of a connection to an instance
// that reads nothing for some time, and answers then. On loopback, machines acknowledge
// even so, but the timeout for acknowledgements also counts while no window opens.
func sendLongBody(t *testing.T, silence time.Duration) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		time.Sleep(silence)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := new(bytes.Buffer).ReadFrom(r.Body); err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) // the test sees a failure
	}()
	pool := exchange.NewPool(exchange.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: instanceIdleTimeout})
	reply, err := pool.Do(t.Context(), exchange.Peer{ID: "i1", Address: listener.Addr().String()}, &exchange.Request{
		Method: http.MethodPost, Target: "/", Host: "h.example", Body: make([]byte, 32<<20), HasBody: true,
		Header: http.Header{}, Matches: func(http.Header, string, bool) bool { return true },
	})
	if err != nil {
		return err
	}
	reply.Close()
	return nil
}

// Guards against cutting the connection to an instance whose machine is silent for a moment.
func TestSilentInstanceKeepsItsConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	g.Expect(sendLongBody(t, 2*time.Second)).To(Succeed())
}

// Guards against waiting for an instance whose machine stays silent.
func TestInstanceThatStaysSilentIsNoticed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	began := time.Now()
	g.Expect(sendLongBody(t, 10*time.Second)).NotTo(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
}
