package replyconn_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// scan scans a text in parts and returns the number of bytes up to the end of the head of
// the final reply, or -1 if it doesn't end.
func scan(text string, size int) (int, error) {
	s := replyconn.NewHeadScanner(replyconn.Limits{Bytes: 16 << 10, Lines: 200})
	total := 0
	for start := 0; start < len(text); start += size {
		part := text[start:min(start+size, len(text))]
		for len(part) > 0 {
			n, ended, err := s.Scan([]byte(part))
			if err != nil {
				return 0, err
			}
			total += n
			part = part[n:]
			if ended && !s.Interim() {
				return total, nil
			}
		}
	}
	return -1, nil
}

func TestHeadsOfAnyParts(t *testing.T) {
	g := NewWithT(t)
	for name, head := range rawreply.Sound {
		text := head.Text("", "body")
		for size := range 40 {
			g.Expect(scan(text, size+1)).To(Equal(len(text)-len("body")), name)
		}
	}
	for name, head := range rawreply.Broken {
		for size := range 40 {
			_, err := scan(head.Text("", "body"), size+1)
			g.Expect(err).To(MatchError(replyconn.ErrMalformed), name)
		}
	}
}

func TestHeadsWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"HTTP/1.1 200 " + strings.Repeat("x", 16<<10),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: 1\r\n", 200),
		"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 16<<10),
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9),
	} {
		_, err := scan(text, 100)
		g.Expect(err).To(MatchError(replyconn.ErrMalformed))
	}
}

func TestSameLengthTwiceIsSound(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\ncontent-length:4 \r\n\r\n",
		"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
	} {
		g.Expect(scan(text, 1)).To(Equal(len(text)))
	}
}

// The result does not depend on the parts in which a head arrives.
func FuzzHeadScanner(f *testing.F) {
	for _, heads := range []map[string]rawreply.Head{rawreply.Sound, rawreply.Broken} {
		for _, head := range heads {
			f.Add(head.Text("", "body"), uint8(3))
		}
	}
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		n, err := scan(text, max(len(text), 1))
		m, partErr := scan(text, int(size)+1)
		if n != m || (err == nil) != (partErr == nil) {
			t.Errorf("whole: %d, %v; in parts of %d: %d, %v", n, err, int(size)+1, m, partErr)
		}
	})
}
