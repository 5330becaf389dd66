package edge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// refusingStore is a store that refuses all grants of leases, and counts them.
type refusingStore struct {
	store.Store
	grants atomic.Int64
}

func (r *refusingStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	r.grants.Add(1)
	return 0, store.ErrUnavailable
}

// The store refuses a third of the daemons for 9 s. Guards against announcements
// that are retried at the interval for a single lost call, because the store
// charges for each refused call.
func TestRefusedAnnouncementsBackOff(t *testing.T) {
	g := NewWithT(t)
	s := &refusingStore{}
	m := newMembers(s, slog.New(slog.DiscardHandler), member{Name: "one"})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	g.Expect(m.run(ctx)).To(Succeed())
	g.Expect(s.grants.Load()).To(BeNumerically("<=", 5))
	g.Expect(s.grants.Load()).To(BeNumerically(">=", 3), "it must be announced soon after the store accepts calls again")
}

// During a wave of reclaims, 67 daemons have no coordinator, and each change ends
// the poll of every daemon. Guards against daemons that poll as often as a
// coordinator, whose polls serve all daemons.
func TestDaemonsPollLessThanTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	d := newTestDaemon("one")
	g.Expect(d.currentFleetPollPause()).To(Equal(fallbackFleetPollPause))
	g.Expect(fallbackFleetPollPause).To(BeNumerically(">=", 2*coordinatorFleetPollPause))
	// A leaving instance must get no work later than 2 s after its notice.
	g.Expect(fallbackFleetPollPause).To(BeNumerically("<=", time.Second))
}
