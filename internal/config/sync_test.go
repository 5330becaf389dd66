package config

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

func commitUpstreams(g *gomega.WithT, m *Manager, from, to int) {
	for i := from; i < to; i++ {
		_, err := m.Commit(context.Background(), operator, put(upstream(i, nil)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Guards against loading from, or committing to, a store that was restored from an
// old backup or that holds another change at the same revision.
func TestStaleStoreIsRefusedAndReported(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	s := newFakeStore()
	m := newTestManager(s, nil)
	commitUpstreams(g, m, 0, 3)
	old, oldRevision := s.snapshot()
	commitUpstreams(g, m, 3, 5)
	current, currentRevision := s.snapshot()

	expectRefused := func(detail string) {
		before := m.Current()
		g.Expect(result.CodeOf(m.LoadStore(ctx))).To(gomega.Equal(result.StaleRevision))
		_, err := m.Commit(ctx, operator, put(upstream(9, nil)))
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StaleRevision))
		g.Expect(m.Current()).To(gomega.BeIdenticalTo(before))
		g.Expect(m.Status().Store.Stale).To(gomega.BeTrue())
		g.Expect(m.Status().Store.Detail).To(gomega.ContainSubstring(detail))
	}
	s.restore(old, oldRevision)
	expectRefused("head is at revision 3, behind revision 5 in force")
	s.restore(nil, 0)
	expectRefused("head is at revision 0, behind revision 5 in force")

	s.restore(old, oldRevision)
	fresh := newTestManager(s, nil)
	g.Expect(fresh.LoadStore(ctx)).To(gomega.Succeed())
	commitUpstreams(g, fresh, 10, 12)
	expectRefused("revision 5 was made by change")
	commitUpstreams(g, fresh, 12, 13)
	_, err := m.Commit(ctx, operator, put(upstream(9, nil)))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StaleRevision))
	g.Expect(m.Status().Store.Stale).To(gomega.BeTrue())

	s.restore(current, currentRevision)
	commitUpstreams(g, m, 5, 6)
	g.Expect(m.Status().Store.Stale).To(gomega.BeFalse())
	g.Expect(m.Current().Revision).To(gomega.Equal(int64(6)))
}

// Guards against a commit on top of stored objects that something other than a
// commit has changed.
func TestForeignWriteIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	m := newTestManager(s, nil)
	commitUpstreams(g, m, 0, 1)
	key := objectKey(upstream(0, nil).Ref())
	kv, _ := s.Get(context.Background(), key)
	_, _ = s.Txn(context.Background(), nil, []store.Op{{Key: key, Delete: true}})
	g.Expect(kv.ModRevision).NotTo(gomega.BeZero())
	_, err := m.Commit(context.Background(), operator, put(upstream(0, nil)))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StaleRevision))
}

// servePeer serves a manager's Fetch on a loopback address and returns a client.
func servePeer(t *testing.T, m *Manager) peerv1.PeerClient {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerv1.RegisterPeerServer(server, &peer.Service{ConfigHandler: m})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	pool := peer.NewPool(time.Minute, time.Now)
	t.Cleanup(pool.Close)
	client, err := pool.Client(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against changes that stay missing after a gap, are applied out of order or
// decrease the revision.
func TestGapIsFetchedFromPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	fan := &fanOut{}
	origin := newTestManager(newFakeStore(), fan)
	commitUpstreams(g, origin, 0, 10)
	client := servePeer(t, origin)
	follower := NewManager(Options{Store: newFakeStore(), Logger: discardLogger(),
		FetchPeer: func(context.Context) (peerv1.PeerClient, error) { return client, nil }})
	seen := make(chan int64, 100)
	follower.Subscribe(func(s *Snapshot) { seen <- s.Revision })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = follower.RunFetch(ctx) }()

	follower.HandleItem(fan.items[0])
	follower.HandleItem(fan.items[2]) // pending until its predecessor arrives
	g.Expect(follower.Current().Revision).To(gomega.Equal(int64(1)))
	follower.HandleItem(fan.items[1])
	g.Expect(follower.Current().Revision).To(gomega.Equal(int64(3)))
	follower.HandleItem(fan.items[0])
	g.Expect(follower.Current().Revision).To(gomega.Equal(int64(3)))
	follower.HandleItem(fan.items[9])
	g.Eventually(func() int64 { return follower.Current().Revision }, "5s").Should(gomega.Equal(int64(10)))
	g.Expect(follower.Current().Set.All()).To(gomega.HaveLen(10))
	for revision := range int64(11) {
		g.Eventually(seen, "5s").Should(gomega.Receive(gomega.Equal(revision)))
	}
	g.Expect(origin.FetchFrom(ctx, servePeer(t, newTestManager(newFakeStore(), nil)))).To(gomega.Succeed())
	g.Expect(origin.Current().Revision).To(gomega.Equal(int64(10)))
}

// Guards against a snapshot that is truncated to one message, and against applying
// a snapshot that is older than the configuration in force.
func TestSnapshotLargerThanOneChunk(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	objects := make([]*object.Object, 0, 12000)
	for i := range 12000 {
		objects = append(objects, upstream(i, map[string]string{"pool": "a", "rack": fmt.Sprint(i / 40)}))
	}
	origin := newTestManager(newFakeStore(), nil)
	origin.applySnapshot(NewSnapshot(object.NewSet(77, objects...), "c77"))
	client := servePeer(t, origin)
	stream, err := client.Fetch(ctx, &peerv1.FetchRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	chunks := 0
	for response, err := stream.Recv(); err == nil; response, err = stream.Recv() {
		if len(response.GetSnapshotChunk()) > 0 {
			chunks++
		}
	}
	g.Expect(chunks).To(gomega.BeNumerically(">", 1))
	follower := newTestManager(newFakeStore(), nil)
	g.Expect(follower.FetchFrom(ctx, client)).To(gomega.Succeed())
	g.Expect(follower.Current().Revision).To(gomega.Equal(int64(77)))
	g.Expect(follower.Current().ChangeID).To(gomega.Equal("c77"))
	g.Expect(follower.Current().Set.Len()).To(gomega.Equal(12000))
	follower.applySnapshot(NewSnapshot(object.NewSet(76), "c76"))
	g.Expect(follower.Current().Revision).To(gomega.Equal(int64(77)))
}

// Guards against a daemon without configuration that loads from, or commits to, an
// emptied store although its peers have a configuration in force.
func TestStoreBehindPeersIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newTestManager(newFakeStore(), nil)
	m.ObserveRevision(100)
	_, err := m.Commit(context.Background(), operator, put(upstream(9, nil)))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.StaleRevision))
	g.Expect(result.CodeOf(m.LoadStore(context.Background()))).To(gomega.Equal(result.StaleRevision))
	g.Expect(m.Status().Store.Detail).To(gomega.ContainSubstring("behind revision 100 of a peer"))
}

// Guards against a watch that misses changes of other daemons, does not recover from
// an outage or a compaction, runs although ShouldWatch returns false, or applies
// old data of a restored store.
func TestWatchFollowsStore(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	clock := clockwork.NewFakeClock()
	var watches atomic.Bool
	origin := newTestManager(s, nil)
	follower := NewManager(Options{Store: s, Clock: clock, Logger: discardLogger(), ShouldWatch: watches.Load})
	commitUpstreams(g, origin, 0, 3)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = follower.WatchStore(ctx) }()
	expectRevision := func(revision int64) {
		g.Eventually(func() int64 {
			clock.Advance(time.Second)
			return follower.Current().Revision
		}, "10s", "2ms").Should(gomega.Equal(revision))
	}
	g.Consistently(func() int64 {
		clock.Advance(time.Second)
		return follower.Current().Revision
	}, "50ms").Should(gomega.BeZero())
	watches.Store(true)
	expectRevision(3)
	commitUpstreams(g, origin, 3, 50)
	expectRevision(50)
	backup, revision := s.snapshot()

	s.endWatches(store.ErrCompacted)
	s.setFaults(func(string) error { return store.ErrUnavailable }, nil)
	g.Consistently(func() int64 {
		clock.Advance(time.Second)
		return follower.Current().Revision
	}, "50ms").Should(gomega.Equal(int64(50)))
	s.setFaults(nil, nil)
	commitUpstreams(g, origin, 50, 120)
	expectRevision(120)

	s.restore(backup, revision)
	g.Eventually(func() bool {
		clock.Advance(time.Second)
		return follower.Status().Store.Stale
	}, "10s", "2ms").Should(gomega.BeTrue())
	g.Expect(follower.Current().Revision).To(gomega.Equal(int64(120)))
	cancel()
	<-done
}
