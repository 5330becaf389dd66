package placement

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
)

// Planner makes plans. It is not safe for concurrent use.
type Planner struct {
	clock   clockwork.Clock
	limits  Limits
	random  *rand.Rand
	history history
}

// New returns a Planner without a history of earlier plans.
func New(clock clockwork.Clock, limits Limits) *Planner {
	return &Planner{
		clock: clock, limits: limits, history: newHistory(clock.Now()),
		random: rand.New(rand.NewPCG(limits.Seed, 1)),
	}
}

// Refused records that the cloud refused a start. Several refusals of an offer in
// one plan count as one.
func (p *Planner) Refused(a Action) {
	delete(p.history.pendingStarts, a.Instance.Name)
	i := a.Instance
	p.history.recordRefusal(p.clock.Now(), offerKey{i.Class, i.DataCentre, i.Reclaimable}, p.limits, p.random)
}

// Plan returns the next actions from the given state towards the wanted one.
// Starts and loads count against their rate limits whether or not they succeed.
func (p *Planner) Plan(s State) []Action {
	now := p.clock.Now()
	s.Demands = slices.Clone(s.Demands)
	sort.Slice(s.Demands, func(i, j int) bool {
		a, b := s.Demands[i].Group, s.Demands[j].Group
		return a.Service < b.Service || (a.Service == b.Service && a.Version < b.Version)
	})
	p.history.observe(now, s, p.limits)
	groups := make(map[Group][]Instance)
	for _, i := range s.Instances {
		groups[i.Group] = append(groups[i.Group], i)
	}
	for _, instances := range groups {
		p.markFailed(now, instances)
	}
	var actions []Action
	for _, d := range s.Demands {
		for _, i := range groups[d.Group] {
			actions = append(actions, p.nextAction(now, i)...)
		}
	}
	options := p.options(s)
	centres := dataCentres(s)
	for _, d := range s.Demands {
		started := p.planStarts(now, d, p.capacity(now, groups[d.Group], d.Group, centres), options)
		actions = append(actions, started...)
		if len(started) == 0 {
			actions = append(actions, p.planDrains(now, d.Group, groups[d.Group], centres)...)
		}
	}
	return actions
}

func (p *Planner) pendingInstances() []Instance {
	list := make([]Instance, 0, len(p.history.pendingStarts))
	for _, pending := range p.history.pendingStarts {
		list = append(list, pending.instance)
	}
	return list
}

// nextAction returns the next lifecycle action of an instance, if any: load,
// register, drain after a failure, stop or unregister.
func (p *Planner) nextAction(now time.Time, i Instance) []Action {
	switch {
	case !i.Managed:
		return nil
	case i.Phase == Gone:
		// The cloud's list can be wrong, so an upstream that is serving is kept.
		if i.Registered && !i.Serving && p.timeInPhase(now, i) >= p.limits.GoneGrace {
			return []Action{{Unregister, i}}
		}
	case !i.DrainedAt.IsZero():
		return p.retire(now, i)
	case i.failed:
		return []Action{{Drain, i}}
	case i.Phase == Starting && p.startTimedOut(now, i):
		return []Action{{Stop, i}}
	case i.Phase == Running && !i.Loaded:
		return p.planLoad(now, i)
	case i.Phase == Running && !i.Registered && i.Address != "":
		return []Action{{Register, i}}
	}
	return nil
}

// markFailed marks instances that have been ejected for EjectedGrace. If these are
// more than half of the group, the network of this daemon is the more likely
// cause, and none is marked.
func (p *Planner) markFailed(now time.Time, instances []Instance) {
	failed, registered := 0, 0
	for n := range instances {
		i := &instances[n]
		if !i.Registered || i.Phase != Running || !i.DrainedAt.IsZero() {
			continue
		}
		registered++
		if at, ok := p.history.ejectedSince[i.Name]; ok && now.Sub(at) >= p.limits.EjectedGrace {
			i.failed = true
			failed++
		}
	}
	if 2*failed <= registered {
		return
	}
	for n := range instances {
		instances[n].failed = false
	}
}

// timeInPhase returns how long the instance has been seen in its phase.
func (p *Planner) timeInPhase(now time.Time, i Instance) time.Duration {
	return now.Sub(p.history.phaseSince[phaseKey(i)])
}

func (p *Planner) startTimedOut(now time.Time, i Instance) bool {
	return !i.Registered && i.InFlight == 0 && p.timeInPhase(now, i) >= p.limits.StartTimeout
}

// retire removes a drained instance that is idle according to a load report made
// after the drain, or that has given no report for UnknownTimeout. The upstream
// object is deleted before the stop, because a daemon that started after the drain
// was not told of it and would send requests to the upstream.
func (p *Planner) retire(now time.Time, i Instance) []Action {
	reportsTimedOut := !i.InFlightKnown && now.Sub(p.history.reportMissingSince[i.Name]) >= p.limits.UnknownTimeout
	idle := i.Phase != Leaving && i.InFlight == 0 && (i.InFlightKnown || reportsTimedOut)
	switch {
	case !idle || now.Sub(i.DrainedAt) < p.limits.DrainSettle:
		return nil
	case i.Registered:
		return []Action{{Unregister, i}}
	case now.Sub(p.history.unregisteredSince[i.Name]) < p.limits.DrainSettle:
		return nil
	}
	return []Action{{Stop, i}}
}

// planLoad returns a load within the rate limit of the weight store. A repeated load
// of an instance within a minute does not count against the limit.
func (p *Planner) planLoad(now time.Time, i Instance) []Action {
	if i.Address == "" {
		return nil
	}
	if at, ok := p.history.loadOrderedAt[i.Name]; !ok || now.Sub(at) >= time.Minute {
		if len(p.history.recentLoads) >= p.limits.LoadsPerMinute {
			return nil
		}
		p.history.recentLoads = append(p.history.recentLoads, now)
		p.history.loadOrderedAt[i.Name] = now
	}
	return []Action{{Load, i}}
}

// capacity sums the slots of the group's instances and pending starts.
func (p *Planner) capacity(now time.Time, instances []Instance, g Group, centres []string) *capacity {
	c := newCapacity(centres)
	for _, i := range instances {
		if i.countsAsCapacity() && (i.Phase != Starting || !p.startTimedOut(now, i)) {
			c.add(i.DataCentre, i.Reclaimable, p.limits.slots(i.Class))
		}
	}
	for _, pending := range p.history.pendingStarts {
		if pending.instance.Group == g {
			c.add(pending.instance.DataCentre, pending.instance.Reclaimable, p.limits.slots(pending.instance.Class))
		}
	}
	return c
}

// planStarts chooses new instances for the missing capacity, within the limits.
func (p *Planner) planStarts(now time.Time, d Demand, c *capacity, all []option) []Action {
	wanted := p.limits.required(d.slots())
	var chosen []option
	for _, options := range p.tiers(now, all) {
		for len(chosen) < p.startBudget() && !wanted.metBy(c) {
			o, ok := wanted.bestOption(c, options)
			if !ok {
				break
			}
			o.reserve(1)
			c.add(o.dataCentre, o.reclaimable, o.slots)
			chosen = append(chosen, o)
		}
	}
	if wanted.metBy(c) {
		chosen = wanted.prune(c, chosen)
	}
	actions := make([]Action, 0, len(chosen))
	for _, o := range chosen {
		actions = append(actions, p.newStart(now, d.Group, o))
	}
	return actions
}

// tiers returns the options in order of preference: those without a recent refusal,
// then also those that are retried after a refusal, and then also those in data
// centres with a recent reclaim. Otherwise retries of refusing offers would use up
// the starts that working offers need. Options in a backoff, and reclaimable
// instances in a data centre with a recent reclaim, are in no tier.
func (p *Planner) tiers(now time.Time, all []option) [][]option {
	var working, noReclaim, usable []option
	for _, o := range all {
		_, reclaimed := p.history.reclaimedAt[o.dataCentre]
		refusal := p.history.refusals[o.key()]
		if refusal.backoffUntil.After(now) || (reclaimed && o.reclaimable) {
			continue
		}
		usable = append(usable, o)
		if reclaimed {
			continue
		}
		noReclaim = append(noReclaim, o)
		if refusal.count == 0 {
			working = append(working, o)
		}
	}
	return [][]option{working, noReclaim, usable}
}

// startBudget returns the number of starts allowed now.
func (p *Planner) startBudget() int {
	pending := len(p.history.pendingStarts) + p.history.startingInstances
	return max(0, min(p.limits.StartsPerMinute-len(p.history.recentStarts), p.limits.MaxPending-pending))
}

// newStart returns the start of a new instance and records it as pending. The
// number of the instance is higher than all numbers that the planner knows: if one
// were reused, a late stop of the old instance would stop the new one.
func (p *Planner) newStart(now time.Time, g Group, o option) Action {
	number := p.history.highestNumber[g] + 1
	for {
		if _, used := p.history.pendingStarts[g.InstanceName(number)]; !used {
			break
		}
		number++
	}
	i := Instance{
		Name: g.InstanceName(number), Group: g, Phase: Starting, Managed: true, Class: o.class,
		DataCentre: o.dataCentre, Reclaimable: o.reclaimable, PricePerHour: o.price,
	}
	p.history.recentStarts = append(p.history.recentStarts, now)
	p.history.pendingStarts[i.Name] = pendingStart{i, now}
	return Action{Start, i}
}

// planDrains chooses instances that the highest recent demand does not need, the
// most expensive first. It chooses none before the demand has been observed for
// StopDelay, after a recent reclaim, or while a start of the group is pending.
func (p *Planner) planDrains(now time.Time, g Group, instances []Instance, centres []string) []Action {
	if now.Sub(p.history.createdAt) < p.limits.StopDelay || len(p.history.reclaimedAt) > 0 {
		return nil
	}
	draining := 0
	candidates := make([]Instance, 0, len(instances))
	for _, i := range instances {
		switch {
		case i.Managed && i.countsAsCapacity() && i.Phase == Running:
			candidates = append(candidates, i)
		case i.Phase == Starting:
			return nil
		case i.Phase == Running && !i.DrainedAt.IsZero():
			draining++
		}
	}
	for _, pending := range p.history.pendingStarts {
		if pending.instance.Group == g {
			return nil
		}
	}
	p.mostExpensiveFirst(candidates)
	wanted := p.limits.required(p.history.peakDemand(g) * (1 + p.limits.StopMargin))
	c := p.capacity(now, instances, g, centres)
	var actions []Action
	for _, i := range candidates {
		if draining >= p.limits.MaxDraining {
			break
		}
		c.add(i.DataCentre, i.Reclaimable, -p.limits.slots(i.Class))
		if wanted.metBy(c) {
			draining++
			actions = append(actions, Action{Drain, i})
			continue
		}
		c.add(i.DataCentre, i.Reclaimable, p.limits.slots(i.Class))
	}
	return actions
}

// mostExpensiveFirst sorts by descending price per slot. At equal prices, instances
// with fewer requests in flight come first.
func (p *Planner) mostExpensiveFirst(list []Instance) {
	price := func(i Instance) float64 { return i.PricePerHour / p.limits.slots(i.Class) }
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if price(x) != price(y) {
			return price(x) > price(y)
		}
		if x.InFlight != y.InFlight {
			return x.InFlight < y.InFlight
		}
		return x.Name > y.Name
	})
}
