package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
)

// newTestLink returns the link of the daemon with index self, among two daemons on
// large machines and five on small ones.
func newTestLink(t *testing.T, self int) *coordinatorLink {
	t.Helper()
	announced := machines(2, 5)
	for i := range announced {
		announced[i].Coordinator = announced[i].Name + ":1"
	}
	m := newMembers(nil, slog.New(slog.DiscardHandler), announced[self])
	for _, other := range announced {
		m.announced[memberPrefix+other.Name] = other
	}
	peers := peer.NewPool(time.Minute, time.Now)
	t.Cleanup(peers.Close)
	return &coordinatorLink{
		self: announced[self].Coordinator, members: m, peers: peers,
		avoidedUntil: map[string]time.Duration{}, vacated: make(chan struct{}, 1),
	}
}

// Guards against daemons that choose different deputies, against a deputy on a
// small machine while a large one is available, and against choosing the
// coordinator that was lost or a deputy that didn't answer.
func TestDeputyIsTheSameEverywhere(t *testing.T) {
	g := NewWithT(t)
	address := func(l *coordinatorLink) string {
		_, address, ok := l.Deputy()
		g.Expect(ok).To(BeTrue())
		return address
	}
	links := []*coordinatorLink{newTestLink(t, 0), newTestLink(t, 1), newTestLink(t, 6)}
	large := []string{links[0].self, links[1].self}
	first := address(links[0])
	g.Expect(large).To(ContainElement(first))
	var second string
	for _, l := range links {
		g.Expect(address(l)).To(Equal(first))
		l.setHolder(first)
		l.setHolder("")
		second = address(l)
		g.Expect(large).To(ContainElement(second))
		g.Expect(second).NotTo(Equal(first))
	}
	links[2].AvoidDeputy(second)
	g.Expect(large).NotTo(ContainElement(address(links[2])))
	links[2].avoidedUntil[second] = bootclock.Now() - time.Second
	g.Expect(address(links[2])).To(Equal(second))
}

// grantingDeputy is a coordinator that only implements BorrowPooled, and grants
// all units.
type grantingDeputy struct {
	coordinatorv1.UnimplementedCoordinatorServer
}

func (grantingDeputy) BorrowPooled(_ context.Context, r *coordinatorv1.BorrowRequest) (*coordinatorv1.BorrowResponse, error) {
	return &coordinatorv1.BorrowResponse{Units: r.Units}, nil
}

// Guards against a daemon that calls itself over the network when it is the
// deputy.
func TestOwnDeputyIsLocal(t *testing.T) {
	g := NewWithT(t)
	l := newTestLink(t, 0)
	l.local = grantingDeputy{}
	l.AvoidDeputy(newTestLink(t, 1).self)
	client, address, ok := l.Deputy()
	g.Expect(ok).To(BeTrue())
	g.Expect(address).To(Equal(l.self))
	response, err := client.BorrowPooled(t.Context(), &coordinatorv1.BorrowRequest{Units: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Units).To(Equal(3.0))
}
