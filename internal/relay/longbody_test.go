package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// brokenLongBodies are replies with a body that is too long to be buffered, and that
// break off. The head follows the one that all replies have.
var brokenLongBodies = map[string]struct {
	service, status, head string
	write                 func(w io.Writer, block string) error
}{
	"without end": {"lookup", "200 OK", "\r\n", func(w io.Writer, _ string) error { return repeat(w, "x") }},
	"cut before its length": {"lookup", "200 OK", "Content-Length: 3145728\r\n\r\n", func(w io.Writer, block string) error {
		_, err := io.WriteString(w, block)
		return err
	}},
	"cut before its last chunk": {"lookup", "200 OK", "Transfer-Encoding: chunked\r\n\r\n", func(w io.Writer, block string) error {
		_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(block), block)
		return err
	}},
	"error document on a stream's route": {"query", "404 Not Found", "Content-Length: 3145728\r\n\r\n", func(w io.Writer, block string) error {
		_, err := io.WriteString(w, block)
		return err
	}},
}

// A body that is forwarded while it arrives breaks off. Guards against a retry that
// appends the answer of another instance, so that the client takes both for one answer.
func TestBrokenLongBodyIsNotContinued(t *testing.T) {
	for name, broken := range brokenLongBodies {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.rawInstance("w1", broken.service, func(w io.Writer, id string) error {
				head := "HTTP/1.1 " + broken.status + "\r\nX-Request-Id: " + id + "\r\nX-Response-Seal: s\r\n"
				if _, err := io.WriteString(w, head+broken.head); err != nil {
					return err
				}
				s.worker("w2", broken.service, worker.Behaviour{}) // takes the retry
				return broken.write(w, strings.Repeat("x", 2<<20))
			})
			a := s.send(t.Context(), "/"+broken.service+"/1", nil)
			g.Expect(a.err).To(HaveOccurred(), "the client must not take %d bytes for complete", len(a.body))
			g.Expect(s.runs()).To(BeZero())
		})
	}
}

// An instance breaks off each long body. Guards against a failure that is not recorded
// because the start of the body arrived: requests then keep going to that instance.
func TestInstanceThatBreaksOffLongBodiesIsEjected(t *testing.T) {
	for _, name := range []string{"cut before its length", "cut before its last chunk", "without end"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			broken := brokenLongBodies[name]
			s.rawInstance("w1", "lookup", func(w io.Writer, id string) error {
				if _, err := io.WriteString(w, head(id, broken.head)); err != nil {
					return err
				}
				return broken.write(w, strings.Repeat("x", 2<<20))
			})
			s.worker("w2", "lookup", worker.Behaviour{})
			failures := 0
			for range 40 {
				if s.send(t.Context(), "/lookup/1", nil).err != nil {
					failures++
				}
			}
			g.Expect(failures).To(BeNumerically("<=", 5), "five failures in a row eject an instance")
		})
	}
}

// Guards against blaming an instance for a client that closes the connection while a long
// body is forwarded.
func TestClientThatLeavesALongBodyIsNoFailure(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.rawInstance("w1", "lookup", func(w io.Writer, id string) error {
		if _, err := io.WriteString(w, head(id, "\r\n")); err != nil {
			return err
		}
		return repeat(w, "x")
	})
	for range 10 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.url+"/lookup/1", http.NoBody)
		g.Expect(err).NotTo(HaveOccurred())
		request.Host = "h.example"
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("X-Request-Id", "leaves")
		response, err := http.DefaultTransport.RoundTrip(request)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.CopyN(io.Discard, response.Body, 2<<20)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
	}
	g.Consistently(s.failures.Load, 200*time.Millisecond).Should(BeZero())
}
