package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/platform"
)

// sharedStore is the store of a fleet in one process. It counts calls, and refuses
// those of some daemons.
type sharedStore struct {
	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	revision int64
	items    map[string]store.KeyValue
	events   []store.Event
	leases   map[store.LeaseID]time.Time // until when they last
	calls    map[string]int              // by kind
	refused  map[string]bool
}

func newSharedStore() *sharedStore {
	return &sharedStore{
		changed: make(chan struct{}), items: map[string]store.KeyValue{}, calls: map[string]int{}, refused: map[string]bool{},
		leases: map[store.LeaseID]time.Time{},
	}
}

// expire ends leases until ctx ends.
func (s *sharedStore) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, until := range s.leases {
			if time.Now().After(until) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a lease and deletes its entries. The caller holds the lock.
func (s *sharedStore) end(id store.LeaseID) {
	delete(s.leases, id)
	for key, kv := range s.items {
		if kv.Lease == id {
			s.write(key, nil, 0)
		}
	}
}

// refuse sets the daemons whose calls are refused.
func (s *sharedStore) refuse(daemons ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = map[string]bool{}
	for _, d := range daemons {
		s.refused[d] = true
	}
	close(s.changed) // polls that wait are refused too
	s.changed = make(chan struct{})
}

// takeCalls returns the calls by kind since the last time, and their sum.
func (s *sharedStore) takeCalls() (sum int, byKind map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKind, s.calls = s.calls, map[string]int{}
	for _, n := range byKind {
		sum += n
	}
	return sum, byKind
}

// write changes an entry, or deletes it if value is nil. The caller holds the lock.
func (s *sharedStore) write(key string, value []byte, lease store.LeaseID) {
	s.revision++
	kv := store.KeyValue{Key: key, Value: value, ModRevision: s.revision, Lease: lease}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = kv
	}
	s.events = append(s.events, store.Event{KeyValue: kv, Deleted: value == nil})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// storeClient is the store as one daemon sees it.
type storeClient struct {
	*sharedStore
	daemon string
}

// begin counts a call and refuses it if the daemon is refused. It returns with the lock.
func (c storeClient) begin(kind string) error {
	c.mu.Lock()
	c.calls[kind]++
	if c.refused[c.daemon] {
		return store.ErrUnavailable
	}
	return nil
}

func (c storeClient) Get(_ context.Context, key string) (store.KeyValue, error) {
	err := c.begin("get")
	defer c.mu.Unlock()
	return c.items[key], err
}

func (c storeClient) List(_ context.Context, prefix string) ([]store.KeyValue, int64, error) {
	err := c.begin("list")
	defer c.mu.Unlock()
	var list []store.KeyValue
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, c.items[key])
		}
	}
	return list, c.revision, err
}

func (c storeClient) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	err := c.begin("poll")
	timeout := time.After(wait)
	for {
		var events []store.Event
		for _, e := range c.events {
			if e.ModRevision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		changed, revision, refused := c.changed, c.revision, c.refused[c.daemon]
		c.mu.Unlock()
		switch {
		case err != nil || refused:
			return nil, 0, store.ErrUnavailable
		case len(events) > 0:
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, store.ErrUnavailable
		case <-timeout:
			return nil, revision, nil
		case <-changed:
		}
		c.mu.Lock()
	}
}

func (c storeClient) Txn(_ context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	err := c.begin("txn")
	defer c.mu.Unlock()
	if err != nil {
		return store.TxnResult{}, err
	}
	for _, condition := range conditions {
		if current := c.items[condition.Key]; current.ModRevision != condition.ModRevision {
			return store.TxnResult{Current: []store.KeyValue{current}}, nil
		}
	}
	for _, op := range ops {
		c.write(op.Key, op.Value, op.Lease)
	}
	return store.TxnResult{Succeeded: true, Revision: c.revision}, nil
}

func (c storeClient) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	err := c.begin("grant")
	defer c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	c.revision++
	id := store.LeaseID(c.revision)
	c.leases[id] = time.Now().Add(ttl)
	return id, nil
}

func (c storeClient) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	err := c.begin("renewal")
	defer c.mu.Unlock()
	if _, lasts := c.leases[id]; err == nil && !lasts {
		err = store.ErrLeaseExpired
	}
	if err != nil {
		return 0, err
	}
	ttl := memberTTL
	if c.items[dutyKey].Lease == id {
		ttl = minLeaseTTL
	}
	c.leases[id] = time.Now().Add(ttl)
	return ttl, nil
}

func (c storeClient) Revoke(_ context.Context, id store.LeaseID) error {
	err := c.begin("revoke")
	defer c.mu.Unlock()
	if err == nil {
		c.end(id)
	}
	return err
}

func (c storeClient) Watch(context.Context, string, int64) <-chan store.WatchBatch { return nil }

func (c storeClient) Close() error { return nil }

// newFleet returns daemons on large and small machines in five data centres that share
// a store, and call each other without a network. Calls of a daemon in stopped fail.
func newFleet(t *testing.T, n int, shared *sharedStore, stopped *sync.Map, change ...func(*settings.Edge)) []*Daemon {
	t.Helper()
	return newFleetOn(t, n, func(name string) mirror.Poller { return storeClient{shared, name} }, stopped, change...)
}

// newFleetOn is newFleet with the client of the store for each daemon.
func newFleetOn(t *testing.T, n int, client func(name string) mirror.Poller, stopped *sync.Map, change ...func(*settings.Edge)) []*Daemon {
	t.Helper()
	byAddress := map[string]*Daemon{}
	daemons := make([]*Daemon, n)
	for i := range n {
		s := &settings.Edge{
			Name: fmt.Sprintf("d%03d", i), DataCentre: string(rune('a' + i%5)), CPUShare: 0.2, MemoryMB: 160,
			CallersAddress:     fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1),
			CoordinatorAddress: fmt.Sprintf("10.0.%d.%d:2", i/200, i%200+1),
			Bounds: settings.Bounds{
				KeyRevocation: 5 * time.Second, Grace: 8 * time.Second, UsageWindow: 5 * time.Second,
				RetryWindow: 10 * time.Second, LeaveTime: 4 * time.Second, Lease: 3 * time.Second, Contact: 5 * time.Second,
			},
		}
		if i < 10 {
			s.CPUShare = 0.8
		}
		for _, f := range change {
			f(s)
		}
		d := New(s, Platform{
			Store: client(s.Name), Cloud: platform.NewCloud("127.0.0.1:4", s.Name), Reader: platform.Reader{},
			Headers: platform.Headers{}, Ready: platform.ReadyHandler, Directory: platform.DirectoryHandler,
		}, slog.New(slog.DiscardHandler))
		d.link.dial = func(address string) (coordinatorv1.CoordinatorClient, error) {
			other := byAddress[address]
			if _, down := stopped.Load(address); down || other == nil {
				return nil, status.Error(codes.Unavailable, "down")
			}
			return localClient{coordinatorServer{other.coordinator, other}}, nil
		}
		byAddress[s.CoordinatorAddress] = d
		daemons[i] = d
	}
	return daemons
}

// runForTest starts the duties that follow the store.
func (d *Daemon) runForTest(ctx context.Context) {
	for _, run := range []func(context.Context) error{
		d.state.operator.Run, d.state.fleet.Run, d.agent.Run, d.followReaders, d.holder.Run, d.announce, d.keepGeneration,
	} {
		go func() { _ = run(ctx) }() // ends with ctx
	}
}

func instanceEntry(state string) []byte {
	entry, err := json.Marshal(map[string]any{
		"service": "s", "addr": "10.1.0.1:80", "zone": "a", "configVer": "v1", "slots": 1, "state": state, "born": 1,
	})
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	return entry
}

// knowLeaving counts the daemons that know that the instance is leaving.
func knowLeaving(daemons []*Daemon) int {
	count := 0
	for _, d := range daemons {
		for _, i := range d.instances.Snapshot("") {
			if i.Leaving {
				count++
			}
		}
	}
	return count
}

// Patterns platform_down (nodes, leader) and platform_down (reset) on 100 daemons.
// Guards against calls to the store in proportion to the number of daemons while the
// store refuses the coordinator, or is down for all, and against daemons that learn too
// late of a leaving instance.
func TestStoreCallsOfALargeFleet(t *testing.T) {
	g := NewWithT(t)
	const n = 100
	shared := newSharedStore()
	shared.put("op/config", []byte(`{"configVer":1,"routes":[],"services":[{"name":"s"}]}`))
	shared.put("servers/i1", instanceEntry("ready"))
	var stopped sync.Map
	daemons := newFleet(t, n, shared, &stopped)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go shared.expire(ctx)
	for _, d := range daemons {
		d.runForTest(ctx)
	}
	coordinator := func() *Daemon {
		for _, d := range daemons {
			if d.holder.Valid() {
				return d
			}
		}
		return nil
	}
	current := func() bool {
		for _, d := range daemons {
			age, _ := d.state.operator.Age()
			if d.members.count() != n || age > 1500*time.Millisecond {
				return false
			}
		}
		return true
	}
	g.Eventually(current, 10*time.Second, 50*time.Millisecond).Should(BeTrue())
	start, byKind := shared.takeCalls()
	t.Logf("start: %d calls %v", start, byKind)
	g.Expect(start).To(BeNumerically("<=", 10*n))

	time.Sleep(readingTime + 500*time.Millisecond) // readers of the start end their polls
	shared.takeCalls()
	time.Sleep(3 * time.Second)
	calm, byKind := shared.takeCalls()
	t.Logf("3 s of calm: %d calls %v", calm, byKind)
	g.Expect(calm-byKind["renewal"]).To(BeNumerically("<=", 3*8), "only the coordinator polls")

	shared.refuse(coordinator().settings.Name)
	time.Sleep(time.Second)
	shared.put("servers/i1", instanceEntry("draining"))
	told := time.Now()
	g.Eventually(func() int { return knowLeaving(daemons) }, 10*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", n-1))
	g.Expect(time.Since(told)).To(BeNumerically("<", 3*time.Second), "minLeaveTimeForReaders")
	time.Sleep(3 * time.Second)
	refused, byKind := shared.takeCalls()
	t.Logf("coordinator refused: %d calls %v", refused, byKind)
	g.Expect(refused - byKind["renewal"]).To(BeNumerically("<=", 3*n))
	shared.refuse()
	g.Eventually(current, 10*time.Second, 50*time.Millisecond).Should(BeTrue())
	shared.takeCalls()

	var all []string
	for _, d := range daemons {
		all = append(all, d.settings.Name)
	}
	shared.refuse(all...)
	time.Sleep(4 * time.Second)
	shared.refuse()
	returned := time.Now()
	g.Eventually(current, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
	t.Logf("all are current %v after the return", time.Since(returned))
	down, byKind := shared.takeCalls()
	t.Logf("store down for 4 s: %d calls %v", down, byKind)
	g.Expect(down - byKind["renewal"]).To(BeNumerically("<=", 8*n))
}
