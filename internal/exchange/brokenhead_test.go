package exchange_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

const ownField = "X-Request-Id: r2\r\n"

// sendTo returns the body of the reply to a request on a connection that has carried
// another one. The instance writes the reply in parts.
func sendTo(t *testing.T, parts []string) (string, error) {
	t.Helper()
	peer := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err != nil || id != "r1" {
			return
		}
		_, _ = io.WriteString(c, replyText("r1", "first"))
		if _, err := readRequest(r); err != nil {
			return
		}
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
			if len(parts) > 1 {
				time.Sleep(time.Millisecond)
			}
		}
	})
	p := newPool()
	if body, err := exchangeBody(t.Context(), p, peer, newRequest("r1", "x")); err != nil || body != "first" {
		t.Fatalf("got %q, error %v", body, err)
	}
	return exchangeBody(t.Context(), p, peer, newRequest("r2", "x"))
}

// An instance in trouble sends a malformed head, at once or after other replies. Guards
// against taking it for the answer, or for an interim reply that the answer follows.
func TestBrokenHeadIsNoReply(t *testing.T) {
	before := map[string]string{
		"alone": "", "after an interim reply": "HTTP/1.1 102 Processing\r\n\r\n", "after a late reply": replyText("r1", "late"),
	}
	after := map[string]string{"at the end": "", "before other bytes": "body", "before a sound reply": replyText("r2", "own")}
	for name, head := range rawreply.Broken {
		for position, earlier := range before {
			for end, later := range after {
				t.Run(name+", "+position+", "+end, func(t *testing.T) {
					g := NewWithT(t)
					text := earlier + head.Text(ownField, "") + later
					for _, parts := range [][]string{{text}, strings.SplitAfter(text, "T")} {
						body, err := sendTo(t, parts)
						g.Expect(err).To(HaveOccurred(), "body %q", body)
					}
				})
			}
		}
	}
}

// Guards against refusing a head that is unusual but sound.
func TestUnusualHeadIsAReply(t *testing.T) {
	for name, head := range rawreply.Sound {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const body = "body"
			text := head.Text(ownField, body)
			beforeBlankLine := len(text) - len(body) - len("\r\n")
			for _, parts := range [][]string{
				{text}, strings.SplitAfter(text, "\n"), {text[:8], text[8:]}, {text[:beforeBlankLine], text[beforeBlankLine:]},
			} {
				g.Expect(sendTo(t, parts)).To(Equal(body))
			}
		})
	}
}
