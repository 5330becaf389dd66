package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

var chat = placement.Group{Service: "chat", Version: "v1"}

const step = 2 * time.Second

// world is a cloud on a fake clock that carries plans out.
type world struct {
	clock     *clockwork.FakeClock
	planner   *placement.Planner
	limits    placement.Limits
	offers    []placement.Offer
	demand    float64
	refuses   func(placement.Instance) bool
	instances map[string]*placement.Instance
	started   map[string]time.Time
	lag       time.Duration // until a start is in the list
	boot      time.Duration
	calls     []time.Time // start calls
	kinds     map[placement.Kind]int
	cost      float64
	fault     string // the first broken rule
	silent    string // an instance that gives no load reports
}

func newWorld(limits placement.Limits, offers []placement.Offer) *world {
	clock := clockwork.NewFakeClock()
	return &world{
		clock: clock, planner: placement.New(clock, limits), limits: limits, offers: offers,
		refuses:   func(placement.Instance) bool { return false },
		instances: make(map[string]*placement.Instance), started: make(map[string]time.Time),
		lag: time.Second, boot: 10 * time.Second, kinds: make(map[placement.Kind]int),
	}
}

func (w *world) state() placement.State {
	s := placement.State{
		Offers:  w.offers,
		Demands: []placement.Demand{{Group: chat, SlotsInUse: w.demand}},
	}
	for name, i := range w.instances {
		age := w.clock.Since(w.started[name])
		if age >= w.boot && i.Phase == placement.Starting {
			i.Phase, i.Address = placement.Running, "127.0.0.1:1"
		}
		if age >= w.lag {
			s.Instances = append(s.Instances, *i)
		}
	}
	return s
}

// step plans once, carries the plan out and lets time pass.
func (w *world) step() []placement.Action {
	actions := w.planner.Plan(w.state())
	for _, a := range actions {
		w.kinds[a.Kind]++
		w.apply(a)
	}
	for _, i := range w.instances {
		if i.Phase != placement.Gone {
			w.cost += i.PricePerHour * step.Hours()
		}
	}
	w.clock.Advance(step)
	return actions
}

func (w *world) apply(a placement.Action) {
	i := w.instances[a.Instance.Name]
	switch a.Kind {
	case placement.Start:
		w.start(a)
	case placement.Load:
		i.Loaded = true
	case placement.Register:
		i.Registered = true
	case placement.Drain:
		i.DrainedAt, i.InFlightKnown = w.clock.Now(), i.Name != w.silent
	case placement.Stop:
		if i.InFlight > 0 {
			w.fault = "stopped " + i.Name + " with work in flight"
		}
		if i.Registered {
			w.fault = "stopped " + i.Name + " while it was an upstream"
		}
		delete(w.instances, i.Name)
	case placement.Unregister:
		i.Registered = false
	}
}

func (w *world) start(a placement.Action) {
	w.calls = append(w.calls, w.clock.Now())
	if w.refuses(a.Instance) || w.full(a.Instance) {
		w.planner.Refused(a)
		return
	}
	if w.instances[a.Instance.Name] != nil {
		return // the name is in use
	}
	i := a.Instance
	w.instances[i.Name], w.started[i.Name] = &i, w.clock.Now()
}

func (w *world) full(i placement.Instance) bool {
	for _, o := range w.offers {
		if o.Class == i.Class && o.DataCentre == i.DataCentre && o.Capacity > 0 {
			return w.count(func(k placement.Instance) bool { return k.Class == o.Class && k.DataCentre == o.DataCentre }) >= o.Capacity
		}
	}
	return false
}

func (w *world) count(f func(placement.Instance) bool) int {
	n := 0
	for _, i := range w.instances {
		if i.Phase != placement.Gone && f(*i) {
			n++
		}
	}
	return n
}

// settle steps until nothing was planned for longer than every delay.
func (w *world) settle(most int) bool {
	quiet := 0
	for range most {
		quiet++
		if len(w.step()) > 0 {
			quiet = 0
		}
		if time.Duration(quiet)*step > w.limits.MaxRefusalBackoff+w.limits.StopDelay+w.limits.ReclaimHold {
			return true
		}
	}
	return false
}

// survivors returns the capacity without a data centre.
func (w *world) survivors(lost string) float64 {
	total := 0.0
	for _, i := range w.instances {
		if i.Phase == placement.Running && i.DrainedAt.IsZero() && i.DataCentre != lost {
			total += w.limits.DefaultSlots
		}
	}
	return total
}

// offered returns the capacity on sale outside a data centre.
func (w *world) offered(lost string) float64 {
	total := 0.0
	for _, o := range w.offers {
		if o.DataCentre != lost {
			total += float64(o.Capacity) * w.limits.DefaultSlots
		}
	}
	return total
}

func drawOffers(t *rapid.T) []placement.Offer {
	var offers []placement.Offer
	for dc := range rapid.IntRange(1, 5).Draw(t, "data centres") {
		for class := range rapid.IntRange(1, 2).Draw(t, "classes") {
			price := rapid.Float64Range(1, 4).Draw(t, "price")
			offers = append(offers, placement.Offer{
				Class: fmt.Sprint("m", class), DataCentre: fmt.Sprint("dc", dc), OnDemandPrice: price,
				ReclaimablePrice: price * rapid.Float64Range(0.2, 0.9).Draw(t, "discount"),
				Capacity:         rapid.IntRange(1, 12).Draw(t, "capacity"),
			})
		}
	}
	return offers
}

// Guards against a fleet that the loss of one data centre leaves without
// capacity although offers allow it, and against plans that never end.
func TestSurvivesAnyDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := placement.DefaultLimits()
		limits.Seed = rapid.Uint64().Draw(t, "seed")
		w := newWorld(limits, drawOffers(t))
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			w.demand = rapid.Float64Range(0, 200).Draw(t, "demand")
			if !w.settle(2000) {
				t.Fatalf("no quiet after 2000 plans: %v", w.kinds)
			}
			for _, o := range w.offers {
				allowed := math.Min(w.demand, w.offered(o.DataCentre))
				if got := w.survivors(o.DataCentre); got < allowed-1e-6 {
					t.Fatalf("without %s %v slots are left, wanted %v", o.DataCentre, got, allowed)
				}
			}
		}
	})
}

// Guards against a loop of starts while the cloud refuses some or all of them.
func TestRefusalsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := placement.DefaultLimits()
		limits.Seed = rapid.Uint64().Draw(t, "seed")
		limits.StartsPerMinute = rapid.IntRange(1, 30).Draw(t, "starts a minute")
		w := newWorld(limits, drawOffers(t))
		w.demand = 100
		all := rapid.Bool().Draw(t, "all refused")
		w.refuses = func(i placement.Instance) bool { return all || i.DataCentre == "dc0" }
		for range 600 {
			w.step()
		}
		for first := range w.calls {
			n := 0
			for _, at := range w.calls[first:] {
				if at.Sub(w.calls[first]) < time.Minute {
					n++
				}
			}
			if n > limits.StartsPerMinute {
				t.Fatalf("%d starts within a minute, allowed are %d", n, limits.StartsPerMinute)
			}
		}
		if all {
			// In 20 minutes an option is tried again 14 times with the shortest
			// jitter; the first plan can try several starts of an option.
			if most := limits.StartsPerMinute + 2*len(w.offers)*14; len(w.calls) > most {
				t.Fatalf("%d starts of %d offers", len(w.calls), len(w.offers))
			}
			return
		}
		allowed := math.Min(w.demand, w.offered("dc0"))
		if got := w.survivors("dc0"); got < allowed-1e-6 {
			t.Fatalf("%v slots outside the refusing data centre, wanted %v", got, allowed)
		}
	})
}

// Guards against a stop while requests run, whatever the order of events.
func TestNeverStopsWorkInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := placement.DefaultLimits()
		w := newWorld(limits, drawOffers(t))
		for range rapid.IntRange(50, 300).Draw(t, "plans") {
			w.demand = rapid.Float64Range(0, 60).Draw(t, "demand") * float64(rapid.IntRange(0, 1).Draw(t, "busy"))
			for _, i := range w.instances {
				if i.DrainedAt.IsZero() || i.InFlight > 0 {
					i.InFlight = rapid.IntRange(0, 2).Draw(t, "in flight")
				}
			}
			for range 3 {
				w.step()
			}
			if w.fault != "" {
				t.Fatal(w.fault)
			}
		}
	})
}

func threeDataCentres() []placement.Offer {
	var offers []placement.Offer
	for n, dc := range []string{"dc1", "dc2", "dc3"} {
		offers = append(offers, placement.Offer{
			Class: "m", DataCentre: dc, OnDemandPrice: 3, ReclaimablePrice: 1 + 0.1*float64(n), Capacity: 40,
		})
	}
	return offers
}

// Guards against starts and stops in turns when the demand goes up and down.
func TestHysteresis(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(placement.DefaultLimits(), threeDataCentres())
	w.demand = 100
	g.Expect(w.settle(2000)).To(BeTrue())
	before := w.kinds[placement.Start]
	for n := range 1800 { // an hour
		w.demand = 90 + 10*math.Sin(float64(n)/10)
		w.step()
	}
	g.Expect(w.kinds[placement.Start]).To(Equal(before))
	g.Expect(w.kinds[placement.Drain]).To(BeZero())
	w.demand = 20
	g.Expect(w.settle(3000)).To(BeTrue())
	g.Expect(w.kinds[placement.Stop]).To(BeNumerically(">", 5))
	g.Expect(w.kinds[placement.Start]).To(Equal(before), "a fall of the demand starts nothing")
}

// Guards against replacements that wait, or that start where the reclaim is.
func TestReclaimWave(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(placement.DefaultLimits(), threeDataCentres())
	w.demand = 60
	g.Expect(w.settle(2000)).To(BeTrue())
	lost := 0
	for _, i := range w.instances {
		if i.DataCentre == "dc1" {
			i.Phase = placement.Leaving
			lost++
		}
	}
	g.Expect(lost).To(BeNumerically(">", 0))
	starts := 0
	for _, a := range w.step() {
		g.Expect(a.Kind).To(Equal(placement.Start))
		g.Expect(a.Instance.DataCentre).NotTo(Equal("dc1"))
		starts++
	}
	g.Expect(starts).To(BeNumerically(">", 0))
	for range 30 {
		w.step()
	}
	for _, dc := range []string{"dc2", "dc3"} {
		g.Expect(w.survivors(dc)).To(BeNumerically(">=", 60))
	}
}

// Guards against loads beyond the rate of the weight store and against a start
// under another name while the first may have taken effect.
func TestPacingAndNames(t *testing.T) {
	g := NewWithT(t)
	limits := placement.DefaultLimits()
	limits.LoadsPerMinute, limits.MaxPending = 2, 5
	w := newWorld(limits, threeDataCentres())
	w.demand = 100
	for range 29 { // 58 s
		w.step()
		g.Expect(len(w.instances) - w.count(func(i placement.Instance) bool { return i.Phase == placement.Running })).
			To(BeNumerically("<=", 5))
	}
	g.Expect(w.kinds[placement.Load]).To(BeNumerically("<=", 2))
	first := placement.New(w.clock, limits).Plan(placement.State{Offers: w.offers, Demands: []placement.Demand{{Group: chat, Waiting: 1}}})
	again := placement.New(w.clock, limits).Plan(placement.State{Offers: w.offers, Demands: []placement.Demand{{Group: chat, Waiting: 1}}})
	g.Expect(again).To(Equal(first), "a new holder repeats a start that the list doesn't show yet")
	g.Expect(placement.Group{Service: "a", Version: "b-c"}.InstanceName(1)).
		NotTo(Equal(placement.Group{Service: "a-b", Version: "c"}.InstanceName(1)))
}

// day is the outcome of four hours with one peak of the demand.
type day struct {
	cost  float64
	short time.Duration // with less capacity than demand
}

// runDay optionally reclaims the reclaimable instances of a data centre with
// 30 s notice every 30 minutes, and refuses starts there for 10 minutes.
func runDay(onDemandOnly, reclaims bool) day {
	w := newWorld(placement.DefaultLimits(), threeDataCentres())
	if onDemandOnly {
		for n := range w.offers {
			w.offers[n].ReclaimablePrice = w.offers[n].OnDemandPrice
		}
	}
	d, lost := day{}, ""
	for n := range 7200 {
		w.demand = 60 + 40*math.Sin(float64(n)/7200*2*math.Pi)
		switch phase := n % 900; {
		case n == 0 || !reclaims || onDemandOnly:
		case phase == 0:
			lost = fmt.Sprint("dc", 1+n/900%3)
			w.refuses = func(i placement.Instance) bool { return i.DataCentre == lost }
			w.each(lost, func(i *placement.Instance) { i.Phase = placement.Leaving })
		case phase == 15:
			w.each(lost, func(i *placement.Instance) { i.Phase = placement.Gone })
		case phase == 300:
			w.refuses = func(placement.Instance) bool { return false }
		}
		w.step()
		if n > 30 && w.survivors("") < w.demand {
			d.short += step
		}
	}
	d.cost = w.cost
	return d
}

// each changes the reclaimable instances of a data centre.
func (w *world) each(dataCentre string, f func(*placement.Instance)) {
	for _, i := range w.instances {
		if i.DataCentre == dataCentre && i.Reclaimable {
			f(i)
		}
	}
}

// Guards against a mix that costs no less than on-demand instances alone, or
// that lacks capacity in reclaims.
func TestCost(t *testing.T) {
	g := NewWithT(t)
	onDemand, mix, reclaimed := runDay(true, false), runDay(false, false), runDay(false, true)
	t.Logf("on-demand %+v, mix %+v, mix with reclaims %+v", onDemand, mix, reclaimed)
	g.Expect(onDemand.short).To(BeZero())
	g.Expect(mix.short).To(BeZero())
	g.Expect(mix.cost).To(BeNumerically("<", 0.75*onDemand.cost))
	g.Expect(reclaimed.cost).To(BeNumerically("<", 0.9*onDemand.cost))
	g.Expect(reclaimed.short).To(BeNumerically("<", time.Minute))
}

// Guards against a dead engine that counts as capacity for ever, and against a
// holder that replaces the fleet because its own network is cut.
func TestEjectedUpstreams(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(placement.DefaultLimits(), threeDataCentres())
	w.demand = 60
	g.Expect(w.settle(2000)).To(BeTrue())
	starts := w.kinds[placement.Start]
	for _, i := range w.instances {
		i.Ejected = true
	}
	for range 300 {
		w.step()
	}
	g.Expect(w.kinds[placement.Start]).To(Equal(starts), "all are ejected")
	dead := ""
	for name, i := range w.instances {
		i.Ejected = dead == ""
		if i.Ejected {
			dead, i.InFlight, w.silent = name, 0, name
		}
	}
	for range 60 {
		w.step()
	}
	g.Expect(w.kinds[placement.Start]).To(Equal(starts+1), "the dead one is replaced")
	g.Expect(w.instances).To(HaveKey(dead), "it can have work for some time")
	for range 400 {
		w.step()
	}
	g.Expect(w.instances).NotTo(HaveKey(dead))
}
