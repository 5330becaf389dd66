package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// A stream breaks off, and the next instance does not continue it. Guards against the text
// or the head of an error in the middle of a stream, and against a stream that ends as if
// it were complete.
func TestErrorDoesNotContinueAStream(t *testing.T) {
	for name, next := range map[string]func(w io.Writer, requestID string) error{
		"failure": func(w io.Writer, id string) error {
			_, err := io.WriteString(w, "HTTP/1.1 500 Failed\r\nX-Request-Id: "+id+"\r\nContent-Length: 14\r\n\r\nid: 9\ndata: x\n\n")
			return err
		},
		"refusal": func(w io.Writer, id string) error {
			_, err := io.WriteString(w, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: "+id+"\r\nContent-Length: 5\r\n\r\nfull\n")
			return err
		},
		"unmarked refusal": func(w io.Writer, id string) error {
			_, err := io.WriteString(w, "HTTP/1.1 503 Full\r\nX-Request-Id: "+id+"\r\nContent-Length: 5\r\n\r\nfull\n")
			return err
		},
		"no HTTP": func(w io.Writer, _ string) error {
			_, err := io.WriteString(w, "id: 2\ndata: event 2\n\n")
			return err
		},
		"error with status 200": func(w io.Writer, id string) error {
			_, err := io.WriteString(w, head(id, "Content-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\":\"text\"}\n\n"))
			return err
		},
		"empty success": func(w io.Writer, id string) error {
			_, err := io.WriteString(w, head(id, "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.worker("w1", "query", worker.Behaviour{CutAfter: 2, CutInEvent: true})
			s.rawInstance("w2", "query", next)
			s.set.SetRemoteLoads(map[string]fleet.Load{"w2": {Inflight: 300}}) // w1 comes first
			a := s.send(t.Context(), "/query/1", nil)
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.err).To(HaveOccurred(), "the stream is incomplete")
			g.Expect(a.body).To(Equal(events(0, 2)))
		})
	}
}

// A faulty instance writes the refusal of the request before once more on a kept
// connection. Guards against telling a client that its request did not run although it
// has, and against running it at a second instance.
func TestRefusalOfAnEarlierRequestIsNotBelieved(t *testing.T) {
	for _, service := range []string{"lookup", "order"} {
		t.Run(service, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			var runs atomic.Int64
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go repeatRefusals(c, &runs)
				}
			}()
			s.set.Put(fleet.Description{ID: "w1", Service: service, Address: listener.Addr().String(), DataCentre: "dc", Slots: 8})
			second := s.worker("w2", service, worker.Behaviour{})
			s.set.SetRemoteLoads(map[string]fleet.Load{"w2": {Inflight: 300}}) // w1 comes first
			for range 5 {
				a := s.send(t.Context(), "/"+service+"/1", nil)
				g.Expect(a.status).To(Equal(http.StatusOK))
				g.Expect(a.body).To(Equal("ok"))
			}
			g.Expect(runs.Load()).To(BeEquivalentTo(5))
			g.Expect(second.Runs()).To(BeEmpty())
		})
	}
}

// repeatRefusals answers the requests on a connection. Before each but the first, it
// refuses the request before.
func repeatRefusals(c net.Conn, runs *atomic.Int64) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	previous := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if previous != "" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", previous)
		}
		previous = r.Header.Get("X-Request-Id")
		runs.Add(1)
		_, _ = io.WriteString(c, head(previous, "Content-Length: 2\r\n\r\nok"))
	}
}
