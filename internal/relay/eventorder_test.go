package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// numbered returns a stream of events with IDs, followed by other text.
func numbered(ids ...any) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %v\ndata: event %v\n\n", id, id)
	}
	return b.String()
}

const streamFields = "Content-Type: text/event-stream\r\n"

// streamInstance starts an instance that sends a stream: with a last chunk, or with a
// connection that ends within a chunk.
func (s *fixture) streamInstance(id, service string, whole bool, text string) {
	s.rawInstance(id, service, func(w io.Writer, requestID string) error {
		reply := head(requestID, streamFields+"Transfer-Encoding: chunked\r\n\r\n")
		if text != "" {
			reply += fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if whole {
			reply += "0\r\n\r\n"
		} else {
			reply += "ff\r\nid:"
		}
		_, err := io.WriteString(w, reply)
		return err
	})
}

// resumptions are what an instance sends after a stream broke off at another one, and the
// events of it that may reach the caller.
var resumptions = map[string]struct{ first, next, forwarded string }{
	"from the beginning":          {numbered(0, 1, 2), numbered(0, 1, 2, 3, 4, 5), ""},
	"the last event again":        {numbered(0, 1, 2), numbered(2, 3, 4, 5), ""},
	"an event of before, later":   {numbered(0, 1, 2), numbered(3, 4, 1, 5), numbered(3, 4)},
	"an event twice":              {numbered(0, 1, 2), numbered(3, 4, 4, 5), numbered(3, 4)},
	"an event left out":           {numbered(0, 1, 2), numbered(4, 5), ""},
	"the end of another run":      {numbered(0, 1, 2), numbered(700, 701), ""},
	"an event left out, steps":    {numbered(10, 20, 30), numbered(50, 60), ""},
	"beyond 63 bits":              {numbered(1, 2, "9223372036854775807"), numbered("9223372036854775808"), numbered("9223372036854775808")},
	"nothing, in chunks":          {numbered(0, 1, 2), "", ""},
	"comments alone":              {numbered(0, 1, 2), ": hold\n\n: end\n\n", ""},
	"a cut event":                 {numbered(0, 1, 2), "id: 3\ndata: ev", ""},
	"the last event of one event": {numbered(7), numbered(7), ""},
}

// A stream breaks off, and the next instance doesn't go on after its last event. Guards
// against events that are repeated, left out or of another run, and against a stream that ends
// as if it were complete.
func TestStreamGoesOnAfterItsLastEvent(t *testing.T) {
	for name, c := range resumptions {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.streamInstance("w1", "query", false, c.first)
			s.streamInstance("w2", "query", true, c.next)
			s.set.SetRemoteLoads(map[string]fleet.Load{"w2": {Inflight: 300}}) // w1 comes first
			a := s.send(t.Context(), "/query/1", nil)
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body).To(Equal(c.first + c.forwarded))
			if c.next != c.forwarded {
				g.Expect(a.err).To(HaveOccurred(), "the stream is incomplete")
			}
		})
	}
}

// Guards against giving up a stream that another instance can still continue.
func TestStreamGoesOnBesideAnInstanceOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.streamInstance("w1", "query", true, numbered(0, 1, 2)+numbered(0, 1, 2, 3, 4, 5))
	s.worker("w2", "query", worker.Behaviour{})
	s.set.SetRemoteLoads(map[string]fleet.Load{"w2": {Inflight: 300}}) // w1 comes first
	a := s.send(t.Context(), "/query/1", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(events(0, 6)))
	g.Expect(s.workers["w2"].Runs()[0].LastEvent).To(Equal("2"))
}

// Guards against an event that comes twice in a stream that can't be resumed.
func TestRepeatedEventBreaksAStream(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.streamInstance("w1", "report", true, numbered(0, 1, 1, 2))
	a := s.send(t.Context(), "/report/1", nil)
	g.Expect(a.err).To(HaveOccurred(), "the stream is broken")
	g.Expect(a.body).To(Equal(numbered(0, 1)))
}

// A client resumes a stream itself. Guards against events that it has received, and against
// refusing those of a route on which instances don't resume.
func TestStreamBeginsAfterTheClientsLastEvent(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.streamInstance("w1", "query", true, numbered(0, 1, 2, 3, 4, 5))
	s.worker("w2", "query", worker.Behaviour{})
	s.set.SetRemoteLoads(map[string]fleet.Load{"w2": {Inflight: 300}}) // w1 comes first
	a := s.send(t.Context(), "/query/1", map[string]string{"Last-Event-Id": "2"})
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(events(3, 6)))

	s.streamInstance("w3", "report", true, numbered(0, 1, 2))
	a = s.send(t.Context(), "/report/1", map[string]string{"Last-Event-Id": "2"})
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(events(0, 3)))
}

// Guards against breaking streams whose IDs are unusual: opaque, uneven or absent.
func TestUnusualEventIDsAreForwarded(t *testing.T) {
	for name, c := range map[string]struct{ first, next string }{
		"one instance":         {"", numbered(0, 1, 2, 3)},
		"from another number":  {"", numbered(1000, 1001)},
		"opaque":               {numbered("b", "a", "b"), numbered("a", "0")},
		"opaque after numbers": {numbered(0, 1, 2), numbered("x", "x")},
		"a prefix of zeros":    {numbered("008", "009"), numbered("010")},
		"negative":             {numbered(-3, -2), numbered(-1, 0)},
		"uneven":               {numbered(0, 1, 5, 6), numbered(30, 31)},
		"gap in one run":       {"", numbered(0, 1, 2, 6, 7)},
		"one event before":     {numbered(5), numbered(9, 12)},
		"steps of 10":          {numbered(10, 20, 30), numbered(40, 50)},
		"smaller step":         {numbered(10, 20, 30), numbered(31, 41)},
		"events without IDs":   {numbered(0, 1, 2), "data: a\n\ndata: a\n\n" + numbered(3)},
		"line breaks":          {"id:0\r\ndata: a\r\n\r\nid:1\r\ndata: b\r\n\r\n", "id:2\r\ndata: c\r\n\r\n"},
		"colons and comments":  {numbered(0, 1), ": id: 0\n\ndata: id: 0\n\nid: 2\ndata: c\n\n"},
		"two IDs in an event":  {numbered(0, 1), "id: 0\nid: 2\ndata: c\n\n"},
		"a field before":       {numbered(0, 1), "x-weight-versions: 2\nid: 2\ndata: c\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			if c.first != "" {
				s.streamInstance("w1", "query", false, c.first)
			}
			s.streamInstance("w2", "query", true, c.next)
			s.set.SetRemoteLoads(map[string]fleet.Load{"w2": {Inflight: 300}}) // w1 comes first
			a := s.send(t.Context(), "/query/1", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(c.first + c.next))
		})
	}
}
