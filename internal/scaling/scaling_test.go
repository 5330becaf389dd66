package scaling_test

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloudduty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/scaling"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

var bounds = &traffic.Scaling{
	Min: 1, Max: 12, BootTime: 4 * time.Second, SpotFactor: 0.18,
	Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1.0},
}

// Guards against a reclaim of one data centre leaving less than the load needs.
func TestPlanSurvivesTheLossOfADataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := rapid.IntRange(3, 20).Draw(t, "need")
		ready, kept := map[string]int{}, map[string]int{}
		for _, c := range []string{"a", "b", "c"} {
			ready[c] = rapid.IntRange(0, 8).Draw(t, "ready "+c)
			kept[c] = rapid.IntRange(0, 12).Draw(t, "kept "+c)
		}
		dry := rapid.Bool().Draw(t, "dry")
		plan := scaling.Plan(scaling.DefaultPolicy(), scaling.Situation{
			Scaling: bounds, Need: need, Ready: ready, Ordered: ready, Kept: kept, Dry: dry,
		})
		floor, most, sum := 0, 0, 0
		for place, n := range plan {
			if !place.Reclaimable {
				floor += n
			}
		}
		for _, n := range ready {
			sum += n
			most = max(most, n)
		}
		if floor+sum-most < need {
			t.Fatalf("%d of %d remain after the loss of a data centre: %v", floor+sum-most, need, plan)
		}
		for c := range bounds.Prices {
			total := plan[scaling.Place{DataCentre: c}] + plan[scaling.Place{DataCentre: c, Reclaimable: true}]
			if total < bounds.Min || total > bounds.Max {
				t.Fatalf("%d instances in %s are outside the bounds: %v", total, c, plan)
			}
		}
	})
}

// Guards against paying for a dear data centre while a cheap one has room.
func TestPlanUsesTheCheapestDataCentre(t *testing.T) {
	g := NewWithT(t)
	plan := scaling.Plan(scaling.DefaultPolicy(), scaling.Situation{
		Scaling: &traffic.Scaling{Min: 1, Max: 12, Prices: bounds.Prices}, Need: 10,
	})
	g.Expect(plan[scaling.Place{DataCentre: "a"}]).To(Equal(8))
	g.Expect(plan[scaling.Place{DataCentre: "b"}]).To(Equal(1))
	g.Expect(plan[scaling.Place{DataCentre: "c"}]).To(Equal(1))
}

// Guards against instances that move to a cheaper data centre after a reclaim
// wave has ended there: until the new ones have started and read the prompts,
// the load is late.
func TestInstancesKeepTheirPlaces(t *testing.T) {
	g := NewWithT(t)
	kept := map[string]int{"a": 4, "b": 2, "c": 11}
	plan := scaling.Plan(scaling.DefaultPolicy(), scaling.Situation{Scaling: bounds, Need: 20, Dry: true, Kept: kept})
	g.Expect(plan[scaling.Place{DataCentre: "c"}]).To(Equal(11))
	g.Expect(plan[scaling.Place{DataCentre: "b"}]).To(Equal(2))
	g.Expect(plan[scaling.Place{DataCentre: "a"}]).To(Equal(7), "what is missing is ordered where it is cheapest")
	plan = scaling.Plan(scaling.DefaultPolicy(), scaling.Situation{Scaling: bounds, Need: 8, Dry: true, Kept: kept})
	g.Expect(plan[scaling.Place{DataCentre: "b"}]).To(Equal(1), "the dearest go first, down to the minimum")
	g.Expect(plan[scaling.Place{DataCentre: "a"}]).To(Equal(4))
}

// fleetSim lets a cloud change a set of instances on a fake clock.
type fleetSim struct {
	clock  *clockwork.FakeClock
	began  time.Time
	set    *fleet.Set
	ready  map[scaling.Place]int
	boot   map[scaling.Place][]time.Time
	next   int
	dry    bool
	lose   bool // the next order takes effect but gets no answer
	orders int
	ids    map[scaling.Place][]string
}

func newFleetSim() *fleetSim {
	clock := clockwork.NewFakeClock()
	return &fleetSim{
		clock: clock, began: clock.Now(), set: fleet.NewSet(clock, slog.New(slog.DiscardHandler)),
		ready: map[scaling.Place]int{}, boot: map[scaling.Place][]time.Time{}, ids: map[scaling.Place][]string{},
	}
}

func (f *fleetSim) now() time.Duration { return f.clock.Since(f.began) + time.Hour }

func (f *fleetSim) add(p scaling.Place) {
	f.next++
	id := "i" + time.Duration(f.next).String()
	f.ids[p] = append(f.ids[p], id)
	f.set.Put(fleet.Description{ID: id, Service: "s", Address: id, DataCentre: p.DataCentre, Slots: 24, Reclaimable: p.Reclaimable})
}

// ReportUsage implements cloudduty.Caller.
func (f *fleetSim) ReportUsage(context.Context, int64, int64, map[string]int64) error { return nil }

// Order implements cloudduty.Caller.
func (f *fleetSim) Order(_ context.Context, _ int64, o cloudduty.Order) error {
	f.orders++
	place := scaling.Place{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	if o.Reclaimable && f.dry && o.Instances > len(f.ids[place]) {
		return cloudduty.ErrConflict
	}
	missing := o.Instances - len(f.ids[place]) - len(f.boot[place])
	for range max(missing, 0) {
		f.boot[place] = append(f.boot[place], f.clock.Now().Add(bounds.BootTime))
	}
	for range max(-missing, 0) {
		if n := len(f.ids[place]); n > 0 {
			f.set.Remove(f.ids[place][n-1])
			f.ids[place] = f.ids[place][:n-1]
		}
	}
	if f.lose {
		f.lose = false
		return cloudduty.ErrUnknown
	}
	return nil
}

func (f *fleetSim) step(d *scaling.Duty, t *testing.T) {
	f.clock.Advance(250 * time.Millisecond)
	for place, due := range f.boot {
		var later []time.Time
		for _, at := range due {
			if f.clock.Now().Before(at) {
				later = append(later, at)
			} else {
				f.add(place)
			}
		}
		f.boot[place] = later
	}
	d.Step(t.Context())
}

// reclaim takes all reclaimable instances of a data centre away after a notice.
func (f *fleetSim) notice(centre string) {
	place := scaling.Place{DataCentre: centre, Reclaimable: true}
	for _, id := range f.ids[place] {
		f.set.Put(fleet.Description{ID: id, Service: "s", Address: id, DataCentre: centre, Slots: 24, Reclaimable: true, Leaving: true})
	}
	f.dry = true
}

func (f *fleetSim) take(centre string) {
	place := scaling.Place{DataCentre: centre, Reclaimable: true}
	for _, id := range f.ids[place] {
		f.set.Remove(id)
	}
	f.ids[place] = nil
}

func (f *fleetSim) total(reclaimable bool) int {
	n := 0
	for place, ids := range f.ids {
		if place.Reclaimable == reclaimable {
			n += len(ids)
		}
	}
	return n
}

func (f *fleetSim) duty(busy *float64) *scaling.Duty {
	table := traffic.NewTable(1, nil, []*traffic.Service{{Name: "s", Scaling: bounds}}, nil, nil, traffic.Limits{})
	return scaling.New(scaling.Config{
		Log: slog.New(slog.DiscardHandler), Cloud: f, Token: func() int64 { return 7 },
		Table: func() *traffic.Table { return table }, Instances: f.set,
		Demands: func() map[string]scaling.Demand {
			return map[string]scaling.Demand{"s": {Busy: f.measured(*busy)}}
		},
		Now: f.now, Policy: scaling.DefaultPolicy(), Forbidden: func(string) bool { return false },
	})
}

// measured returns the demand that daemons measure for the work of prompts:
// engines that are busy for the share u take 1/(1-u) times as long for each.
func (f *fleetSim) measured(work float64) float64 {
	serving := max(float64(f.total(false)+f.total(true)), 1)
	return work / (1 - min(work/serving, 0.9))
}

// startIdle lets a day begin with 18 instances.
func (f *fleetSim) startIdle(busy *float64) *scaling.Duty {
	for _, c := range []string{"a", "b", "c"} {
		for range 6 {
			f.add(scaling.Place{DataCentre: c})
		}
	}
	return f.duty(busy)
}

// startWithoutLoad lets 10 s of a day pass before any load.
func (f *fleetSim) startWithoutLoad(t *testing.T, busy *float64) *scaling.Duty {
	d := f.startIdle(busy)
	for range 40 {
		f.step(d, t)
	}
	return d
}

// start lets a day begin with 18 instances and a load.
func (f *fleetSim) start(t *testing.T, busy *float64) *scaling.Duty {
	d := f.startWithoutLoad(t, busy)
	*busy = 3
	for range 80 {
		f.step(d, t)
	}
	return d
}

// Pattern of the quiet days: reclaimable instances carry the load, the data
// centres lose theirs one after the other and none are to be had meanwhile.
// Guards against the fleet falling below the need for longer than a boot.
func TestWavesOfReclaims(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	var busy float64
	d := f.start(t, &busy)
	need := scaling.DefaultPolicy().Need(scaling.Demand{Busy: busy}, 0)
	g.Expect(f.total(false)).To(BeNumerically("<=", (need+1)/2), "the floor is small while reclaimable ones stand")
	g.Expect(f.total(false) + f.total(true)).To(BeNumerically(">=", need))
	short := 0
	for wave, centre := range []string{"b", "a", "c"} {
		f.notice(centre)
		for i := range 24 { // 6 s
			f.step(d, t)
			if i == 10 {
				f.take(centre)
			}
			if f.total(false)+f.total(true) < need {
				short++
			}
		}
		t.Logf("wave %d: %d others, %d reclaimable", wave, f.total(false), f.total(true))
	}
	g.Expect(short).To(BeNumerically("<=", 0), "rounds of 250 ms below the need")
	g.Expect(f.total(false)).To(BeNumerically(">=", need))
	f.dry = false
	for range 80 {
		f.step(d, t)
	}
	g.Expect(f.total(false)).To(BeNumerically("<=", (need+1)/2), "the floor shrinks when reclaimable ones are back")
}

// Guards against instances being given back before those that stand are
// listed: a first version ordered two where six stood.
func TestNoOrderShrinksTheFleetAtTheStart(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	busy := 0.0
	d := f.duty(&busy)
	f.add(scaling.Place{DataCentre: "a"})
	for range 4 {
		f.step(d, t)
	}
	for range 5 {
		f.add(scaling.Place{DataCentre: "a"})
	}
	for range 4 {
		f.step(d, t)
	}
	g.Expect(f.total(false)).To(Equal(6))
}

// Guards against an order that is carried out late undoing a newer one.
func TestOrdersAreRepeatedAfterALostAnswer(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	var busy float64
	d := f.start(t, &busy)
	f.lose = true
	busy = 4
	before := f.orders
	for range 64 {
		f.step(d, t)
	}
	g.Expect(f.orders-before).To(BeNumerically(">=", 12), "all places are ordered again every 3 s")
}

// Guards against paying for instances that aren't reclaimable for seconds after
// their replacements serve, while no request has come yet.
func TestIdleInstancesAreReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	busy := 0.0
	d := f.startIdle(&busy)
	const boots = 18 // rounds of 250 ms: one decision and the boot time
	for range boots + 6 {
		f.step(d, t)
	}
	floor := int(math.Ceil(scaling.DefaultPolicy().FloorShare * 18))
	g.Expect(f.total(false)).To(BeNumerically("<=", floor+1))
	g.Expect(f.total(false) + f.total(true)).To(BeNumerically(">=", 18))
}

// Guards against a new coordinator that takes the time until the daemons report
// to it for a time without load.
func TestNewCoordinatorKeepsTheFleetUntilItKnowsTheDemand(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	var busy float64
	f.start(t, &busy)
	others, reclaimable := f.total(false), f.total(true)
	unknown := 0.0
	successor := f.duty(&unknown)
	for range 8 { // 2 s
		f.step(successor, t)
	}
	unknown = busy
	for range 40 {
		f.step(successor, t)
		g.Expect(f.total(false)).To(BeNumerically(">=", others-1))
		g.Expect(f.total(true)).To(BeNumerically(">=", reclaimable-3))
	}
}

// Guards against a fleet that stays at its size at the start for longer than
// the demand must be watched.
func TestFirstShrinkFollowsTheLoad(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	busy := 0.0
	d := f.startWithoutLoad(t, &busy)
	before := f.total(false) + f.total(true)
	busy = 2
	for range 10 { // 2.5 s
		f.step(d, t)
	}
	g.Expect(f.total(false)+f.total(true)).To(BeNumerically(">=", before), "the demand isn't known yet")
	for range 8 {
		f.step(d, t)
	}
	need := scaling.DefaultPolicy().Need(scaling.Demand{Busy: busy}, 0)
	g.Expect(f.total(false) + f.total(true)).To(BeNumerically("<=", 2*need))
	g.Expect(f.total(false) + f.total(true)).To(BeNumerically(">=", need))
}

// Guards against a demand that is told too low in the first seconds, so that
// too few instances are kept, or all of them until the average has settled.
func TestDemandIsKnownSoonAfterTheStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	e := scaling.NewEstimator(func() time.Duration { return now })
	const rate, prompt = 20, 10_000
	for range 2 * rate {
		now += time.Second / rate
		e.Offered("s", prompt, 0)
	}
	want := rate * prompt * 12e-6 // 12 us a token until it is measured
	g.Expect(e.Demands()["s"].Busy).To(BeNumerically("~", want, 0.15*want))
}

// Guards against a reading time that is wrong because prompts wait behind ones
// that the daemon doesn't know of yet, or because engines are slower than
// assumed at the start.
func TestReadingTimeIsLearned(t *testing.T) {
	for _, perToken := range []time.Duration{7 * time.Microsecond, 25 * time.Microsecond} {
		g := NewWithT(t)
		now := time.Hour
		e := scaling.NewEstimator(func() time.Duration { return now })
		random := rand.New(rand.NewPCG(3, uint64(perToken)))
		tokens := 0.0
		const seconds, rate = 10, 60
		for range seconds * rate {
			now += time.Second / rate
			prompt := 1800
			if random.IntN(4) == 0 {
				prompt = 4000 + int(random.ExpFloat64()*6000)
			}
			tokens += float64(prompt)
			e.Offered("s", prompt, 0)
			latency := 50*time.Millisecond + time.Duration(prompt)*perToken
			if random.IntN(3) == 0 {
				latency += time.Duration(random.ExpFloat64() * float64(60*time.Millisecond))
			}
			e.FirstEvent("s", prompt, 0, latency)
		}
		want := tokens / seconds * perToken.Seconds()
		g.Expect(e.Demands()["s"].Busy).To(BeNumerically("~", want, 0.25*want), perToken.String())
	}
}

// Guards against a fleet that is too large because the measured reading time
// contains what engines spend on other prompts meanwhile, and against one that
// shrinks when instances are lost because it then looks less loaded.
func TestReadingTimeUnderLoadDoesNotRaiseTheNeed(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	busy := 0.0
	d := f.startWithoutLoad(t, &busy)
	busy = 3
	for range 200 {
		f.step(d, t)
	}
	need := scaling.DefaultPolicy().Need(scaling.Demand{Busy: busy}, 0)
	plan := scaling.Plan(scaling.DefaultPolicy(), scaling.Situation{Scaling: bounds, Need: need, Ready: map[string]int{"a": 4, "b": 4, "c": 4}})
	planned := 0
	for _, n := range plan {
		planned += n
	}
	g.Expect(f.total(false) + f.total(true)).To(BeNumerically("<=", planned+2))
	for _, centre := range []string{"a", "b"} {
		f.notice(centre)
		f.take(centre)
	}
	for range 24 {
		f.step(d, t)
	}
	g.Expect(f.total(false)+f.total(true)).To(BeNumerically(">=", need), "6 s after two data centres lost theirs")
}

// Figures of the grown sheets: requests a second, prompt tokens and shared ones.
var sheets = map[string]struct {
	perToken  time.Duration // reading time of an engine
	objective time.Duration
	least     float64 // utilisation
	most      float64
}{
	"tsd-ub-grown":     {7143 * time.Nanosecond, 500 * time.Millisecond, 0.38, 0.45},
	"rcb-compra-grown": {10858 * time.Nanosecond, 600 * time.Millisecond, 0.36, 0.40},
}

// Guards against a fleet of engines that read fast, beside a long objective,
// being as large as one whose prompts delay each other.
func TestUtilisationFollowsTheObjective(t *testing.T) {
	const longRate, shortRate, seconds = 150, 450, 8
	for name, sheet := range sheets {
		g := NewWithT(t)
		now := time.Hour
		e := scaling.NewEstimator(func() time.Duration { return now })
		for range seconds * 10 {
			now += 100 * time.Millisecond
			for range longRate / 10 {
				e.Offered("s", 11_992, 5382)
			}
			for range shortRate / 10 {
				e.Offered("s", 2368, 568)
			}
			for _, prompt := range []int{11_992, 2368} {
				e.FirstEvent("s", prompt, 0, time.Duration(prompt)*sheet.perToken+50*time.Millisecond)
			}
		}
		d := e.Demands()["s"]
		used := scaling.DefaultPolicy().Utilisation(d.Delay, sheet.objective)
		t.Logf("%s: busy %.1f, delay %s, utilisation %.3f", name, d.Busy, d.Delay, used)
		g.Expect(used).To(And(BeNumerically(">=", sheet.least), BeNumerically("<=", sheet.most)), name)
	}
	g := NewWithT(t)
	g.Expect(scaling.DefaultPolicy().Utilisation(0, time.Second)).To(Equal(scaling.DefaultPolicy().LeastUtilisation), "the delay isn't known")
}

// Pattern of trouble-2 of tsd-ub-grown: after a roll-out the demand grows slowly,
// and reclaimable instances are ordered one by one. Guards against dear instances
// that are kept for as long as any reclaimable one is starting.
func TestDearInstancesGoWhileReclaimableOnesStart(t *testing.T) {
	g := NewWithT(t)
	f := newFleetSim()
	var busy float64
	d := f.start(t, &busy)
	for _, centre := range []string{"a", "b", "c"} {
		f.notice(centre)
		f.take(centre)
	}
	for range 32 {
		f.step(d, t)
	}
	dear := f.total(false)
	f.dry = false
	for range 40 { // 10 s
		busy += 0.1
		f.step(d, t)
	}
	g.Expect(f.total(false)).To(BeNumerically("<=", dear/2+1))
	g.Expect(f.total(false) + f.total(true)).To(BeNumerically(">=", scaling.DefaultPolicy().Need(scaling.Demand{Busy: busy}, 0)))
}
