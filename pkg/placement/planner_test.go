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

// cloudSim simulates a cloud on a fake clock and executes plans.
type cloudSim struct {
	clock         *clockwork.FakeClock
	planner       *placement.Planner
	limits        placement.Limits
	offers        []placement.Offer
	demand        float64
	refuses       func(placement.Instance) bool
	instances     map[string]*placement.Instance
	started       map[string]time.Time
	listDelay     time.Duration // from a start until the instance is listed
	bootTime      time.Duration
	startCalls    []time.Time // times of the start calls
	actionCounts  map[placement.Kind]int
	cost          float64
	violation     string // the last rule violation
	noReportsFrom string // an instance without load reports
}

func newCloudSim(limits placement.Limits, offers []placement.Offer) *cloudSim {
	clock := clockwork.NewFakeClock()
	return &cloudSim{
		clock: clock, planner: placement.New(clock, limits), limits: limits, offers: offers,
		refuses:   func(placement.Instance) bool { return false },
		instances: make(map[string]*placement.Instance), started: make(map[string]time.Time),
		listDelay: time.Second, bootTime: 10 * time.Second, actionCounts: make(map[placement.Kind]int),
	}
}

func (w *cloudSim) state() placement.State {
	s := placement.State{
		Offers:  w.offers,
		Demands: []placement.Demand{{Group: chat, SlotsInUse: w.demand}},
	}
	for name, i := range w.instances {
		age := w.clock.Since(w.started[name])
		if age >= w.bootTime && i.Phase == placement.Starting {
			i.Phase, i.Address = placement.Running, "127.0.0.1:1"
		}
		if age >= w.listDelay {
			s.Instances = append(s.Instances, *i)
		}
	}
	return s
}

// step makes one plan, executes it and advances the clock.
func (w *cloudSim) step() []placement.Action {
	actions := w.planner.Plan(w.state())
	for _, a := range actions {
		w.actionCounts[a.Kind]++
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

func (w *cloudSim) apply(a placement.Action) {
	i := w.instances[a.Instance.Name]
	switch a.Kind {
	case placement.Start:
		w.start(a)
	case placement.Load:
		i.Loaded = true
	case placement.Register:
		i.Registered = true
	case placement.Drain:
		i.DrainedAt, i.InFlightKnown = w.clock.Now(), i.Name != w.noReportsFrom
	case placement.Stop:
		if i.InFlight > 0 {
			w.violation = "stopped " + i.Name + " with requests in flight"
		}
		if i.Registered {
			w.violation = "stopped " + i.Name + " while its upstream object existed"
		}
		delete(w.instances, i.Name)
	case placement.Unregister:
		i.Registered = false
	}
}

func (w *cloudSim) start(a placement.Action) {
	w.startCalls = append(w.startCalls, w.clock.Now())
	if w.refuses(a.Instance) || w.atCapacity(a.Instance) {
		w.planner.Refused(a)
		return
	}
	if w.instances[a.Instance.Name] != nil {
		return // the name is in use
	}
	i := a.Instance
	w.instances[i.Name], w.started[i.Name] = &i, w.clock.Now()
}

func (w *cloudSim) atCapacity(i placement.Instance) bool {
	for _, o := range w.offers {
		if o.Class == i.Class && o.DataCentre == i.DataCentre && o.Capacity > 0 {
			return w.count(func(k placement.Instance) bool { return k.Class == o.Class && k.DataCentre == o.DataCentre }) >= o.Capacity
		}
	}
	return false
}

func (w *cloudSim) count(f func(placement.Instance) bool) int {
	n := 0
	for _, i := range w.instances {
		if i.Phase != placement.Gone && f(*i) {
			n++
		}
	}
	return n
}

// runUntilStable steps until nothing has been planned for longer than the backoff
// and the delays together, and reports whether that happened within maxSteps.
func (w *cloudSim) runUntilStable(maxSteps int) bool {
	idleSteps := 0
	for range maxSteps {
		idleSteps++
		if len(w.step()) > 0 {
			idleSteps = 0
		}
		if time.Duration(idleSteps)*step > w.limits.MaxRefusalBackoff+w.limits.StopDelay+w.limits.ReclaimCooldown {
			return true
		}
	}
	return false
}

// capacityWithout returns the running capacity outside a data centre.
func (w *cloudSim) capacityWithout(lost string) float64 {
	total := 0.0
	for _, i := range w.instances {
		if i.Phase == placement.Running && i.DrainedAt.IsZero() && i.DataCentre != lost {
			total += w.limits.DefaultSlots
		}
	}
	return total
}

// offeredOutside returns the offered capacity outside a data centre.
func (w *cloudSim) offeredOutside(lost string) float64 {
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

// Guards against too little capacity after the loss of one data centre although the
// offers allow enough, and against plans that never become empty.
func TestSurvivesAnyDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := placement.DefaultLimits()
		limits.Seed = rapid.Uint64().Draw(t, "seed")
		w := newCloudSim(limits, drawOffers(t))
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			w.demand = rapid.Float64Range(0, 200).Draw(t, "demand")
			if !w.runUntilStable(2000) {
				t.Fatalf("plans not empty after 2000 steps: %v", w.actionCounts)
			}
			for _, o := range w.offers {
				allowed := math.Min(w.demand, w.offeredOutside(o.DataCentre))
				if got := w.capacityWithout(o.DataCentre); got < allowed-1e-6 {
					t.Fatalf("without %s %v slots remain, want %v", o.DataCentre, got, allowed)
				}
			}
		}
	})
}

// Guards against unlimited start calls while the cloud refuses some or all of them.
func TestRefusalsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := placement.DefaultLimits()
		limits.Seed = rapid.Uint64().Draw(t, "seed")
		limits.StartsPerMinute = rapid.IntRange(1, 30).Draw(t, "starts a minute")
		w := newCloudSim(limits, drawOffers(t))
		w.demand = 100
		all := rapid.Bool().Draw(t, "all refused")
		w.refuses = func(i placement.Instance) bool { return all || i.DataCentre == "dc0" }
		for range 600 {
			w.step()
		}
		for first := range w.startCalls {
			n := 0
			for _, at := range w.startCalls[first:] {
				if at.Sub(w.startCalls[first]) < time.Minute {
					n++
				}
			}
			if n > limits.StartsPerMinute {
				t.Fatalf("%d starts within a minute, at most %d allowed", n, limits.StartsPerMinute)
			}
		}
		if all {
			// In 20 minutes an option is retried at most 14 times, with the shortest
			// jittered backoffs; the first plan can start several of an option.
			if maxCalls := limits.StartsPerMinute + 2*len(w.offers)*14; len(w.startCalls) > maxCalls {
				t.Fatalf("%d start calls for %d refusing offers", len(w.startCalls), len(w.offers))
			}
			return
		}
		allowed := math.Min(w.demand, w.offeredOutside("dc0"))
		if got := w.capacityWithout("dc0"); got < allowed-1e-6 {
			t.Fatalf("%v slots outside the refusing data centre, want %v", got, allowed)
		}
	})
}

// Guards against the stop of an instance with running requests, in any order of
// events.
func TestNeverStopsWorkInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := placement.DefaultLimits()
		w := newCloudSim(limits, drawOffers(t))
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
			if w.violation != "" {
				t.Fatal(w.violation)
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

// Guards against alternating starts and stops when the demand fluctuates.
func TestHysteresis(t *testing.T) {
	g := NewWithT(t)
	w := newCloudSim(placement.DefaultLimits(), threeDataCentres())
	w.demand = 100
	g.Expect(w.runUntilStable(2000)).To(BeTrue())
	before := w.actionCounts[placement.Start]
	for n := range 1800 { // an hour
		w.demand = 90 + 10*math.Sin(float64(n)/10)
		w.step()
	}
	g.Expect(w.actionCounts[placement.Start]).To(Equal(before))
	g.Expect(w.actionCounts[placement.Drain]).To(BeZero())
	w.demand = 20
	g.Expect(w.runUntilStable(3000)).To(BeTrue())
	g.Expect(w.actionCounts[placement.Stop]).To(BeNumerically(">", 5))
	g.Expect(w.actionCounts[placement.Start]).To(Equal(before), "falling demand starts no instance")
}

// Guards against replacements of reclaimed instances that are delayed, or that start
// in the data centre of the reclaim.
func TestReclaimOfADataCentre(t *testing.T) {
	g := NewWithT(t)
	w := newCloudSim(placement.DefaultLimits(), threeDataCentres())
	w.demand = 60
	g.Expect(w.runUntilStable(2000)).To(BeTrue())
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
		g.Expect(w.capacityWithout(dc)).To(BeNumerically(">=", 60))
	}
}

// Guards against loads beyond the rate limit of the weight store, and against a
// repeated start under another name although the first may have taken effect.
func TestLoadRateAndInstanceNames(t *testing.T) {
	g := NewWithT(t)
	limits := placement.DefaultLimits()
	limits.LoadsPerMinute, limits.MaxPending = 2, 5
	w := newCloudSim(limits, threeDataCentres())
	w.demand = 100
	for range 29 { // 58 s
		w.step()
		g.Expect(len(w.instances) - w.count(func(i placement.Instance) bool { return i.Phase == placement.Running })).
			To(BeNumerically("<=", 5))
	}
	g.Expect(w.actionCounts[placement.Load]).To(BeNumerically("<=", 2))
	first := placement.New(w.clock, limits).Plan(placement.State{Offers: w.offers, Demands: []placement.Demand{{Group: chat, Waiting: 1}}})
	again := placement.New(w.clock, limits).Plan(placement.State{Offers: w.offers, Demands: []placement.Demand{{Group: chat, Waiting: 1}}})
	g.Expect(again).To(Equal(first), "a new holder repeats a start that is not listed yet")
	g.Expect(placement.Group{Service: "a", Version: "b-c"}.InstanceName(1)).
		NotTo(Equal(placement.Group{Service: "a-b", Version: "c"}.InstanceName(1)))
}

// dayResult is the result of four simulated hours with one demand peak.
type dayResult struct {
	cost      float64
	shortfall time.Duration // time with less capacity than demand
}

// simulateDay optionally reclaims the reclaimable instances of one data centre
// every 30 minutes, with 30 s notice, and refuses starts there for 10 minutes.
func simulateDay(onDemandOnly, reclaims bool) dayResult {
	w := newCloudSim(placement.DefaultLimits(), threeDataCentres())
	if onDemandOnly {
		for n := range w.offers {
			w.offers[n].ReclaimablePrice = w.offers[n].OnDemandPrice
		}
	}
	d, lost := dayResult{}, ""
	for n := range 7200 {
		w.demand = 60 + 40*math.Sin(float64(n)/7200*2*math.Pi)
		switch phase := n % 900; {
		case n == 0 || !reclaims || onDemandOnly:
		case phase == 0:
			lost = fmt.Sprint("dc", 1+n/900%3)
			w.refuses = func(i placement.Instance) bool { return i.DataCentre == lost }
			w.eachReclaimable(lost, func(i *placement.Instance) { i.Phase = placement.Leaving })
		case phase == 15:
			w.eachReclaimable(lost, func(i *placement.Instance) { i.Phase = placement.Gone })
		case phase == 300:
			w.refuses = func(placement.Instance) bool { return false }
		}
		w.step()
		if n > 30 && w.capacityWithout("") < w.demand {
			d.shortfall += step
		}
	}
	d.cost = w.cost
	return d
}

// eachReclaimable calls f for the reclaimable instances of a data centre.
func (w *cloudSim) eachReclaimable(dataCentre string, f func(*placement.Instance)) {
	for _, i := range w.instances {
		if i.DataCentre == dataCentre && i.Reclaimable {
			f(i)
		}
	}
}

// Guards against a mix of on-demand and reclaimable instances that is not cheaper
// than on-demand instances alone, or that lacks capacity during reclaims.
func TestCost(t *testing.T) {
	g := NewWithT(t)
	onDemand, mix, reclaimed := simulateDay(true, false), simulateDay(false, false), simulateDay(false, true)
	t.Logf("on-demand %+v, mix %+v, mix with reclaims %+v", onDemand, mix, reclaimed)
	g.Expect(onDemand.shortfall).To(BeZero())
	g.Expect(mix.shortfall).To(BeZero())
	g.Expect(mix.cost).To(BeNumerically("<", 0.75*onDemand.cost))
	g.Expect(reclaimed.cost).To(BeNumerically("<", 0.9*onDemand.cost))
	g.Expect(reclaimed.shortfall).To(BeNumerically("<", time.Minute))
}

// Guards against a failed engine that counts as capacity for ever, and against a
// daemon that replaces the whole fleet because its own network is cut.
func TestEjectedUpstreams(t *testing.T) {
	g := NewWithT(t)
	w := newCloudSim(placement.DefaultLimits(), threeDataCentres())
	w.demand = 60
	g.Expect(w.runUntilStable(2000)).To(BeTrue())
	starts := w.actionCounts[placement.Start]
	for _, i := range w.instances {
		i.Ejected = true
	}
	for range 300 {
		w.step()
	}
	g.Expect(w.actionCounts[placement.Start]).To(Equal(starts), "no replacement when all are ejected")
	failed := ""
	for name, i := range w.instances {
		i.Ejected = failed == ""
		if i.Ejected {
			failed, i.InFlight, w.noReportsFrom = name, 0, name
		}
	}
	for range 60 {
		w.step()
	}
	g.Expect(w.actionCounts[placement.Start]).To(Equal(starts+1), "the failed instance is replaced")
	g.Expect(w.instances).To(HaveKey(failed), "it may still have requests in flight")
	for range 400 {
		w.step()
	}
	g.Expect(w.instances).NotTo(HaveKey(failed))
}
