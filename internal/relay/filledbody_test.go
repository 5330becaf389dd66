package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// replyTwice returns a function for rawServer that leaves out the end of a body with a length,
// and sends the whole reply 15 ms later.
func replyTwice(body string, missing int) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		reply := head(r.Header.Get("X-Request-Id"), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		_, _ = io.WriteString(c, reply[:len(reply)-missing])
		time.Sleep(15 * time.Millisecond)
		_, _ = io.WriteString(c, reply)
		_, _ = c.Read(make([]byte, 1)) // returns when the caller ends the connection
	}
}

// Guards against an answer whose missing end is filled with the start of a second copy: a
// repeatable request goes to another instance, the outcome of another one is unknown, and a
// long body that is forwarded as it arrives ends with a broken connection.
func TestAnswerIsNotFilledWithItsCopy(t *testing.T) {
	short, long := strings.Repeat("b", 300), strings.Repeat("b", 1<<20+300)
	for _, missing := range []int{1, 2, 7, 8, 12, 13, 17, 20, 40, 60, 85, 120} {
		t.Run(fmt.Sprintf("%d missing", missing), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newFixture(t)
			s.rawServer("cut-order", "order", replyTwice(short, missing))
			a := s.send(t.Context(), "/order/1", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusBadGateway), "body ends in %q", a.body[max(len(a.body)-missing, 0):])

			s.rawServer("cut-lookup", "lookup", replyTwice(short, missing))
			s.worker("sound", "lookup", worker.Behaviour{})
			for range 4 {
				a = s.send(t.Context(), "/lookup/1", nil)
				g.Expect(a.status).To(Equal(http.StatusOK))
				g.Expect(a.body).To(HavePrefix("sound ran "))
			}

			s.set.Remove("cut-order")
			s.rawServer("cut-long", "order", replyTwice(long, missing))
			a = s.send(t.Context(), "/order/1", nil)
			g.Expect(a.err).To(HaveOccurred(), "%d bytes, which end in %q", len(a.body), a.body[max(len(a.body)-missing, 0):])
			g.Expect(strings.Trim(a.body, "b")).To(BeEmpty())
		})
	}
}

// Guards against a stream that ends as complete, or whose last event is filled, because a
// second copy of it follows a part: by its length, in chunks, or with the connection.
func TestStreamIsNotFilledWithItsCopy(t *testing.T) {
	const maxMissing = 140
	stream := events(0, 12)
	for framing, text := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stream), stream),
		"chunk":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(stream), stream),
		"none":   "\r\n" + stream,
	} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newFixture(t)
			s.retryBudget.Store(2 * maxMissing)
			var missing atomic.Int64
			for _, service := range []string{"report", "query"} {
				s.rawInstance("cut-"+service, service, func(w io.Writer, id string) error {
					reply := head(id, streamFields+text)
					end := strings.LastIndex(reply, "\n\n") + 2
					if _, err := io.WriteString(w, reply[:end-int(missing.Load())]); err != nil {
						return err
					}
					time.Sleep(5 * time.Millisecond)
					_, err := io.WriteString(w, reply)
					return err
				})
			}
			s.worker("sound", "query", worker.Behaviour{})
			s.workers["sound"].Events = 12
			s.set.SetRemoteLoads(map[string]fleet.Load{"sound": {Inflight: 300}}) // the other comes first
			for missing.Store(1); missing.Load() <= maxMissing; missing.Add(1) {
				a := s.send(t.Context(), "/report/1", nil)
				g.Expect(a.err).To(HaveOccurred(), "%d missing: %q", missing.Load(), a.body)
				g.Expect(stream).To(HavePrefix(a.body))
				a = s.send(t.Context(), "/query/1", nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.body).To(Equal(stream), "%d missing", missing.Load())
			}
		})
	}
}
