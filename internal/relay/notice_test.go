package relay_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// Guards against sending requests to an instance that said in a reply that it is
// leaving, for each kind of reply, and also after its entry was written again.
func TestInstanceLeavingByReplyGetsNothingMore(t *testing.T) {
	for name, b := range map[string]worker.Behaviour{
		"answer":  {Leaving: true},
		"failure": {Leaving: true, Fail: true},
		"refusal": {Leaving: true, Refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			leaving := s.worker("w1", "lookup", b)
			s.send(t.Context(), "/lookup/1", nil)
			seen := len(leaving.Runs()) + leaving.Refused()
			s.worker("w2", "lookup", worker.Behaviour{})
			entry := fleet.Description{ID: "w1", Service: "lookup", Address: leaving.Address(), DataCentre: "dc", Slots: 8}
			s.set.Put(entry)
			// The entry lapses in an outage of the store and returns.
			s.set.Remove("w1")
			s.set.Put(entry)
			for range 10 {
				g.Expect(s.send(t.Context(), "/lookup/1", nil).status).To(Equal(http.StatusOK))
			}
			g.Expect(len(leaving.Runs()) + leaving.Refused()).To(Equal(seen))
			entry.Incarnation = 2
			leaving.Set(worker.Behaviour{})
			s.set.Put(entry)
			s.set.Remove("w2")
			g.Expect(s.send(t.Context(), "/lookup/1", nil).status).To(Equal(http.StatusOK), "it has restarted")
		})
	}
}

// Guards against sending requests to an instance that answered 503 with Retry-After,
// before the end of that time.
func TestPausedInstanceGetsNothing(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	paused := s.worker("w1", "lookup", worker.Behaviour{Refuse: true, RetryAfter: "1"})
	s.send(t.Context(), "/lookup/1", nil)
	began := time.Now()
	g.Expect(paused.Refused()).To(Equal(1))
	s.worker("w2", "lookup", worker.Behaviour{})
	for time.Since(began) < 900*time.Millisecond {
		g.Expect(s.send(t.Context(), "/lookup/1", nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(paused.Refused()).To(Equal(1))
	paused.Set(worker.Behaviour{})
	g.Eventually(func() int {
		s.send(t.Context(), "/lookup/1", nil)
		return len(paused.Runs())
	}, 5*time.Second, time.Millisecond).Should(BeNumerically(">", 0), "the pause has ended")
}

// Guards against limits that stay after instances have ceased to say that they are fragile.
func TestFragileInstancesAreLimitedWhileTheySaySo(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	w := s.worker("w1", "lookup", worker.Behaviour{Brittle: &worker.Brittle{Slots: 8, Bears: 1}})
	for range 3 {
		g.Expect(s.send(t.Context(), "/lookup/1", nil).status).To(Equal(http.StatusOK))
	}
	query := fleet.Query{Service: "lookup"}
	var held []*fleet.Reservation
	for {
		r, err := s.set.Pick(query)
		if err != nil {
			break
		}
		held = append(held, r)
	}
	g.Expect(held).To(HaveLen(8), "requests at its slots")
	g.Expect(s.set.Full(query)).To(BeTrue())
	began := time.Now()
	a := s.send(t.Context(), "/lookup/1", nil)
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond), "the route's objective is 500 ms")

	w.Set(worker.Behaviour{})
	held[0].Release()
	g.Expect(s.send(t.Context(), "/lookup/1", nil).status).To(Equal(http.StatusOK))
	for range 20 {
		_, err := s.set.Pick(query)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against keeping a request until its deadline, or naming a time at which it
// would be refused again, while all instances have asked for a pause.
func TestRequestIsRefusedAtOnceWhileAllInstancesPause(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	first := s.worker("w1", "lookup", worker.Behaviour{Refuse: true, RetryAfter: "2"})
	second := s.worker("w2", "lookup", worker.Behaviour{Refuse: true, RetryAfter: "2"})
	for range 3 {
		s.send(t.Context(), "/lookup/1", nil)
	}
	refused := first.Refused() + second.Refused()
	g.Expect(refused).To(Equal(2))
	began := time.Now()
	a := s.send(t.Context(), "/lookup/1", nil)
	g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(wait).To(BeNumerically(">", 1.5))
	g.Expect(wait).To(BeNumerically("<", 2.7))
	g.Expect(first.Refused() + second.Refused()).To(Equal(refused))
}
