package upstreamhttp_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against taking a reply with a malformed head for the answer of an engine or of the
// cloud, or for a passed health check.
func TestBrokenHeadIsAnError(t *testing.T) {
	client, err := upstreamhttp.New(time.Second)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, head := range rawreply.Broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := rawreply.Start(rawreply.Whole(func(*http.Request) string { return head.Text("", "{}") }))
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(server.Close)
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodDelete} {
				reply, err := client.Exchange(t.Context(), upstreamhttp.Exchange{
					Method: method, Address: server.Address(), Path: "/", Timeout: time.Second,
				})
				g.Expect(err).To(HaveOccurred(), "%s: %+v", method, reply)
			}
			g.Expect(upstreamhttp.Checker{Client: client, Path: "/"}.Check(t.Context(), server.Address())).NotTo(Succeed())
		})
	}
}
