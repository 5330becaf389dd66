package apiclient_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against taking a part of a body without a length for the whole when the daemon
// resets the connection while a long request is still being written.
func TestResetDuringAnUploadIsNoResponse(t *testing.T) {
	g := NewWithT(t)
	server, err := rawreply.Start(rawreply.ResetEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" }))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for _, keepAlive := range []bool{false, true} {
		client, err := apiclient.New("key", keepAlive)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(client.Close)
		for range 20 {
			response, err := client.Do(t.Context(), server.Address(), apiclient.Request{
				Method: http.MethodPost, Path: "/", Body: []byte(strings.Repeat("x", 16<<20)), Timeout: 5 * time.Second,
			})
			g.Expect(err).To(HaveOccurred(), "%+v", response)
		}
	}
}
