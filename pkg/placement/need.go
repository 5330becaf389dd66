package placement

import (
	"maps"
	"math"
	"slices"
)

// epsilon absorbs rounding in sums of slots.
const epsilon = 1e-9

// capacity sums the slots of a group's instances.
type capacity struct {
	total, onDemand float64
	byDataCentre    map[string]float64
}

func newCapacity(dataCentres []string) *capacity {
	c := &capacity{byDataCentre: make(map[string]float64)}
	for _, dc := range dataCentres {
		c.byDataCentre[dc] = 0
	}
	return c
}

// add counts slots; a negative number removes them again.
func (c *capacity) add(dataCentre string, reclaimable bool, slots float64) {
	c.total += slots
	c.byDataCentre[dataCentre] += slots
	if !reclaimable {
		c.onDemand += slots
	}
}

// need is the capacity that a group should have.
type need struct {
	total    float64 // demand and reserve
	survives float64 // left after the loss of any one data centre
	onDemand float64
}

func (l Limits) need(demand float64) need {
	return need{total: demand * (1 + l.Reserve), survives: demand, onDemand: demand * l.OnDemandShare}
}

func (n need) metBy(c *capacity) bool {
	if c.total < n.total-epsilon || c.onDemand < n.onDemand-epsilon {
		return false
	}
	for _, lost := range c.byDataCentre {
		if c.total-lost < n.survives-epsilon {
			return false
		}
	}
	return true
}

// benefit returns by how much slots in a data centre reduce the deficits.
func (n need) benefit(c *capacity, dataCentre string, reclaimable bool, slots float64) float64 {
	gain := filled(n.total-c.total, slots)
	if !reclaimable {
		gain += filled(n.onDemand-c.onDemand, slots)
	}
	for dc, lost := range c.byDataCentre {
		if dc != dataCentre {
			gain += filled(n.survives-(c.total-lost), slots)
		}
	}
	return gain
}

func filled(deficit, slots float64) float64 { return math.Max(0, math.Min(deficit, slots)) }

// option is one way to buy an instance.
type option struct {
	class, dataCentre string
	reclaimable       bool
	price             float64
	slots             float64
	left              *int // instances that the offer still allows
	tries             *int // starts allowed in this plan
}

// take counts n instances of the option, or gives them back if n is negative.
func (o option) take(n int) {
	*o.left -= n
	*o.tries -= n
}

func (o option) available() bool { return *o.left > 0 && *o.tries > 0 }

func (o option) key() offerKey { return offerKey{o.class, o.dataCentre, o.reclaimable} }

// offerKey identifies an offer for refusals.
type offerKey struct {
	class, dataCentre string
	reclaimable       bool
}

// options lists the offers with the capacity that the instances leave. An
// offer that refused its last start gets one start in a plan.
func (p *Planner) options(s State) []option {
	taken := used(s.Instances, p.pending())
	var list []option
	for _, o := range s.Offers {
		left := math.MaxInt
		if o.Capacity > 0 {
			left = o.Capacity - taken[offerKey{class: o.Class, dataCentre: o.DataCentre}]
		}
		slots := p.limits.slots(o.Class)
		if slots <= 0 {
			continue
		}
		for _, reclaimable := range []bool{false, true} {
			one := option{class: o.Class, dataCentre: o.DataCentre, reclaimable: reclaimable, slots: slots, left: &left}
			one.price = o.OnDemandPrice
			if reclaimable {
				one.price = o.ReclaimablePrice
			}
			tries := math.MaxInt
			if p.memory.refusals[one.key()].count > 0 {
				tries = 1
			}
			one.tries = &tries
			list = append(list, one)
		}
	}
	return list
}

// used counts the instances of each class in each data centre.
func used(lists ...[]Instance) map[offerKey]int {
	counts := make(map[offerKey]int)
	for _, list := range lists {
		for _, i := range list {
			if i.Phase != Gone {
				counts[offerKey{class: i.Class, dataCentre: i.DataCentre}]++
			}
		}
	}
	return counts
}

// best returns the option with the lowest price for its benefit. While
// on-demand capacity is missing, on-demand options come first, because
// reclaimable instances could use up the offers.
func (n need) best(c *capacity, options []option) (option, bool) {
	if n.onDemand > c.onDemand+epsilon {
		onDemand := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return o.reclaimable })
		if o, ok := n.cheapest(c, onDemand); ok {
			return o, true
		}
	}
	return n.cheapest(c, options)
}

func (n need) cheapest(c *capacity, options []option) (option, bool) {
	var best option
	bestCost, found := math.Inf(1), false
	for _, o := range options {
		gain := n.benefit(c, o.dataCentre, o.reclaimable, o.slots)
		if !o.available() || gain <= epsilon {
			continue
		}
		// Equal prices spread the instances over the data centres.
		cost := o.price / gain
		if !found || cost < bestCost-epsilon ||
			(cost < bestCost+epsilon && c.byDataCentre[o.dataCentre] < c.byDataCentre[best.dataCentre]) {
			best, bestCost, found = o, cost, true
		}
	}
	return best, found
}

// prune drops the dearest choices that the need is met without.
func (n need) prune(c *capacity, chosen []option) []option {
	slices.SortStableFunc(chosen, func(a, b option) int {
		return compare(b.price, a.price)
	})
	kept := chosen[:0]
	for _, o := range chosen {
		c.add(o.dataCentre, o.reclaimable, -o.slots)
		if n.metBy(c) {
			o.take(-1)
			continue
		}
		c.add(o.dataCentre, o.reclaimable, o.slots)
		kept = append(kept, o)
	}
	return kept
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// dataCentres lists those with an offer or an instance.
func dataCentres(s State) []string {
	set := make(map[string]bool)
	for _, o := range s.Offers {
		set[o.DataCentre] = true
	}
	for _, i := range s.Instances {
		set[i.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(set))
}
