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
	clock  clockwork.Clock
	limits Limits
	random *rand.Rand
	memory memory
}

// New returns a Planner without memory of earlier plans.
func New(clock clockwork.Clock, limits Limits) *Planner {
	return &Planner{
		clock: clock, limits: limits, memory: newMemory(clock.Now()),
		random: rand.New(rand.NewPCG(limits.Seed, 1)),
	}
}

// Refused tells the planner that the cloud refused a start. Several refusals
// of an offer in one plan count once.
func (p *Planner) Refused(a Action) {
	delete(p.memory.pending, a.Instance.Name)
	i := a.Instance
	p.memory.refuse(p.clock.Now(), offerKey{i.Class, i.DataCentre, i.Reclaimable}, p.limits, p.random)
}

// Plan returns the actions that lead from the state towards the wanted one.
// Starts and loads count against their rates whether or not they succeed.
func (p *Planner) Plan(s State) []Action {
	now := p.clock.Now()
	s.Demands = slices.Clone(s.Demands)
	sort.Slice(s.Demands, func(i, j int) bool {
		a, b := s.Demands[i].Group, s.Demands[j].Group
		return a.Service < b.Service || (a.Service == b.Service && a.Version < b.Version)
	})
	p.memory.observe(now, s, p.limits)
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
			actions = append(actions, p.follow(now, i)...)
		}
	}
	options := p.options(s)
	places := dataCentres(s)
	for _, d := range s.Demands {
		started := p.start(now, d, p.capacity(now, groups[d.Group], d.Group, places), options)
		actions = append(actions, started...)
		if len(started) == 0 {
			actions = append(actions, p.drain(now, d.Group, groups[d.Group], places)...)
		}
	}
	return actions
}

func (p *Planner) pending() []Instance {
	list := make([]Instance, 0, len(p.memory.pending))
	for _, one := range p.memory.pending {
		list = append(list, one.instance)
	}
	return list
}

// follow moves one instance on: load, register, stop after a drain, unregister.
func (p *Planner) follow(now time.Time, i Instance) []Action {
	switch {
	case !i.Managed:
		return nil
	case i.Phase == Gone:
		// A cloud list can be wrong; an upstream that answers is kept.
		if i.Registered && !i.Serving && p.inPhase(now, i) >= p.limits.AbsentGrace {
			return []Action{{Unregister, i}}
		}
	case !i.DrainedAt.IsZero():
		return p.retire(now, i)
	case i.failed:
		return []Action{{Drain, i}}
	case i.Phase == Starting && p.overdue(now, i):
		return []Action{{Stop, i}}
	case i.Phase == Running && !i.Loaded:
		return p.load(now, i)
	case i.Phase == Running && !i.Registered && i.Address != "":
		return []Action{{Register, i}}
	}
	return nil
}

// markFailed marks instances that have been ejected for EjectedGrace. If that
// is more than half of the group, the holder's own network is the likelier
// cause, and none is marked.
func (p *Planner) markFailed(now time.Time, instances []Instance) {
	failed, registered := 0, 0
	for n := range instances {
		i := &instances[n]
		if !i.Registered || i.Phase != Running || !i.DrainedAt.IsZero() {
			continue
		}
		registered++
		if at, ok := p.memory.ejected[i.Name]; ok && now.Sub(at) >= p.limits.EjectedGrace {
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

// inPhase returns how long the instance has been seen in its phase.
func (p *Planner) inPhase(now time.Time, i Instance) time.Duration {
	return now.Sub(p.memory.since[phaseKey(i)])
}

func (p *Planner) overdue(now time.Time, i Instance) bool {
	return !i.Registered && i.InFlight == 0 && p.inPhase(now, i) >= p.limits.StartTimeout
}

// retire removes a drained instance that a report made after the drain shows
// to be idle, or that has given no report for UnknownTimeout. The upstream object goes first, because a daemon that started
// after the drain knows of the instance only from there.
func (p *Planner) retire(now time.Time, i Instance) []Action {
	silent := !i.InFlightKnown && now.Sub(p.memory.unknown[i.Name]) >= p.limits.UnknownTimeout
	idle := i.Phase != Leaving && i.InFlight == 0 && (i.InFlightKnown || silent)
	switch {
	case !idle || now.Sub(i.DrainedAt) < p.limits.DrainSettle:
		return nil
	case i.Registered:
		return []Action{{Unregister, i}}
	case now.Sub(p.memory.withdrawn[i.Name]) < p.limits.DrainSettle:
		return nil
	}
	return []Action{{Stop, i}}
}

// load orders the load at the rate of the weight store. An instance whose load
// was ordered within the last minute does not count again.
func (p *Planner) load(now time.Time, i Instance) []Action {
	if i.Address == "" {
		return nil
	}
	if at, ok := p.memory.ordered[i.Name]; !ok || now.Sub(at) >= time.Minute {
		if len(p.memory.loads) >= p.limits.LoadsPerMinute {
			return nil
		}
		p.memory.loads = append(p.memory.loads, now)
		p.memory.ordered[i.Name] = now
	}
	return []Action{{Load, i}}
}

// capacity counts the group's instances and pending starts.
func (p *Planner) capacity(now time.Time, instances []Instance, g Group, places []string) *capacity {
	c := newCapacity(places)
	for _, i := range instances {
		if i.counts() && (i.Phase != Starting || !p.overdue(now, i)) {
			c.add(i.DataCentre, i.Reclaimable, p.limits.slots(i.Class))
		}
	}
	for _, one := range p.memory.pending {
		if one.instance.Group == g {
			c.add(one.instance.DataCentre, one.instance.Reclaimable, p.limits.slots(one.instance.Class))
		}
	}
	return c
}

// start chooses new instances for what is missing, within the limits.
func (p *Planner) start(now time.Time, d Demand, c *capacity, all []option) []Action {
	wanted := p.limits.need(d.slots())
	var chosen []option
	for _, options := range p.tiers(now, all) {
		for len(chosen) < p.budget() && !wanted.metBy(c) {
			o, ok := wanted.best(c, options)
			if !ok {
				break
			}
			o.take(1)
			c.add(o.dataCentre, o.reclaimable, o.slots)
			chosen = append(chosen, o)
		}
	}
	if wanted.metBy(c) {
		chosen = wanted.prune(c, chosen)
	}
	actions := make([]Action, 0, len(chosen))
	for _, o := range chosen {
		actions = append(actions, p.begin(now, d.Group, o))
	}
	return actions
}

// tiers returns the options in the order of preference: offers that work,
// offers that are tried again after a refusal, and all of them also in data
// centres with a reclaim. Tries of refusing offers would otherwise use up the
// starts that working offers need. Offers that back off, and reclaimable
// instances in a data centre with a reclaim, are in no tier.
func (p *Planner) tiers(now time.Time, all []option) [][]option {
	var working, calm, usable []option
	for _, o := range all {
		_, reclaimed := p.memory.reclaims[o.dataCentre]
		refusal := p.memory.refusals[o.key()]
		if refusal.until.After(now) || (reclaimed && o.reclaimable) {
			continue
		}
		usable = append(usable, o)
		if reclaimed {
			continue
		}
		calm = append(calm, o)
		if refusal.count == 0 {
			working = append(working, o)
		}
	}
	return [][]option{working, calm, usable}
}

// budget is the number of starts allowed now.
func (p *Planner) budget() int {
	pending := len(p.memory.pending) + p.memory.starting
	return max(0, min(p.limits.StartsPerMinute-len(p.memory.starts), p.limits.MaxPending-pending))
}

// begin numbers a new instance. A number is not reused while the planner knows
// a higher one: a late stop for the old instance would hit the new one.
func (p *Planner) begin(now time.Time, g Group, o option) Action {
	number := p.memory.highest[g] + 1
	for {
		if _, used := p.memory.pending[g.InstanceName(number)]; !used {
			break
		}
		number++
	}
	i := Instance{
		Name: g.InstanceName(number), Group: g, Phase: Starting, Managed: true, Class: o.class,
		DataCentre: o.dataCentre, Reclaimable: o.reclaimable, PricePerHour: o.price,
	}
	p.memory.starts = append(p.memory.starts, now)
	p.memory.pending[i.Name] = pendingStart{i, now}
	return Action{Start, i}
}

// drain chooses instances that the highest recent demand does not need, the
// dearest first. It waits until the demand has been watched for StopDelay and
// no start is under way.
func (p *Planner) drain(now time.Time, g Group, instances []Instance, places []string) []Action {
	if now.Sub(p.memory.began) < p.limits.StopDelay || len(p.memory.reclaims) > 0 {
		return nil
	}
	draining := 0
	candidates := make([]Instance, 0, len(instances))
	for _, i := range instances {
		switch {
		case i.Managed && i.counts() && i.Phase == Running:
			candidates = append(candidates, i)
		case i.Phase == Starting:
			return nil
		case i.Phase == Running && !i.DrainedAt.IsZero():
			draining++
		}
	}
	for _, one := range p.memory.pending {
		if one.instance.Group == g {
			return nil
		}
	}
	p.dearestFirst(candidates)
	wanted := p.limits.need(p.memory.peak(g) * (1 + p.limits.StopMargin))
	c := p.capacity(now, instances, g, places)
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

func (p *Planner) dearestFirst(list []Instance) {
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
