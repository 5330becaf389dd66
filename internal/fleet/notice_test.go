package fleet_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// All instances ask for pauses. Guards against callers that all return at the end of
// the first pause, when a fraction of the instances is available.
func TestRetryAfterFollowsTheEndsOfPauses(t *testing.T) {
	g := NewWithT(t)
	s := fleet.NewSet(clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	const instances = 10
	for i := range instances {
		s.Put(fleet.Description{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", 80+i), Slots: 1})
	}
	for i := range instances {
		r, err := s.Pick(fleet.Query{Service: "s"})
		g.Expect(err).NotTo(HaveOccurred())
		r.Pause(time.Duration(i+1) * time.Second)
		r.Release()
	}
	q := fleet.Query{Service: "s"}
	_, err := s.Pick(q)
	g.Expect(err).To(HaveOccurred())
	earliest, paused := s.RetryAfter(q, true, time.Minute)
	g.Expect(paused).To(BeTrue())
	g.Expect(earliest).To(Equal(time.Second))
	counts := map[time.Duration]int{}
	for range 2000 {
		wait, _ := s.RetryAfter(q, false, 5*time.Second)
		counts[wait]++
	}
	g.Expect(counts).To(HaveLen(5), "later ends are beyond the limit")
	for wait, count := range counts {
		g.Expect(count).To(BeNumerically("~", 400, 100), wait.String())
	}
}

// Guards against sending all waiting requests to an instance whose pause has just
// ended, while others are as little loaded.
func TestInstanceReturnsSlowlyAfterItsPause(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	s := fleet.NewSet(clock, slog.New(slog.DiscardHandler))
	s.Put(fleet.Description{ID: "paused", Service: "s", Address: "10.0.0.1:80", Slots: 24})
	r, err := s.Pick(fleet.Query{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	r.Pause(2 * time.Second)
	r.Release()
	s.Put(fleet.Description{ID: "other", Service: "s", Address: "10.0.0.2:80", Slots: 24})
	clock.Advance(2*time.Second + time.Millisecond)
	share := func() (picked int) {
		var reservations []*fleet.Reservation
		for range 10 {
			r, err := s.Pick(fleet.Query{Service: "s"})
			g.Expect(err).NotTo(HaveOccurred())
			if r.ID == "paused" {
				picked++
			}
			reservations = append(reservations, r)
		}
		for _, r := range reservations {
			r.Release()
		}
		return picked
	}
	g.Expect(share()).To(BeNumerically("<=", 1))
	clock.Advance(2 * time.Second)
	g.Expect(share()).To(BeNumerically(">=", 3))
}
