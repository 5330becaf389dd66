package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin is a baseline that takes the eligible candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(v *View) Decision {
	n := p.next.Add(1) - 1
	return Decision{Candidate: v.Eligible[n%uint64(len(v.Eligible))], Reason: ReasonBaseline}
}

// LeastOutstanding is a baseline that takes the candidate with the fewest
// attempts of this daemon in flight; ties are broken at random.
type LeastOutstanding struct {
	// IntN returns a random number in [0, n); nil means math/rand/v2.
	IntN func(n int) int
}

// Pick implements Picker.
func (p *LeastOutstanding) Pick(v *View) Decision {
	intN := p.IntN
	if intN == nil {
		intN = rand.IntN
	}
	best, ties := v.Eligible[0], 1
	for _, c := range v.Eligible[1:] {
		switch a, b := c.InFlight(), best.InFlight(); {
		case a < b:
			best, ties = c, 1
		case a == b:
			if ties++; intN(ties) == 0 {
				best = c
			}
		}
	}
	return Decision{Candidate: best, Reason: ReasonBaseline}
}

// PrefixHash is a baseline that sends each prefix to the first upstream in its
// rendezvous order, regardless of load. Requests without blocks are sent round
// robin.
type PrefixHash struct{ roundRobin RoundRobin }

// Pick implements Picker.
func (p *PrefixHash) Pick(v *View) Decision {
	depth := keyDepth(v.Request.Blocks)
	if depth == 0 {
		return p.roundRobin.Pick(v)
	}
	key := v.Request.Blocks[depth-1]
	best := v.Eligible[0]
	for _, c := range v.Eligible[1:] {
		if hashPair(key, c.hash) > hashPair(key, best.hash) {
			best = c
		}
	}
	return Decision{Candidate: best, Reason: ReasonBaseline}
}
