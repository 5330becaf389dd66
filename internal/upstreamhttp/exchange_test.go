package upstreamhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// Guards against taking the start of a long reply for the whole.
func TestReplyBeyondTheLimitIsAnError(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := []byte(strings.Repeat("x", 1<<20))
		count := 64
		if r.URL.Path == "/long" {
			count = 65
		}
		for range count {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	client, err := upstreamhttp.New(time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	exchange := func(path string) (int, error) {
		reply, err := client.Exchange(t.Context(), upstreamhttp.Exchange{
			Method: http.MethodGet, Address: strings.TrimPrefix(server.URL, "http://"), Path: path, Timeout: 10 * time.Second,
		})
		return len(reply.Body), err
	}
	g.Expect(exchange("/whole")).To(Equal(64 << 20))
	_, err = exchange("/long")
	g.Expect(err).To(HaveOccurred())
}
