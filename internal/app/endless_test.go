package app_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against reading a body without a length or chunks into memory beyond the limit.
func TestBodyWithoutLengthIsLimited(t *testing.T) {
	const blocks = 64 // of 1 MiB
	g := NewWithT(t)
	var written atomic.Int64
	server, err := rawreply.Start(func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		block := strings.Repeat("x", 1<<20)
		for range blocks {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
			written.Add(1)
		}
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	_, outcome, err := newClient(t).Call(t.Context(), app.Call{
		Address: server.Address(), AttemptID: "a", Method: http.MethodGet, Path: "/", Timeout: 5 * time.Second,
	})
	g.Expect(outcome).To(Equal(app.Lost))
	g.Expect(err).To(MatchError(ContainSubstring("larger than")))
	g.Expect(written.Load()).To(BeNumerically("<", blocks/2), "MiB written by the service")
}
