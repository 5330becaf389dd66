package moves

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

const step = 250 * time.Millisecond

var operator = config.Actor{Account: "operator"}

// memoryStore is an in-memory store that can be made unavailable.
type memoryStore struct {
	store.Store // nil; provides the methods for leases and watches, which are not used
	mu          sync.Mutex
	down        bool
	revision    int64
	data        map[string]store.KeyValue
	writes      int
}

var errDown = errors.New("store is down")

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.KeyValue{}, errDown
	}
	kv := s.data[key]
	kv.Key = key
	return kv, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]store.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	var list []store.KeyValue
	for key, kv := range s.data {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return list, s.revision, nil
}

func (s *memoryStore) Txn(_ context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.TxnResult{}, errDown
	}
	answer := store.TxnResult{Succeeded: true}
	for _, c := range conditions {
		kv := s.data[c.Key]
		kv.Key = c.Key
		answer.Current = append(answer.Current, kv)
		answer.Succeeded = answer.Succeeded && kv.ModRevision == c.ModRevision
	}
	if answer.Succeeded {
		s.revision++
		s.writes++
		for _, op := range ops {
			if op.Delete {
				delete(s.data, op.Key)
				continue
			}
			s.data[op.Key] = store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: s.revision}
		}
	}
	answer.Revision = s.revision
	return answer, nil
}

// instance is the part of one daemon that handles moves.
type instance struct {
	*Manager
	member   membership.Member
	config   *config.Manager
	operator *config.OperatorService
	client   peerv1.PeerClient
	stop     func()
	killed   bool
	noGossip bool // gossip does not reach it
}

// fleet runs instances in one process with a fake clock.
type fleet struct {
	g      *gomega.WithT
	clock  *clockwork.FakeClock
	store  *memoryStore
	random *rand.Rand
	chart  *statechart.Chart

	mu            sync.Mutex
	instances     []*instance
	sent          map[string]int // requests to each version
	v2FailureRate float64        // fraction of the requests to v2 that fail
}

func newFleet(t testing.TB, n int) *fleet {
	const seed = 11
	t.Logf("seed=%d", seed)
	chart, err := statechart.Load(charts.Files, "move")
	f := &fleet{
		g: gomega.NewWithT(t), clock: clockwork.NewFakeClockAt(time.Now().Truncate(time.Second)), chart: chart,
		store: &memoryStore{data: make(map[string]store.KeyValue)}, random: rand.New(rand.NewPCG(seed, 0)), sent: make(map[string]int),
	}
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	for range n {
		f.add(t)
	}
	_, err = f.instances[0].operator.Apply(context.Background(), operator, baseObjects())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return f
}

func baseObjects() []*object.Object {
	put := func(name string, labels map[string]string, spec object.Spec) *object.Object {
		return &object.Object{Kind: spec.Kind(), Metadata: object.Metadata{Name: name, Labels: labels}, Spec: spec}
	}
	objects := []*object.Object{
		put("s", nil, &object.Service{Protocol: object.ProtocolOpenAI, SlowAfter: object.Duration(time.Second)}),
		put("r", nil, &object.Route{Service: "s", Shares: []object.Share{{Version: "v1", Percent: 100}}}),
	}
	for v := range 3 {
		version := fmt.Sprint("v", v+1)
		selector := object.Selector{MatchLabels: map[string]string{"version": version}}
		objects = append(objects, put(version, nil, &object.Version{Service: "s", Model: "m", Selector: version}),
			put(version, nil, &object.UpstreamSelector{Selector: selector}))
		for i := range 6 {
			objects = append(objects, put(fmt.Sprintf("%s-%d", version, i), selector.MatchLabels,
				&object.Upstream{Address: fmt.Sprintf("127.0.%d.%d:80", v, i+1), DataCentre: fmt.Sprint("dc", i%3)}))
		}
	}
	return objects
}

func (f *fleet) add(t testing.TB) *instance {
	n := len(f.instances)
	i := &instance{member: membership.Member{DaemonID: fmt.Sprint("d", n), PeerAddress: fmt.Sprint("peer", n), DataCentre: fmt.Sprint("dc", n%3), State: membership.Alive}}
	i.config = config.NewManager(config.Options{
		Store: f.store, Clock: f.clock, Logger: slog.New(slog.DiscardHandler), Broadcaster: broadcaster{f, i},
		Verdicts:   func() []*peerv1.Verdict { return i.Verdicts() },
		OnVerdicts: func(v []*peerv1.Verdict) { i.OnVerdicts(v) },
	})
	i.operator = config.NewOperatorService(i.config)
	i.Manager = New(Options{
		Clock: f.clock, Log: slog.New(slog.DiscardHandler), Self: i.member.DaemonID, Config: i.config.Current, Chart: f.chart,
		Ranked: f.ranked, Daemons: func() int { return len(f.alive()) }, Client: f.client,
		Broadcast: func(ctx context.Context, item *peerv1.Item) { broadcaster{f, i}.Broadcast(ctx, item) },
		Record: func(ctx context.Context, name string, generation int64, state object.MoveState, evidence string) error {
			_, err := i.operator.RecordOutcome(ctx, config.Actor{Account: "moves"}, name, generation, state, evidence)
			return err
		},
	})
	i.config.Subscribe(i.OnSnapshot)
	f.serve(t, i)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i
}

// serve serves the peer protocol of an instance over an in-memory connection.
func (f *fleet) serve(t testing.TB, i *instance) {
	listener := bufconn.Listen(1 << 20)
	server := grpc.NewServer(peer.ServerOptions()...)
	none := peerv1.UnimplementedPeerServer{}
	peerv1.RegisterPeerServer(server, &peer.Service{
		GossipHandler: none, OrderHandler: none, StreamHandler: none, ConfigHandler: i.config, EvidenceHandler: i.Manager,
	})
	go func() { _ = server.Serve(listener) }()
	connection, err := grpc.NewClient("passthrough:///"+i.member.PeerAddress, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	i.client = peerv1.NewPeerClient(connection)
	i.stop = sync.OnceFunc(func() { _ = connection.Close(); server.Stop() })
	t.Cleanup(i.stop)
}

func (f *fleet) kill(i *instance) {
	f.mu.Lock()
	i.killed = true
	f.mu.Unlock()
	i.stop()
}

func (f *fleet) alive() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *instance) bool { return i.killed })
}

func (f *fleet) ranked(key string, n int) []membership.Member {
	var members []membership.Member
	for _, i := range f.alive() {
		members = append(members, i.member)
	}
	return membership.NewOverlay("", members).Evaluators(key, n)
}

func (f *fleet) client(address string) (peerv1.PeerClient, error) {
	for _, i := range f.alive() {
		if i.member.PeerAddress == address {
			return i.client, nil
		}
	}
	return nil, errors.Errorf("no instance at %s", address)
}

// broadcaster delivers the broadcasts of one instance to the others.
type broadcaster struct {
	f    *fleet
	from *instance
}

func (s broadcaster) Broadcast(_ context.Context, item *peerv1.Item) {
	for _, i := range s.f.alive() {
		if i == s.from || i.noGossip {
			continue
		}
		i.config.HandleItem(item)
		i.HandleItem(item)
	}
}

// run advances the clock by d, sends rate requests per second to random instances,
// and returns the number of requests to v2.
func (f *fleet) run(d time.Duration, rate float64) int {
	before := f.sent["v2"]
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		f.clock.Advance(step)
		due := rate * step.Seconds()
		for n := int(due + f.random.Float64()); n > 0; n-- {
			f.request()
		}
		for _, i := range f.alive() {
			i.tick(context.Background())
		}
		for _, i := range f.alive() {
			i.work.Wait()
		}
		time.Sleep(100 * time.Microsecond) // for broadcasts, which run in the background
	}
	return f.sent["v2"] - before
}

func (f *fleet) request() {
	alive := f.alive()
	i := alive[f.random.IntN(len(alive))]
	shares := i.Shares("s", "r", []object.Share{{Version: "v1", Percent: 100}}, nil)
	x, version := 100*f.random.Float64(), ""
	for _, s := range shares {
		if x -= s.Percent; x < 0 && version == "" {
			version = s.Version
		}
	}
	f.sent[version]++
	n := f.random.IntN(6)
	i.Observe(proxy.Observation{
		Service: "s", Route: "r", Version: version, DataCentre: fmt.Sprint("dc", n%3), Upstream: fmt.Sprintf("%s-%d", version, n),
		Failed: version == "v2" && f.random.Float64() < f.v2FailureRate, Latency: 100 * time.Millisecond,
	})
}

// percent returns the percentage of v2 on each live instance.
func (f *fleet) percent() []float64 {
	var list []float64
	for _, i := range f.alive() {
		share := 0.0
		for _, s := range i.Shares("s", "r", []object.Share{{Version: "v1", Percent: 100}}, nil) {
			if s.Version == "v2" {
				share = s.Percent
			}
		}
		list = append(list, share)
	}
	return list
}

func (f *fleet) move(name, to string, length time.Duration) *object.Object {
	now := f.clock.Now()
	return &object.Object{Kind: object.KindMove, Metadata: object.Metadata{Name: name}, Spec: &object.Move{
		Service: "s", From: "v1", To: to, Start: now, Deadline: now.Add(length),
	}}
}

func (f *fleet) startMove(name string, length time.Duration) {
	_, err := f.instances[0].operator.StartMove(context.Background(), operator, f.move(name, "v2", length))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
}

func (f *fleet) state(i *instance, name string) object.MoveState {
	m, _, ok := object.Lookup[*object.Move](i.config.Current().Set, object.KindMove, name)
	f.g.Expect(ok).To(gomega.BeTrue())
	return m.State
}

// waitAdvancingClock waits for concurrent calls of operators and advances the fake
// clock meanwhile. A call whose commit conflicts with another one waits on that clock
// before it retries.
func (f *fleet) waitAdvancingClock(wait *sync.WaitGroup) {
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			f.clock.Advance(10 * time.Millisecond)
		}
	}
}
