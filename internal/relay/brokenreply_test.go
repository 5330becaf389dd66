package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// rawServer starts an instance that serves each connection with serve.
func (s *fixture) rawServer(id, service string, serve func(*net.TCPConn, *http.Request)) {
	s.t.Helper()
	server, err := rawreply.Start(serve)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	s.set.Put(fleet.Description{ID: id, Service: service, Address: server.Address(), DataCentre: "dc", Slots: 200})
}

// longUpload returns a body that doesn't fit into the socket buffers. It is no variable,
// because other tests bound the heap.
func longUpload() string { return strings.Repeat("x", 6<<20) }

// An instance answers a long upload with a 200 without a length, sends a part of the body
// and resets the connection while the upload is still being written. Guards against a part
// that reaches the client as a complete answer, and against a retry that isn't allowed.
func TestPartOfAnEarlyAnswerIsNoAnswer(t *testing.T) {
	early := rawreply.ResetEarly(func(r *http.Request) string { return head(r.Header.Get("X-Request-Id"), "\r\n") + "part" })
	t.Run("not repeatable", func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(t)
		upload := longUpload()
		s.table.Load().Limits.MaxBodyBytes = len(upload)
		s.rawServer("w1", "order", early)
		for range 10 {
			a := s.sendBody(t.Context(), "/order/1", upload)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusBadGateway), "body %q", a.body)
		}
	})
	t.Run("repeatable", func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(t)
		upload := longUpload()
		s.table.Load().Limits.MaxBodyBytes = len(upload)
		s.rawServer("w1", "lookup", early)
		s.worker("w2", "lookup", worker.Behaviour{})
		for range 10 {
			a := s.sendBody(t.Context(), "/lookup/1", upload)
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body).NotTo(Equal("part"))
		}
	})
}

// Such a part is so long that it has been forwarded in part before the reset. Guards against
// an answer that ends in order at the client.
func TestLongPartOfAnEarlyAnswerLooksBroken(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	upload := longUpload()
	s.table.Load().Limits.MaxBodyBytes = len(upload)
	s.rawServer("w1", "order", func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, head(r.Header.Get("X-Request-Id"), "\r\n"))
		for range 64 {
			_, _ = io.WriteString(c, strings.Repeat("p", 16<<10))
		}
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	for range 10 {
		a := s.sendBody(t.Context(), "/order/1", upload)
		if a.err == nil {
			g.Expect(a.status).To(Equal(http.StatusBadGateway), "a body of %d bytes", len(a.body))
		}
	}
}

// Guards against failing an early answer without a length whose connection ends in order.
func TestWholeEarlyAnswerIsForwarded(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	upload := longUpload()
	s.table.Load().Limits.MaxBodyBytes = len(upload)
	s.rawServer("w1", "order", func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, head(r.Header.Get("X-Request-Id"), "\r\n")+"whole")
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	})
	for range 10 {
		a := s.sendBody(t.Context(), "/order/1", upload)
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusOK))
		g.Expect(a.body).To(Equal("whole"))
	}
}

// An instance in trouble sends answers with a malformed head, which may say that the
// request did not run. Guards against one that reaches the client, and against a retry or a
// promise that isn't allowed.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, broken := range rawreply.Broken {
		for kind, fields := range map[string]string{"success": "", "refusal": "X-Not-Executed: 1\r\n"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				g := NewWithT(t)
				s := newFixture(t)
				serve := rawreply.Whole(func(r *http.Request) string {
					return broken.Text("X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\nX-Response-Seal: s\r\n"+fields, "broken")
				})
				for _, service := range []string{"order", "lookup", "query"} {
					s.rawServer("broken-"+service, service, serve)
				}
				a := s.send(t.Context(), "/order/1", nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(http.StatusBadGateway), "body %q", a.body)
				g.Expect(a.header).NotTo(HaveKey("X-Response-Seal"))

				s.worker("w-lookup", "lookup", worker.Behaviour{})
				s.worker("w-query", "query", worker.Behaviour{})
				for range 4 {
					a = s.send(t.Context(), "/lookup/1", nil)
					g.Expect(a.status).To(Equal(http.StatusOK))
					g.Expect(a.body).NotTo(ContainSubstring("broken"))
					a = s.send(t.Context(), "/query/1", nil)
					g.Expect(a.err).NotTo(HaveOccurred())
					g.Expect(a.body).To(Equal(events(0, 6)))
				}
			})
		}
	}
}

// A stream breaks off, and an instance at which it may continue sends a malformed head.
// Guards against events that are lost, repeated or followed by bytes that are no event.
func TestStreamContinuesBesideBrokenHeads(t *testing.T) {
	for name, broken := range rawreply.Broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.rawServer("broken", "query", rawreply.Whole(func(r *http.Request) string {
				fields := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
				return broken.Text(fields, events(2, 6))
			}))
			s.worker("cut", "query", worker.Behaviour{CutAfter: 2})
			s.worker("sound", "query", worker.Behaviour{})
			for range 4 {
				a := s.send(t.Context(), "/query/1", nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.body).To(Equal(events(0, 6)))
			}
		})
	}
}

// Guards against trailers that reach the client, malformed or not, and against one that
// changes the body.
func TestTrailersAreNotForwarded(t *testing.T) {
	for _, trailer := range []string{"X-Sound: 1", "X Trouble: 1", "X-Trouble : 1", "X-\x01: 1", "X-Trouble: \x00", "Content-Length: 1", "X-Trouble"} {
		t.Run(trailer, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.rawServer("w1", "order", rawreply.Whole(func(r *http.Request) string {
				return head(r.Header.Get("X-Request-Id"), "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n\r\n")
			}))
			a := s.send(t.Context(), "/order/1", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
			if a.status == http.StatusOK || trailer == "X-Sound: 1" {
				g.Expect(a.body).To(Equal("body"))
				g.Expect(a.header).NotTo(Or(HaveKey("X-Sound"), HaveKey("X Trouble"), HaveKey("X-Trouble"), HaveKey("X-Trouble ")))
			}
		})
	}
}
