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

// refusing is a store that turns the machine away.
type refusing struct {
	store.Store
	grants atomic.Int64
}

func (r *refusing) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	r.grants.Add(1)
	return 0, store.ErrUnavailable
}

// Pattern: the store turns a third of the daemons away for 9 s. Guards against
// announcements that are repeated at the pace of a single lost call: each one
// that is refused is charged.
func TestRefusedAnnouncementsBackOff(t *testing.T) {
	g := NewWithT(t)
	s := &refusing{}
	m := newMembers(s, slog.New(slog.DiscardHandler), member{Name: "one"})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	g.Expect(m.run(ctx)).To(Succeed())
	g.Expect(s.grants.Load()).To(BeNumerically("<=", 5))
	g.Expect(s.grants.Load()).To(BeNumerically(">=", 3), "it must be listed soon after the store's return")
}

// Pattern: a wave of reclaims while 67 daemons have no coordinator, each change
// of which ends every daemon's poll. Guards against polling at the pace of the
// coordinator, whose one poll serves all.
func TestDaemonsPollLessThanTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	d := newTestDaemon("one")
	g.Expect(d.fleetPause()).To(Equal(soloPause))
	g.Expect(soloPause).To(BeNumerically(">=", 2*fleetPause))
	// A leaving instance gets no work 2 s after its notice.
	g.Expect(soloPause).To(BeNumerically("<=", time.Second))
}
