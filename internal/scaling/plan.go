package scaling

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// Policy holds the parameters of Plan.
type Policy struct {
	// MinUtilisation and MaxUtilisation bound the planned prefill utilisation of
	// an instance. The idle rest limits how much a long prompt delays others. The
	// minimum applies where prompt sizes vary so much that only a lower utilisation
	// would keep QueueDelayShare. The maximum leaves capacity for a burst of 50%.
	MinUtilisation, MaxUtilisation float64
	// QueueDelayShare is the fraction of the shortest latency objective that a
	// request may wait on average for earlier prompts.
	QueueDelayShare float64
	// OnDemandShare is the minimum fraction of the required instances that are
	// on-demand.
	OnDemandShare float64
	// ShareAfterReclaim is the fraction of the required instances that must
	// remain when the reclaimable instances of one data centre are reclaimed.
	ShareAfterReclaim float64
	// MinInstances is the minimum number of instances of a service.
	MinInstances int
}

// DefaultPolicy returns a policy for engines whose prefill of a long prompt takes
// about as long as the latency objective of the short prompts that they also
// serve.
func DefaultPolicy() Policy {
	return Policy{
		MinUtilisation: 0.38, MaxUtilisation: 0.45, QueueDelayShare: 0.025, OnDemandShare: 0.3, ShareAfterReclaim: 1.1, MinInstances: 3,
	}
}

// InstancePool identifies the on-demand or the reclaimable instances in a data
// centre.
type InstancePool struct {
	DataCentre  string
	Reclaimable bool
}

// PlanInput is the input of Plan for one service.
type PlanInput struct {
	Scaling *traffic.Scaling
	// Evacuated lists the data centres that the plan leaves out.
	Evacuated map[string]bool
	// RequiredInstances is the number of instances that the load requires.
	RequiredInstances int
	// ReadyReclaimable is the number of ready reclaimable instances by data centre.
	ReadyReclaimable map[string]int
	// OrderedReclaimable and OrderedOnDemand are the numbers of instances that
	// were last ordered, by data centre.
	OrderedReclaimable, OrderedOnDemand map[string]int
	// ReclaimableUnavailable means that the cloud has no further reclaimable
	// instances at present.
	ReclaimableUnavailable bool
}

// Utilisation returns the planned prefill utilisation of an instance. In a queue
// with utilisation u, an arrival waits on average u/(1-u) times residual, the
// mean remaining time of the prompt in progress. The result is MinUtilisation
// if residual is not known or there is no objective; they are then 0.
func (p Policy) Utilisation(residual, objective time.Duration) float64 {
	if residual <= 0 || objective <= 0 {
		return p.MinUtilisation
	}
	ratio := p.QueueDelayShare * float64(objective) / float64(residual)
	return min(max(ratio/(1+ratio), p.MinUtilisation), p.MaxUtilisation)
}

// RequiredInstances returns the number of instances for a demand whose shortest
// latency objective is given; 0 means that there is no objective.
func (p Policy) RequiredInstances(d Demand, objective time.Duration) int {
	return max(int(math.Ceil(d.BusyInstances/p.Utilisation(d.ResidualPrefill, objective))), p.MinInstances)
}

// Plan returns the number of instances of each pool. Reclaimable instances are
// spread over the data centres, so that enough remain when one data centre loses
// its reclaimable instances. On-demand instances make up what the ready
// reclaimable ones would then lack; they go to the cheapest data centres. Without
// a SpotFactor, or with a single data centre, all instances are on-demand. Data centres
// under evacuation have no part in the plan: their instances are no capacity.
func Plan(policy Policy, in PlanInput) map[InstancePool]int {
	centres := cheapestFirst(in.Scaling.Prices, in.Evacuated)
	plan := map[InstancePool]int{}
	for _, c := range centres {
		plan[InstancePool{c, false}], plan[InstancePool{c, true}] = 0, 0
	}
	onDemand := in.RequiredInstances
	if in.Scaling.SpotFactor > 0 && len(centres) > 1 {
		minOnDemand := policy.OnDemandShare * float64(in.RequiredInstances)
		remaining := float64(remainingAfterLoss(in.ReadyReclaimable))
		onDemand = int(math.Ceil(max(minOnDemand, float64(in.RequiredInstances)-remaining)))
		perCentre := int(math.Ceil((policy.ShareAfterReclaim*float64(in.RequiredInstances) - minOnDemand) / float64(len(centres)-1)))
		for _, c := range centres {
			plan[InstancePool{c, true}] = min(max(perCentre, 0), in.Scaling.Max)
			if in.ReclaimableUnavailable {
				plan[InstancePool{c, true}] = in.OrderedReclaimable[c]
			}
		}
	}
	placeOnDemand(plan, centres, in, onDemand)
	return plan
}

// remainingAfterLoss returns how many reclaimable instances remain when the data
// centre with the most of them loses all of its reclaimable instances.
func remainingAfterLoss(ready map[string]int) int {
	sum, largest := 0, 0
	for _, n := range ready {
		sum += n
		largest = max(largest, n)
	}
	return sum - largest
}

// placeOnDemand adds on-demand instances to the plan: first up to the minimum of
// each data centre, then those already ordered, cheapest first, and then new ones
// in the cheapest data centres. Moving an instance to another data centre is
// avoided, because both are paid for while the new one starts and the cached
// prompts are lost. On-demand instances have precedence over reclaimable ones
// that are not ready yet.
func placeOnDemand(plan map[InstancePool]int, centres []string, in PlanInput, onDemand int) {
	for _, c := range centres {
		if missing := in.Scaling.Min - plan[InstancePool{c, true}]; missing > 0 {
			plan[InstancePool{c, false}] = missing
			onDemand -= missing
		}
	}
	for _, limit := range []func(c string) int{
		func(c string) int { return in.OrderedOnDemand[c] - plan[InstancePool{c, false}] },
		func(string) int { return onDemand },
	} {
		for _, c := range centres {
			reclaimable := min(plan[InstancePool{c, true}], max(in.ReadyReclaimable[c], 0))
			room := in.Scaling.Max - reclaimable - plan[InstancePool{c, false}]
			add := max(min(room, onDemand, limit(c)), 0)
			plan[InstancePool{c, false}] += add
			onDemand -= add
		}
	}
	for _, c := range centres {
		plan[InstancePool{c, true}] = min(plan[InstancePool{c, true}], in.Scaling.Max-plan[InstancePool{c, false}])
	}
}

// cheapestFirst returns the data centres that are not excluded, in ascending order of
// price.
func cheapestFirst(prices map[string]float64, excluded map[string]bool) []string {
	centres := make([]string, 0, len(prices))
	for c := range prices {
		if !excluded[c] {
			centres = append(centres, c)
		}
	}
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), strings.Compare(a, b))
	})
	return centres
}
