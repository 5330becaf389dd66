package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// An instance makes no event for longer than half of the clients' patience, and goes on.
// Guards against cutting its stream while no other instance can take it or no retry is left.
func TestSilentStreamStaysWithoutAnAlternative(t *testing.T) {
	silent := func(w io.Writer, id string) error {
		if _, err := io.WriteString(w, head(id, "Content-Type: text/event-stream\r\n\r\n")+events(0, 2)); err != nil {
			return err
		}
		time.Sleep(1700 * time.Millisecond)
		_, err := io.WriteString(w, events(2, 6))
		return err
	}
	for name, prepare := range map[string]func(*fixture){
		"no other instance": func(*fixture) {},
		"no retry left": func(s *fixture) {
			s.retryBudget.Store(0)
			time.AfterFunc(300*time.Millisecond, func() { s.worker("w2", "query", worker.Behaviour{}) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.setTimeout(20 * time.Second)
			s.rawInstance("w1", "query", silent)
			prepare(s)
			a := s.send(t.Context(), "/query/1", map[string]string{"X-Deadline-Ms": "20000"})
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body).To(Equal(events(0, 6)))
		})
	}
}
