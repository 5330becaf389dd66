package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network simulates a partition: only addresses on the same side can reach each
// other.
type network struct {
	mu    sync.Mutex
	sides map[string]string // name of the side by address; absent means the main side
}

func (n *network) setSide(side string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.sides[a] = side
	}
}

func (n *network) reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sides[from] == n.sides[to]
}

// daemon is one member with a real gRPC server and connection pool.
type daemon struct {
	*gossip.Gossip
	address        string
	pool           *peer.Pool
	server         *grpc.Server
	stop           func()
	frozen         sync.RWMutex // held for writing while the daemon is frozen
	mu             sync.Mutex
	items          []*peerv1.Item
	declaredDead   []membership.Member
	newerRevisions []int64
	shutdown       sync.Once
}

func (d *daemon) received() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.items)
}

func (d *daemon) declaredDeadCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.declaredDead)
}

// outgoing delays calls of a frozen daemon until it resumes, and fails calls to
// the other side of a partition after the time-out.
func (d *daemon) outgoing(n *network) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		d.frozen.RLock()
		d.frozen.RUnlock() //nolint:staticcheck // waits until the daemon resumes
		if !n.reachable(d.address, cc.Target()[len("passthrough:///"):]) {
			<-ctx.Done()
			return status.FromContextError(ctx.Err()).Err()
		}
		return invoker(ctx, method, req, reply, cc, opts...)
	}
}

// incoming delays calls to a frozen daemon until it resumes.
func (d *daemon) incoming(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	d.frozen.RLock()
	d.frozen.RUnlock() //nolint:staticcheck // waits until the daemon resumes
	if ctx.Err() != nil {
		return nil, status.Error(codes.DeadlineExceeded, "daemon resumed after the deadline")
	}
	return handler(ctx, req)
}

func start(t *testing.T, n *network, name, dataCentre, address string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{address: listener.Addr().String()}
	pool := peer.NewPool(time.Minute, time.Now, grpc.WithUnaryInterceptor(d.outgoing(n)))
	d.pool = pool
	d.Gossip = gossip.New(gossip.Config{
		Self: membership.Member{
			DaemonID: uuid.NewString(), Name: name, PeerAddress: d.address,
			HTTPAddress: name + ":80", DataCentre: dataCentre, Region: "r",
		},
		Seeds:             seeds,
		Pool:              pool,
		Logger:            slog.New(slog.DiscardHandler),
		ReconnectInterval: 2 * time.Second,
	})
	d.OnItem(func(i *peerv1.Item) { d.mu.Lock(); defer d.mu.Unlock(); d.items = append(d.items, i) })
	d.OnDeclaredDead(func(m membership.Member) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.declaredDead = append(d.declaredDead, m)
	})
	d.OnNewerConfig(func(_ string, r int64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.newerRevisions = append(d.newerRevisions, r)
	})
	d.server = grpc.NewServer(grpc.UnaryInterceptor(d.incoming))
	peerv1.RegisterPeerServer(d.server, &peer.Service{GossipHandler: d.Gossip})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = d.server.Serve(listener) })
	running.Go(func() { _ = d.Run(ctx) })
	d.stop = func() {
		d.shutdown.Do(func() {
			cancel()
			d.server.Stop()
			running.Wait()
			pool.Close()
		})
	}
	t.Cleanup(d.stop)
	return d
}

func newNetwork() *network { return &network{sides: make(map[string]string)} }

// fleet starts n members, spread over three data centres.
func fleet(t *testing.T, net *network, n int) []*daemon {
	t.Helper()
	var daemons []*daemon
	var seeds []string
	for i := range n {
		d := start(t, net, fmt.Sprintf("d%d", i), fmt.Sprintf("dc%d", i%3), "127.0.0.1:0", seeds...)
		seeds = append(seeds, d.address)
		daemons = append(daemons, d)
	}
	eventually(t, 5*time.Second, func() bool { return agree(daemons, n) })
	return daemons
}

// agree reports whether all daemons see exactly n alive members.
func agree(daemons []*daemon, n int) bool {
	for _, d := range daemons {
		if count(d, membership.Alive) != n {
			return false
		}
	}
	return true
}

func count(d *daemon, state membership.State) int {
	n := 0
	for _, m := range d.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

func eventually(t *testing.T, timeout time.Duration, condition func() bool) {
	t.Helper()
	gomega.NewWithT(t).Eventually(condition, timeout, 20*time.Millisecond).Should(gomega.BeTrue())
}

// Guards against members that don't find each other through one seed, and against
// items that don't reach every member or are reported to a member twice.
func TestThreeMembersShareItems(t *testing.T) {
	daemons := fleet(t, newNetwork(), 3)
	item := &peerv1.Item{Kind: &peerv1.Item_Verdict{Verdict: &peerv1.Verdict{
		Move: "m", Generation: 1, Outcome: "done", DecidedUnixMs: time.Now().UnixMilli(),
	}}}
	for range 2 {
		if err := daemons[0].Broadcast(t.Context(), item); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, 2*time.Second, func() bool { return daemons[1].received() == 1 && daemons[2].received() == 1 })
	time.Sleep(1500 * time.Millisecond) // longer than a probe round, which must not report the item again
	if daemons[0].received() != 0 || daemons[1].received() != 1 || daemons[2].received() != 1 {
		t.Error("an item was reported more than once or to its origin")
	}
}

// Guards against an unanswered join request closing a connection on which other
// parts of the daemon have calls.
func TestFailedJoinKeepsOtherCallsOnConnection(t *testing.T) {
	network := newNetwork()
	silent := start(t, network, "silent", "dc0", "127.0.0.1:0")
	silent.frozen.Lock()
	d := start(t, network, "d", "dc1", "127.0.0.1:0", silent.address)
	client, err := d.pool.Client(silent.address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer := make(chan error, 1)
	go func() {
		_, err := client.Probe(ctx, &peerv1.ProbeRequest{})
		answer <- err
	}()
	time.Sleep(2 * time.Second) // several attempts to join
	silent.frozen.Unlock()
	if err := <-answer; err != nil {
		t.Errorf("call on the same connection failed: %v", err)
	}
}
