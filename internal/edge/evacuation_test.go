package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/warmup"
)

const evacuationBound = 5 * time.Second

// evacuationTest is a daemon with ten instances in each of the data centres a, b and c.
// Its clock moves only for the evacuations; in a bubble of synctest, advance moves that of
// the warm-up with it.
type evacuationTest struct {
	*Daemon
	clock    time.Duration
	revision int64
}

func newEvacuationTest() *evacuationTest {
	t := &evacuationTest{Daemon: newTestDaemonWith("d", func(s *settings.Edge) {
		s.Bounds.Evacuation, s.Bounds.WarmupOverrun, s.Bounds.WarmupSlack = evacuationBound, 1, 5
	}), clock: bootclock.Now()}
	t.evacuations.now = func() time.Duration { return t.clock }
	for n, dataCentre := range []string{"a", "b", "c"} {
		for i := range 10 {
			t.instances.Put(fleet.Description{
				ID: fmt.Sprintf("%s%d", dataCentre, i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", n, i), DataCentre: dataCentre, Slots: 4,
			})
		}
	}
	return t
}

// advance moves both clocks. The caller runs in a bubble of synctest.
func (t *evacuationTest) advance(d time.Duration) {
	t.clock += d
	time.Sleep(d)
}

// change applies the given orders as the operators' whole state, known to be current now.
func (t *evacuationTest) change(dataCentres ...string) {
	t.revision++
	delta := mirror.Delta{Cursor: mirror.Cursor{Index: t.revision, Revision: t.revision}, Whole: true}
	for _, dataCentre := range dataCentres {
		key := "op/evacuate/" + dataCentre
		delta.Keys = append(delta.Keys, key)
		if _, known := t.state.operator.Get(key); !known {
			delta.Entries = append(delta.Entries, store.KeyValue{Key: key, Value: []byte("{}"), ModRevision: t.revision})
		}
	}
	t.state.operator.ApplyDelta(delta, t.clock, t.clock)
}

// picks returns the data centres of 200 picks of requests with a shared prompt, and those
// of the instances from which the prompts are copied.
func (t *evacuationTest) picks(g *WithT, excluded ...string) (picked, sources map[string]int) {
	picked, sources = map[string]int{}, map[string]int{}
	for i := range 200 {
		r, err := t.instances.Pick(fleet.Query{
			Service: "s", AffinityKey: fmt.Sprint("p", i), PromptTokens: 4000, SharedTokens: 3000, DataCentre: "a", Excluded: excluded,
		})
		g.Expect(err).NotTo(HaveOccurred())
		picked[r.DataCentre]++
		sources[r.PromptSource]++
		r.Release()
	}
	return picked, sources
}

// Guards against requests, retries and copies of prompts that reach an evacuated data
// centre, against an order that is forgotten while the store is silent, and against
// instances that stay withheld after it was taken back.
func TestEvacuationBindsPicksAndSources(t *testing.T) {
	g := NewWithT(t)
	d := newEvacuationTest()
	d.change()
	d.change("a")
	d.clock += evacuationBound / 4
	picked, _ := d.picks(g)
	g.Expect(picked["a"]).To(BeNumerically(">", 0), "the shift is gradual")
	d.clock += evacuationBound
	d.pollStore() // the store is down, and nobody forwards its entries
	for _, excluded := range [][]string{nil, {"b0", "b1", "c0"}} {
		picked, sources := d.picks(g, excluded...)
		g.Expect(picked).NotTo(HaveKey("a"))
		for i := range 10 {
			g.Expect(sources).NotTo(HaveKey(fmt.Sprintf("10.0.0.%d:80", i)))
		}
	}
	d.change()
	d.clock += evacuationReturnTime
	picked, _ = d.picks(g)
	g.Expect(picked["a"]).To(BeNumerically(">", 20))
}

// Guards against a daemon that learns of an order late, after a freeze or without a
// coordinator, and shifts as slowly as the others.
func TestEvacuationLearnedLate(t *testing.T) {
	g := NewWithT(t)
	d := newEvacuationTest()
	lastProof := d.clock - (evacuationBound - evacuationSendMargin)
	d.state.operator.SetRelayedCurrent(lastProof, lastProof)
	d.change("a")
	picked, _ := d.picks(g)
	g.Expect(picked).NotTo(HaveKey("a"))
}

// Guards against a daemon that starts and sends requests to a data centre whose
// evacuation was ordered before.
func TestEvacuationFoundAtTheStart(t *testing.T) {
	g := NewWithT(t)
	d := newEvacuationTest()
	d.change("b")
	picked, _ := d.picks(g)
	g.Expect(picked).NotTo(HaveKey("b"))
}

// Guards against a second data centre that is evacuated beside the first, and requests
// that wait for a deadline instead of being refused when no data centre is left.
func TestAllDataCentresEvacuated(t *testing.T) {
	g := NewWithT(t)
	d := newEvacuationTest()
	d.change("a", "b")
	picked, _ := d.picks(g)
	g.Expect(picked).To(And(HaveLen(1), HaveKey("c")))
	g.Expect(d.evacuatedInFull(fleet.Query{Service: "s"})).To(BeFalse())
	d.change("a", "b", "c")
	d.clock += evacuationBound
	_, err := d.instances.Pick(fleet.Query{Service: "s"})
	g.Expect(err).To(MatchError(fleet.ErrNoInstance))
	g.Expect(d.evacuatedInFull(fleet.Query{Service: "s"})).To(BeTrue())
	g.Expect(d.evacuatedInFull(fleet.Query{Service: "unknown"})).To(BeFalse())
	g.Expect(d.evacuations.count()).To(Equal(3))
}

// Guards against any effect in deployments without such orders.
func TestEvacuationIsOffWithoutItsBound(t *testing.T) {
	g := NewWithT(t)
	d := newTestDaemon("d")
	g.Expect(d.instances.Constraints).To(Equal([]fleet.Constraint{warmupRestraint{d.warmup}}), "only the one of cold instances")
	g.Expect(d.warmup.Active()).To(BeFalse())
	g.Expect(d.applyEvacuation(mirror.Change{KeyValue: store.KeyValue{Key: "op/evacuate/a"}})).To(BeTrue())
	g.Expect(d.evacuations.evacuated("a")).To(BeFalse())
	g.Expect(d.evacuatedInFull(fleet.Query{Service: "s"})).To(BeFalse())
	g.Expect(d.evacuations.count()).To(BeZero())
	g.Expect(d.applyEvacuation(mirror.Change{KeyValue: store.KeyValue{Key: "op/rollout/a"}})).To(BeFalse())
}

// Guards against a flood to instances that may have restarted while their data centre was
// evacuated, and against instances that stay restrained although their entries say since
// that they are warm.
func TestEvacuatedInstancesComeBackCold(t *testing.T) {
	synctest.Test(t, testEvacuatedInstancesComeBackCold)
}

func testEvacuatedInstancesComeBackCold(t *testing.T) {
	g := NewWithT(t)
	const rate, pickInterval = 16, time.Millisecond
	d := newEvacuationTest()
	d.members.size.record(1)
	d.state.table.Store(traffic.NewTable(1, nil, []*traffic.Service{{Name: "s", WarmupTime: time.Hour, WarmupRate: rate}}, nil, nil, traffic.Limits{}))
	announce := func(maxAge time.Duration) {
		for _, i := range d.instances.Snapshot("s") {
			d.warmup.Announced(warmup.Instance{ID: i.ID, Service: i.Service, DataCentre: i.DataCentre}, 0, true, maxAge)
		}
	}
	announce(0)
	d.change()
	d.change("a")
	d.advance(evacuationBound / 4)
	d.change()
	g.Expect(d.warmup.Cold()).To(BeZero(), "requests never ceased")
	d.change("a")
	d.advance(2 * evacuationBound)
	d.change()
	d.advance(evacuationReturnTime)
	g.Expect(d.warmup.Cold()).To(Equal(10))
	sent := map[string]int{}
	began := time.Now()
	for range 1000 {
		r, err := d.instances.Pick(fleet.Query{Service: "s", DataCentre: "a"})
		g.Expect(err).NotTo(HaveOccurred())
		sent[r.ID]++
		r.Release()
		d.advance(pickInterval)
	}
	share := 1 + rate*time.Since(began).Seconds()
	total := 0
	for i := range 10 {
		g.Expect(float64(sent[fmt.Sprint("a", i)])).To(BeNumerically("<=", share))
		total += sent[fmt.Sprint("a", i)]
	}
	g.Expect(total).To(BeNumerically(">", 0))
	announce(time.Hour)
	g.Expect(d.warmup.Cold()).To(Equal(10), "the entries may be from before")
	announce(0)
	g.Expect(d.warmup.Cold()).To(BeZero())
}
