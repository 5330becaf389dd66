package relay_test

import (
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against answers whose end rests on the end of a connection only, and that no
// metric tells apart from others.
func TestEndsOfRepliesAreCounted(t *testing.T) {
	const framed, unframed = `rudder_relay_replies_total{end="length",way="direct"}`, `rudder_relay_replies_total{end="connection",way="direct"}`
	g := NewWithT(t)
	s := newFixture(t)
	s.rawServer("w1", "lookup", rawreply.Whole(func(r *http.Request) string {
		id := r.Header.Get("X-Request-Id")
		if r.URL.Path == "/lookup/framed" {
			return head(id, "Content-Length: 5\r\n\r\n") + "whole"
		}
		return head(id, "\r\n") + "whole"
	}))
	framedBefore, unframedBefore := metrics.GetOrCreateCounter(framed).Get(), metrics.GetOrCreateCounter(unframed).Get()
	for range 2 {
		g.Expect(s.send(t.Context(), "/lookup/framed", nil).body).To(Equal("whole"))
	}
	g.Expect(s.send(t.Context(), "/lookup/unframed", nil).body).To(Equal("whole"))
	g.Expect(metrics.GetOrCreateCounter(framed).Get() - framedBefore).To(BeEquivalentTo(2))
	g.Expect(metrics.GetOrCreateCounter(unframed).Get() - unframedBefore).To(BeEquivalentTo(1))
}
