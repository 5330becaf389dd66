package edge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
	l := &coordinatorLink{
		self: announced[self].Coordinator, members: m, peers: peers,
		avoidedUntil: map[string]time.Duration{}, vacated: make(chan struct{}, 1),
	}
	l.dial = l.dialPeer
	return l
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

// answering is a coordinator that answers reports until it is down.
type answering struct {
	coordinatorv1.UnimplementedCoordinatorServer
	down atomic.Bool
}

func (a *answering) Report(context.Context, *coordinatorv1.ReportRequest) (*coordinatorv1.ReportResponse, error) {
	if a.down.Load() {
		return nil, status.Error(codes.DeadlineExceeded, "no answer")
	}
	return &coordinatorv1.ReportResponse{Token: 1}, nil
}

// The coordinator's machine loses power. Guards against naming it to callers until its
// announcement ends.
func TestLostCoordinatorIsNotNamed(t *testing.T) {
	g := NewWithT(t)
	d := newTestDaemon("d05")
	announceFleet(t, d)
	coordinator := &answering{}
	d.link.dial = func(string) (coordinatorv1.CoordinatorClient, error) { return localClient{coordinator}, nil }
	d.link.setHolder("10.0.0.1:2")
	g.Expect(d.agent.Report(t.Context())).To(BeTrue())
	g.Expect(names(d.members.reachable())).To(ContainSubstring("d00"))
	coordinator.down.Store(true)
	g.Expect(d.agent.Report(t.Context())).To(BeFalse())
	g.Expect(names(d.members.reachable())).To(ContainSubstring("d00"), "it may answer the next report")
	g.Eventually(func() string {
		d.agent.Report(t.Context())
		return names(d.members.reachable())
	}, 3*time.Second, 50*time.Millisecond).ShouldNot(ContainSubstring("d00"))
	g.Expect(d.members.reachable()).To(HaveLen(28))
}
