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
	// LeastUtilisation and MostUtilisation bound the share of an instance's time
	// that is planned for reading prompts. The rest keeps a long prompt from
	// delaying the others. The least holds for sizes that vary so much that no
	// utilisation keeps DelayShare, the most leaves room for a burst of half.
	LeastUtilisation, MostUtilisation float64
	// DelayShare is the part of the shortest objective that a request may wait
	// on average for the prompts before it.
	DelayShare float64
	// FloorShare is the part of the need that instances carry which aren't
	// reclaimable.
	FloorShare float64
	// SpareShare is the part of the need that must remain when the
	// reclaimable instances of one data centre are taken away.
	SpareShare float64
	// MinNeed is the least number of instances of a service.
	MinNeed int
}

// DefaultPolicy suits engines whose long prompts take as long as the latency
// objective of the short questions beside them.
func DefaultPolicy() Policy {
	return Policy{
		LeastUtilisation: 0.38, MostUtilisation: 0.45, DelayShare: 0.025, FloorShare: 0.3, SpareShare: 1.1, MinNeed: 3,
	}
}

// Place is a kind of instance in a data centre.
type Place struct {
	DataCentre  string
	Reclaimable bool
}

// Situation is what Plan decides on, for one service.
type Situation struct {
	Scaling *traffic.Scaling
	// Need is the number of instances that carry the load.
	Need int
	// Ready reclaimable instances by data centre.
	Ready map[string]int
	// Ordered and Kept are the reclaimable and the other instances that were
	// ordered, by data centre.
	Ordered, Kept map[string]int
	// Dry means that no further reclaimable instances are to be had.
	Dry bool
}

// Utilisation returns the planned share of an instance's time. Of a queue whose
// server is busy for the share u, an arrival waits u/(1-u) times the mean
// remaining time of the prompt being read.
func (p Policy) Utilisation(delay, objective time.Duration) float64 {
	if delay <= 0 || objective <= 0 {
		return p.LeastUtilisation
	}
	ratio := p.DelayShare * float64(objective) / float64(delay)
	return min(max(ratio/(1+ratio), p.LeastUtilisation), p.MostUtilisation)
}

// Need returns the number of instances for a demand whose shortest latency
// objective is given, 0 if there is none.
func (p Policy) Need(d Demand, objective time.Duration) int {
	return max(int(math.Ceil(d.Busy/p.Utilisation(d.Delay, objective))), p.MinNeed)
}

// Plan returns the number of instances for each place. Reclaimable instances
// are spread so that the loss of a data centre's leaves enough. The others go
// to the cheapest data centres and fill up what the reclaimable ones that are
// ready would leave.
func Plan(policy Policy, s Situation) map[Place]int {
	centres := byPrice(s.Scaling.Prices)
	plan := map[Place]int{}
	for _, c := range centres {
		plan[Place{c, false}], plan[Place{c, true}] = 0, 0
	}
	floor := s.Need
	if s.Scaling.SpotFactor > 0 && len(centres) > 1 {
		least := policy.FloorShare * float64(s.Need)
		kept := float64(keptAfterLoss(s.Ready))
		floor = int(math.Ceil(max(least, float64(s.Need)-kept)))
		each := int(math.Ceil((policy.SpareShare*float64(s.Need) - least) / float64(len(centres)-1)))
		for _, c := range centres {
			plan[Place{c, true}] = min(max(each, 0), s.Scaling.Max)
			if s.Dry {
				plan[Place{c, true}] = s.Ordered[c]
			}
		}
	}
	placeFloor(plan, centres, s, floor)
	return plan
}

// keptAfterLoss returns how many reclaimable instances remain when the data
// centre with the most of them loses its own.
func keptAfterLoss(ready map[string]int) int {
	sum, most := 0, 0
	for _, n := range ready {
		sum += n
		most = max(most, n)
	}
	return sum - most
}

// placeFloor adds instances that aren't reclaimable: first what the minimum of
// each data centre asks for, then those that stand already, the cheapest first,
// and then new ones in the cheapest data centres. Instances that change places
// are paid twice while they start, and lose the prompts that they keep. They
// have precedence over reclaimable ones that aren't there yet.
func placeFloor(plan map[Place]int, centres []string, s Situation, floor int) {
	for _, c := range centres {
		if missing := s.Scaling.Min - plan[Place{c, true}]; missing > 0 {
			plan[Place{c, false}] = missing
			floor -= missing
		}
	}
	for _, most := range []func(c string) int{
		func(c string) int { return s.Kept[c] - plan[Place{c, false}] },
		func(string) int { return floor },
	} {
		for _, c := range centres {
			standing := min(plan[Place{c, true}], max(s.Ready[c], 0))
			room := s.Scaling.Max - standing - plan[Place{c, false}]
			add := max(min(room, floor, most(c)), 0)
			plan[Place{c, false}] += add
			floor -= add
		}
	}
	for _, c := range centres {
		plan[Place{c, true}] = min(plan[Place{c, true}], s.Scaling.Max-plan[Place{c, false}])
	}
}

// byPrice returns the data centres, cheapest first.
func byPrice(prices map[string]float64) []string {
	centres := make([]string, 0, len(prices))
	for c := range prices {
		centres = append(centres, c)
	}
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), strings.Compare(a, b))
	})
	return centres
}
