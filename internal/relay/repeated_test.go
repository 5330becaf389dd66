package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
)

// An instance sends its answer a second time, late, before it closes the connection that
// ends the answer. Guards against a client that gets both as one answer, or events twice.
func TestSecondCopyIsNoPartOfTheAnswer(t *testing.T) {
	for service, want := range map[string]string{"order": "the answer", "lookup": "the answer", "report": events(0, 3), "query": events(0, 3)} {
		t.Run(service, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.rawInstance("w1", service, func(w io.Writer, id string) error {
				reply := head(id, "Content-Type: text/event-stream\r\n\r\n") + want
				if _, err := io.WriteString(w, reply); err != nil {
					return err
				}
				time.Sleep(30 * time.Millisecond)
				_, err := io.WriteString(w, reply)
				return err
			})
			a := s.send(t.Context(), "/"+service+"/1", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body).To(Equal(want))
		})
	}
}

// Guards against counting a body that a framed copy proves to be whole as one whose end is
// only that of the connection.
func TestFramedCopyIsCountedAsTheEnd(t *testing.T) {
	g := NewWithT(t)
	counter := metrics.GetOrCreateCounter(`rudder_relay_replies_total{end="copy",way="direct"}`)
	before := counter.Get()
	s := newFixture(t)
	s.rawInstance("w1", "order", func(w io.Writer, id string) error {
		_, err := io.WriteString(w, head(id, "\r\nwhole")+head(id, "Content-Length: 5\r\n\r\nwhole"))
		return err
	})
	g.Expect(s.send(t.Context(), "/order/1", nil).body).To(Equal("whole"))
	g.Expect(counter.Get() - before).To(BeEquivalentTo(1))
}
