package placement

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/etcdv3"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
	enginestandin "github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	storestandin "github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

var chat = placement.Group{Service: "chat", Version: "v2"}

// snapshotWith returns a configuration in which version v2 serves the model.
func snapshotWith(model string) *config.Snapshot {
	labels := map[string]string{"version": "v2"}
	return config.NewSnapshot(object.NewSet(1,
		&object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: "chat"}, Spec: &object.Service{Protocol: object.ProtocolOpenAI}},
		&object.Object{Kind: object.KindUpstreamSelector, Metadata: object.Metadata{Name: "v2"},
			Spec: &object.UpstreamSelector{Selector: object.Selector{MatchLabels: labels}}},
		&object.Object{Kind: object.KindVersion, Metadata: object.Metadata{Name: "v2"},
			Spec: &object.Version{Service: "chat", Selector: "v2", Model: model}},
	), "change")
}

// fakeCloud lists fixed instances and records starts and stops.
type fakeCloud struct {
	cloud.Provider
	list   []cloud.Instance
	starts []string
	stops  []string
	down   bool
}

func (f *fakeCloud) err() error {
	if f.down {
		return errors.New("the cloud is down")
	}
	return nil
}

func (f *fakeCloud) List(context.Context) ([]cloud.Instance, error) { return f.list, f.err() }

func (f *fakeCloud) Offers(context.Context) ([]cloud.Offer, error) {
	return []cloud.Offer{{Class: "m", DataCentre: "dc1"}, {Class: "m", DataCentre: "dc2"}}, f.err()
}

func (f *fakeCloud) Start(_ context.Context, i cloud.Instance) (cloud.Instance, error) {
	f.starts = append(f.starts, i.Name)
	return i, f.err()
}

func (f *fakeCloud) Stop(_ context.Context, name string) error {
	f.stops = append(f.stops, name)
	return f.err()
}

// fakeObjects accepts all changes.
type fakeObjects struct{}

func (fakeObjects) Apply(context.Context, config.Actor, []*object.Object) (config.ApplyResult, error) {
	return config.ApplyResult{}, nil
}

func (fakeObjects) Delete(context.Context, config.Actor, object.Ref, int64) (int64, error) {
	return 0, nil
}

// pausedProcess is a process that is paused between its lease check and its control
// call. Its lease renewals hang while it is paused.
type pausedProcess struct {
	Engines
	lease.Backend
	mu        sync.Mutex
	paused    chan struct{} // closed when the process is paused
	resume    chan struct{} // closed when the process is resumed
	pauseNext bool
}

func (s *pausedProcess) Control(ctx context.Context, address string, order engine.ControlOrder) error {
	s.mu.Lock()
	pauseNext := s.pauseNext
	s.pauseNext = false
	s.mu.Unlock()
	if pauseNext {
		close(s.paused)
		<-s.resume
		ctx = context.WithoutCancel(ctx) // the call has already been sent
	}
	return s.Engines.Control(ctx, address, order)
}

func (s *pausedProcess) KeepAlive(ctx context.Context, id int64) (time.Duration, error) {
	select {
	case <-s.paused:
		<-s.resume
	default:
	}
	return s.Backend.KeepAlive(ctx, id)
}

func newDuty(l Lease, c cloud.Provider, e Engines, model string, clock clockwork.Clock) *Duty {
	directory := upstreams.New(upstreams.Options{Clock: clock, SubsetSize: 16})
	snapshot := snapshotWith(model)
	return New(Options{
		Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Lease: l, Cloud: c, Engines: e,
		Objects: fakeObjects{}, Directory: directory, Config: func() *config.Snapshot { return snapshot },
		Admission: func() admission.Stats { return admission.Stats{} }, Daemons: func() int { return 1 },
		Limits: placement.DefaultLimits(),
	})
}

func newHolder(b lease.Backend, id string) *lease.Holder {
	return lease.New(lease.Config{Backend: b, Duty: Name, Key: LeaseKey, DaemonID: id, TTL: 3 * time.Second,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

// run runs a holder until the returned function is called.
func run(h *lease.Holder) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Run(ctx) }()
	return func() { cancel(); <-done }
}

func startEngines(t *testing.T, options ...enginestandin.Options) ([]*enginestandin.Server, *fakeCloud) {
	c := &fakeCloud{}
	var engines []*enginestandin.Server
	for n, o := range options {
		e := enginestandin.New(o)
		NewWithT(t).Expect(e.Start("127.0.0.1:0")).To(Succeed())
		t.Cleanup(e.Close)
		engines = append(engines, e)
		c.list = append(c.list, cloud.Instance{Name: chat.InstanceName(n + 1), Class: "m", DataCentre: fmt.Sprint("dc", n+1),
			Address: e.Address(), State: cloud.StateRunning})
	}
	return engines, c
}

func newEngine(t *testing.T) Engines {
	client, err := upstreamhttp.New(time.Second)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return engine.NewOpenAI(client)
}

// Guards against an outdated order of a holder that was paused for longer than its
// lease. An engine that ignores fencing tokens accepts the order; the test shows
// that the present holder corrects it after the next reading of the control state.
func TestOutdatedOrderAfterPause(t *testing.T) {
	for _, ignoresFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("engine ignores fencing tokens %t", ignoresFencing), func(t *testing.T) {
			t.Parallel()
			testOutdatedOrder(t, ignoresFencing)
		})
	}
}

func testOutdatedOrder(t *testing.T, ignoresFencing bool) {
	g := NewWithT(t)
	kv := storestandin.New(storestandin.Options{})
	g.Expect(kv.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(kv.Close)
	client, err := etcdv3.New(etcdv3.Options{Addresses: []string{kv.Address()}, Timeout: time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = client.Close() })
	engines, c := startEngines(t, enginestandin.Options{Model: "base", Version: "v2", IgnoreFencing: ignoresFencing})
	first := &pausedProcess{Engines: newEngine(t), Backend: store.LeaseBackend{Store: client},
		paused: make(chan struct{}), resume: make(chan struct{}), pauseNext: true}
	firstHolder, secondHolder := newHolder(first, "first"), newHolder(store.LeaseBackend{Store: client}, "second")
	stopFirst := run(firstHolder)
	g.Eventually(firstHolder.Valid, "10s").Should(BeTrue())
	firstToken := firstHolder.Token()
	firstDone := make(chan struct{})
	go func() {
		defer close(firstDone)
		newDuty(firstHolder, c, first, "outdated", clockwork.NewRealClock()).cycle(context.Background())
	}()
	g.Eventually(first.paused, "5s").Should(BeClosed())

	defer run(secondHolder)()
	g.Eventually(secondHolder.Valid, "15s").Should(BeTrue())
	g.Expect(firstHolder.Valid()).To(BeFalse(), "two holders are valid at once")
	g.Expect(secondHolder.Token()).To(BeNumerically(">", firstToken))
	clock := clockwork.NewFakeClock()
	second := newDuty(secondHolder, c, newEngine(t), "present", clock)
	second.cycle(context.Background())
	g.Expect(engines[0].ControlState().Model).To(Equal("present"))
	second.cycle(context.Background())

	close(first.resume)
	g.Eventually(firstDone, "10s").Should(BeClosed())
	stopFirst()
	state := engines[0].ControlState()
	if !ignoresFencing {
		g.Expect(state.Model).To(Equal("present"))
		g.Expect(state.Outdated).To(HaveLen(1))
		return
	}
	g.Expect(state.Model).To(Equal("outdated"), "this engine accepts the outdated order")
	second.cycle(context.Background())
	g.Expect(engines[0].ControlState().Model).To(Equal("outdated"), "corrected only after the next reading of the control state")
	clock.Advance(recheckInterval)
	second.cycle(context.Background())
	g.Expect(engines[0].ControlState().Model).To(Equal("present"))
}

// fakeLease is a lease that is held while its token is not 0.
type fakeLease struct{ value int64 }

func (t *fakeLease) Token() int64 { return t.value }

// Guards against actions without a valid lease or while the cloud is down.
func TestNoActionsWithoutLeaseOrCloud(t *testing.T) {
	g := NewWithT(t)
	engines, c := startEngines(t, enginestandin.Options{Model: "base", Version: "v2"})
	l := &fakeLease{}
	d := newDuty(l, c, newEngine(t), "present", clockwork.NewFakeClock())
	d.cycle(context.Background())
	g.Expect(engines[0].ControlState().Accepted).To(BeEmpty(), "no lease")
	l.value, c.down = 7, true
	d.cycle(context.Background())
	g.Expect(engines[0].ControlState().Accepted).To(BeEmpty(), "the cloud is down")
	c.down = false
	state, err := d.readState(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	actions := d.planner.Plan(state)
	g.Expect(actions).NotTo(BeEmpty())
	l.value = 8
	for _, a := range actions {
		g.Expect(d.execute(context.Background(), a)).To(BeFalse(), "planned under an earlier lease")
	}
	g.Expect(engines[0].ControlState().Accepted).To(BeEmpty())
	g.Expect(c.starts).To(BeEmpty())
	l.value = 7
	for _, a := range actions {
		g.Expect(d.execute(context.Background(), a)).To(BeTrue())
	}
	accepted := engines[0].ControlState().Accepted
	g.Expect(accepted).To(HaveLen(1))
	g.Expect(accepted[0].FencingToken).To(BeEquivalentTo(7))
	g.Expect(c.stops).To(BeEmpty())
}

// Guards against the stop of an instance that got requests after the plan was made,
// and against upstream labels that match the selector of another version as well.
func TestStopChecksLoadAndLabelsAreUnique(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCloud{}
	d := newDuty(&fakeLease{7}, c, busyEngine{}, "present", clockwork.NewFakeClock())
	d.token = 7
	i := placement.Instance{Name: chat.InstanceName(1), Group: chat, Address: "127.0.0.1:1", DrainedAt: time.Now()}
	g.Expect(d.dispatch(context.Background(), placement.Action{Kind: placement.Stop, Instance: i})).To(MatchError(errBusy))
	g.Expect(c.stops).To(BeEmpty())
	labels, err := labelsFor(snapshotWith("m"), chat)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(labels).To(Equal(map[string]string{"version": "v2"}))
	all := snapshotWith("m").Set.All()
	all = append(all, &object.Object{Kind: object.KindUpstreamSelector, Metadata: object.Metadata{Name: "all"}, Spec: &object.UpstreamSelector{}},
		&object.Object{Kind: object.KindVersion, Metadata: object.Metadata{Name: "v3"}, Spec: &object.Version{Service: "chat", Selector: "all"}})
	_, err = labelsFor(config.NewSnapshot(object.NewSet(1, all...), ""), chat)
	g.Expect(err).To(MatchError(ContainSubstring("v3")))
}

// Guards against a new version without capacity when its traffic share rises, and
// against waiting requests that are attributed to idle versions.
func TestDemands(t *testing.T) {
	g := NewWithT(t)
	d := newDuty(&fakeLease{7}, &fakeCloud{}, busyEngine{}, "m", clockwork.NewFakeClock())
	d.options.Admission = func() admission.Stats { return admission.Stats{Waiting: 3} }
	d.options.Daemons = func() int { return 2 }
	labels := map[string]string{"version": "v3"}
	all := snapshotWith("m").Set.All()
	all = append(all,
		&object.Object{Kind: object.KindUpstreamSelector, Metadata: object.Metadata{Name: "v3"},
			Spec: &object.UpstreamSelector{Selector: object.Selector{MatchLabels: labels}}},
		&object.Object{Kind: object.KindVersion, Metadata: object.Metadata{Name: "v3"}, Spec: &object.Version{Service: "chat", Selector: "v3"}},
		&object.Object{Kind: object.KindRoute, Metadata: object.Metadata{Name: "r"},
			Spec: &object.Route{Service: "chat", Shares: []object.Share{{Version: "v2", Percent: 100}}}})
	for _, name := range []string{"a", "b"} {
		all = append(all, &object.Object{Kind: object.KindUpstream, Metadata: object.Metadata{Name: name, Labels: map[string]string{"version": "v2"}},
			Spec: &object.Upstream{Address: "127.0.0.1:1", DataCentre: "dc1"}})
	}
	usage := map[string]upstreams.Usage{"a": {Name: "a", InFlight: 2, Reported: 5}} // this daemon does not use b
	snapshot := config.NewSnapshot(object.NewSet(1, all...), "")
	want := []placement.Demand{{Group: chat, SlotsInUse: 10, Waiting: 6, Floor: 1}, {Group: placement.Group{Service: "chat", Version: "v3"}}}
	g.Expect(d.demands(snapshot, managedGroups(snapshot), usage)).To(Equal(want))
	all = append(all, &object.Object{Kind: object.KindMove, Metadata: object.Metadata{Name: "m"},
		Spec: &object.Move{Service: "chat", From: "v2", To: "v3", State: object.MoveOpen}})
	snapshot = config.NewSnapshot(object.NewSet(1, all...), "")
	want[1].Offered = 16
	g.Expect(d.demands(snapshot, managedGroups(snapshot), usage)).To(Equal(want))
}

type busyEngine struct{ Engines }

func (busyEngine) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{Running: 1, Known: true}, nil
}
