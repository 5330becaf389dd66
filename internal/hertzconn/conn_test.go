package hertzconn_test

import (
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/hertzconn"
)

const (
	readTimeout   = 400 * time.Millisecond
	writeInterval = 100 * time.Millisecond
	bytesSent     = 10
)

// dialStream connects to a server that sends bytesSent bytes, one after each
// writeInterval, and keeps the connection open.
func dialStream(t *testing.T) network.Conn {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		server, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = server.Close() })
		for range bytesSent {
			time.Sleep(writeInterval)
			_, _ = server.Write([]byte("x"))
		}
	}()
	conn, err := standard.NewDialer().DialConnection("tcp", listener.Addr().String(), time.Second, nil)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	return hertzconn.Wrap(conn)
}

// Guards against streams that end because their total time is longer than the
// read timeout, and against reads without a timeout.
func TestTimeoutAppliesToEachRead(t *testing.T) {
	g := NewWithT(t)
	conn := dialStream(t)
	g.Expect(conn.SetReadTimeout(readTimeout)).To(Succeed())
	for range bytesSent {
		_, err := conn.ReadByte()
		g.Expect(err).NotTo(HaveOccurred())
	}
	begin := time.Now()
	_, err := conn.ReadByte()
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(begin)).To(And(BeNumerically(">", readTimeout/2), BeNumerically("<", 3*readTimeout)))
}
