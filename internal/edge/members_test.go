package edge

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	standin "github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
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

// leasingStore is a store that grants leases and records the calls.
type leasingStore struct {
	store.Store
	grants, renewals atomic.Int64
}

func (s *leasingStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return store.LeaseID(s.grants.Add(1)), nil
}

func (s *leasingStore) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	s.renewals.Add(1)
	return memberTTL, nil
}

func (s *leasingStore) Txn(context.Context, []store.Condition, []store.Op) (store.TxnResult, error) {
	return store.TxnResult{Succeeded: true}, nil
}

// Leases run out in an outage of the store that falls between two renewals. Guards
// against a daemon that is missing from the list until its next renewal.
func TestLapsedAnnouncementIsMadeAgain(t *testing.T) {
	g := NewWithT(t)
	s := &leasingStore{}
	m := newMembers(s, slog.New(slog.DiscardHandler), member{Name: "one"})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.run(ctx) }()
	g.Eventually(s.grants.Load).Should(Equal(int64(1)))
	time.Sleep(50 * time.Millisecond)
	m.remove(m.key())
	g.Eventually(s.grants.Load, time.Second).Should(Equal(int64(2)))
	g.Expect(s.renewals.Load()).To(BeZero(), "the renewal was not due")
}

// Guards against entries of other writers among the daemons.
func TestOddDaemonEntriesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	m := newMembers(nil, slog.New(slog.DiscardHandler), member{Name: "one"})
	sound := `{"name":"two","incarnation":1,"data_centre":"a","callers":"10.0.0.1:1","coordinator":"10.0.0.1:2","cpu_share":0.4,"link_mbps":10}`
	g.Expect(m.put(memberPrefix+"two", []byte(sound))).To(Succeed())
	g.Expect(m.put(memberPrefix+"three", []byte(sound))).NotTo(Succeed())
	for _, odd := range []string{
		`{"name":"two","callers":"10.0.0.1:70000","coordinator":"10.0.0.1:2"}`, `{"name":"two"}`, `[`, `"two"`,
		`{"name":"two","callers":"10.0.0.1:1","coordinator":"10.0.0.1:2","cpu_share":1e300}`,
		`{"name":"two","callers":"10.0.0.1:1","coordinator":"10.0.0.1:2","cpu_share":1e400}`,
		`{"name":"two","callers":"10.0.0.1:1","coordinator":"10.0.0.1:2","link_mbps":-1}`,
	} {
		g.Expect(m.put(memberPrefix+"two", []byte(odd))).NotTo(Succeed(), odd)
	}
	g.Expect(m.others()).To(HaveLen(1))
	g.Expect(m.others()[0].CPUShare).To(Equal(0.4))
}

// All daemons start at once, most of them on small machines. Guards against a call of
// each to the store for a duty that a large machine gets.
func TestSmallMachinesWaitBeforeTheyCampaign(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(standin.NewStore())
	t.Cleanup(server.Close)
	small := newTestDaemonOf("small", strings.TrimPrefix(server.URL, "http://"))
	large := newTestDaemonOf("large", strings.TrimPrefix(server.URL, "http://"))
	small.settings.CPUShare = immediateCampaignCPU / 2
	for _, d := range []*Daemon{small, large} {
		go func() { _ = d.state.fleet.Run(t.Context()) }()
		g.Eventually(d.state.fleet.Synced, 5*time.Second).Should(BeTrue())
		d.state.operator.SetRelayedCurrent(bootclock.Now(), bootclock.Now())
	}
	g.Expect(large.mayCampaign()).To(BeTrue())
	g.Expect(small.mayCampaign()).To(BeFalse())
	g.Eventually(small.mayCampaign, 2*time.Second).Should(BeTrue(), "no large machine has come")
}
