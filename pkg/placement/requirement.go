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

// add adds slots; a negative number removes them.
func (c *capacity) add(dataCentre string, reclaimable bool, slots float64) {
	c.total += slots
	c.byDataCentre[dataCentre] += slots
	if !reclaimable {
		c.onDemand += slots
	}
}

// requirement is the capacity in slots that a group should have.
type requirement struct {
	total     float64 // demand plus reserve
	afterLoss float64 // remaining after the loss of any one data centre
	onDemand  float64
}

func (l Limits) required(demand float64) requirement {
	return requirement{total: demand * (1 + l.Reserve), afterLoss: demand, onDemand: demand * l.OnDemandShare}
}

func (r requirement) metBy(c *capacity) bool {
	if c.total < r.total-epsilon || c.onDemand < r.onDemand-epsilon {
		return false
	}
	for _, lost := range c.byDataCentre {
		if c.total-lost < r.afterLoss-epsilon {
			return false
		}
	}
	return true
}

// deficitReduction returns by how much additional slots in a data centre reduce
// the sum of the deficits: of the total, of on-demand capacity, and of the capacity
// after the loss of each other data centre.
func (r requirement) deficitReduction(c *capacity, dataCentre string, reclaimable bool, slots float64) float64 {
	reduction := coveredDeficit(r.total-c.total, slots)
	if !reclaimable {
		reduction += coveredDeficit(r.onDemand-c.onDemand, slots)
	}
	for dc, lost := range c.byDataCentre {
		if dc != dataCentre {
			reduction += coveredDeficit(r.afterLoss-(c.total-lost), slots)
		}
	}
	return reduction
}

func coveredDeficit(deficit, slots float64) float64 { return math.Max(0, math.Min(deficit, slots)) }

// option is a way to start an instance: a class, a data centre and a purchase type.
type option struct {
	class, dataCentre string
	reclaimable       bool
	price             float64
	slots             float64
	remaining         *int // instances that the offer still has capacity for
	remainingStarts   *int // starts still allowed in this plan
}

// reserve deducts n instances from the option, or returns them if n is negative.
func (o option) reserve(n int) {
	*o.remaining -= n
	*o.remainingStarts -= n
}

func (o option) available() bool { return *o.remaining > 0 && *o.remainingStarts > 0 }

func (o option) key() offerKey { return offerKey{o.class, o.dataCentre, o.reclaimable} }

// offerKey identifies an offer and purchase type.
type offerKey struct {
	class, dataCentre string
	reclaimable       bool
}

// options lists the options with the capacity that listed instances and pending
// starts leave. An option whose last start was refused gets one start in a plan.
func (p *Planner) options(s State) []option {
	listed := countInstances(s.Instances, p.pendingInstances())
	var list []option
	for _, o := range s.Offers {
		remaining := math.MaxInt
		if o.Capacity > 0 {
			remaining = o.Capacity - listed[offerKey{class: o.Class, dataCentre: o.DataCentre}]
		}
		slots := p.limits.slots(o.Class)
		if slots <= 0 {
			continue
		}
		for _, reclaimable := range []bool{false, true} {
			candidate := option{class: o.Class, dataCentre: o.DataCentre, reclaimable: reclaimable, slots: slots, remaining: &remaining}
			candidate.price = o.OnDemandPrice
			if reclaimable {
				candidate.price = o.ReclaimablePrice
			}
			remainingStarts := math.MaxInt
			if p.history.refusals[candidate.key()].count > 0 {
				remainingStarts = 1
			}
			candidate.remainingStarts = &remainingStarts
			list = append(list, candidate)
		}
	}
	return list
}

// countInstances counts the instances of each class in each data centre.
func countInstances(lists ...[]Instance) map[offerKey]int {
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

// bestOption returns the option with the lowest price per deficit reduction. While
// on-demand capacity is missing, on-demand options come first, because reclaimable
// instances could use up the capacity of the offers.
func (r requirement) bestOption(c *capacity, options []option) (option, bool) {
	if r.onDemand > c.onDemand+epsilon {
		onDemand := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return o.reclaimable })
		if o, ok := r.cheapest(c, onDemand); ok {
			return o, true
		}
	}
	return r.cheapest(c, options)
}

func (r requirement) cheapest(c *capacity, options []option) (option, bool) {
	var best option
	bestCost, found := math.Inf(1), false
	for _, o := range options {
		reduction := r.deficitReduction(c, o.dataCentre, o.reclaimable, o.slots)
		if !o.available() || reduction <= epsilon {
			continue
		}
		// At equal cost, the data centre with the least capacity is chosen.
		cost := o.price / reduction
		if !found || cost < bestCost-epsilon ||
			(cost < bestCost+epsilon && c.byDataCentre[o.dataCentre] < c.byDataCentre[best.dataCentre]) {
			best, bestCost, found = o, cost, true
		}
	}
	return best, found
}

// prune drops chosen options without which the requirement is still met, the most
// expensive first.
func (r requirement) prune(c *capacity, chosen []option) []option {
	slices.SortStableFunc(chosen, func(a, b option) int {
		return compare(b.price, a.price)
	})
	kept := chosen[:0]
	for _, o := range chosen {
		c.add(o.dataCentre, o.reclaimable, -o.slots)
		if r.metBy(c) {
			o.reserve(-1)
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

// dataCentres lists the data centres with an offer or an instance.
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
