package fleet_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// fragileSet returns a set with a fragile instance, and a function that picks what it may.
func fragileSet(g *WithT, clock clockwork.Clock, bears, daemons int) func() []*fleet.Reservation {
	s := fleet.NewSet(clock, slog.New(slog.DiscardHandler))
	s.DaemonCount = func() int { return daemons }
	s.Put(fleet.Description{ID: "i", Service: "s", Address: "10.0.0.1:80", Slots: 8})
	r, err := s.Pick(fleet.Query{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	r.MarkFragile(bears)
	r.Answered(true, false)
	r.Release()
	return func() (picked []*fleet.Reservation) {
		for {
			r, err := s.Pick(fleet.Query{Service: "s"})
			if err != nil {
				return picked
			}
			picked = append(picked, r)
		}
	}
}

// Guards against a burst at a fragile instance that failed and may be back.
func TestFragileInstanceThatFailedIsTriedWithOneRequest(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	pick := fragileSet(g, clock, 1, 1)
	picked := pick()
	g.Expect(picked).To(HaveLen(8), "its slots")
	g.Expect(picked[0].Broke()).To(BeTrue())
	for _, r := range picked {
		r.Release()
	}
	g.Expect(pick()).To(BeEmpty())
	clock.Advance(time.Second)
	probe := pick()
	g.Expect(probe).To(HaveLen(1))
	probe[0].Answered(true, false)
	g.Expect(pick()).To(HaveLen(7))
}

// Guards against going on as before after a rejection that used up the daemon's part of
// what the instance bears, and against no requests for good.
func TestRejectionsOfAFragileInstanceHoldRequestsBack(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	pick := fragileSet(g, clock, 1, 1)
	reject := func(list []*fleet.Reservation) {
		for i, r := range list {
			r.Answered(true, i == 0)
			r.Release()
		}
	}
	clock.Advance(time.Millisecond)
	reject(pick())
	clock.Advance(time.Millisecond)
	half := pick()
	g.Expect(half).To(HaveLen(4), "half of its slots")
	reject(half[:1])
	g.Expect(pick()).To(BeEmpty())
	for _, r := range half[1:] {
		r.Release()
	}
	clock.Advance(5 * time.Second)
	g.Expect(pick()).To(HaveLen(8))
}
