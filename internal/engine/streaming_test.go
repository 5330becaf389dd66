package engine_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against holding back the events of a stream without a length or chunks until its
// end.
func TestEventsArriveAsTheyAreSent(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{}, 2)
	server, err := rawreply.Start(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, streamHead+"\r\n"+chunk)
		select {
		case <-received:
			_, _ = io.WriteString(c, stream)
		case <-time.After(time.Second):
		}
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	client, err := upstreamhttp.New(time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	call := engine.Call{Address: server.Address(), AttemptID: "a", FirstByteTimeout: 5 * time.Second, TokenTimeout: 5 * time.Second}
	err = engine.NewOpenAI(client).Stream(t.Context(), call, func(engine.Load) {}, func(engine.Chunk) error {
		received <- struct{}{}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
}
