package relay_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

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
