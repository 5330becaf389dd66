package apiclient_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against losing a whole response that a second copy follows on a pooled connection,
// and against taking the copy for the response to the next request.
func TestSecondCopyIsNoResponseToTheNextRequest(t *testing.T) {
	for _, length := range []int{10, 40_000} {
		g := NewWithT(t)
		reply := func(r *http.Request) string {
			return rawreply.Head{}.Text("", strings.Repeat(r.URL.Path[1:], length))
		}
		reused := atomic.Int64{}
		server, err := rawreply.Start(func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, reply(r)+reply(r))
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				reused.Add(1)
				_, _ = io.WriteString(c, reply(r)+reply(r))
			}
		})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(server.Close)
		client, err := apiclient.New("key", true)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(client.Close)
		wrong, answered := 0, 0
		for i := range 20 {
			digit := strconv.Itoa(i % 10)
			request := apiclient.Request{Method: http.MethodGet, Path: "/" + digit, Timeout: time.Second}
			response, err := client.Do(t.Context(), server.Address(), request)
			if err == nil {
				answered++
			}
			if err == nil && string(response.Body) != strings.Repeat(digit, length) {
				wrong++
			}
		}
		g.Expect(wrong).To(BeZero(), "replies of %d bytes to earlier requests, of 20; %d on pooled connections", length, reused.Load())
		g.Expect(answered).To(BeNumerically(">=", 10))
	}
}
