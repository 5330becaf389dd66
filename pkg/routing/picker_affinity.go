package routing

import (
	"math/bits"
	"math/rand/v2"
	"slices"
)

// AffinityConfig configures the affinity picker. Zero values mean defaults.
type AffinityConfig struct {
	// Homes is the number of upstreams to which an unknown prefix is hashed.
	Homes int
	// LoadFactor bounds the wait at an affine upstream relative to the mean
	// of the set.
	LoadFactor float64
	// SlackSeconds is added to the bound, so that a nearly idle set doesn't
	// give up affinity for a few milliseconds.
	SlackSeconds float64
	// IntN returns a random number in [0, n); nil means math/rand/v2. It must
	// be safe for concurrent use.
	IntN func(n int) int
}

// Defaults of AffinityConfig.
const (
	defaultHomes      = 2
	defaultLoadFactor = 1.25
	defaultSlack      = 0.05
)

// Affinity is the picker of the product: the power of two random choices
// inside the prefix-affine set, by consistent hashing with bounded loads.
type Affinity struct{ config AffinityConfig }

// NewAffinity returns the picker.
func NewAffinity(config AffinityConfig) *Affinity {
	if config.Homes <= 0 {
		config.Homes = defaultHomes
	}
	if config.LoadFactor <= 0 {
		config.LoadFactor = defaultLoadFactor
	}
	if config.SlackSeconds <= 0 {
		config.SlackSeconds = defaultSlack
	}
	if config.IntN == nil {
		config.IntN = rand.IntN
	}
	return &Affinity{config: config}
}

// Pick implements Picker. Upstreams meant for the request's class come first,
// then neutral ones, then those meant for the other class. Within each group,
// those that hold a prefix come before the homes of the prefix and the rest.
// If all are above the load bound, the whole set is used.
func (p *Affinity) Pick(v *View) Decision {
	bound := p.config.LoadFactor*v.MeanWait + p.config.SlackSeconds
	for fit := range fits {
		if p.holders(v, fit, bound); len(v.selected) > 0 {
			return Decision{Candidate: p.two(v, v.selected), Reason: ReasonCached}
		}
		if p.homes(v, fit, bound); len(v.selected) > 0 {
			return Decision{Candidate: p.home(v), Reason: ReasonHome}
		}
		if p.below(v, fit, bound); len(v.selected) > 0 {
			return Decision{Candidate: p.two(v, v.selected), Reason: ReasonSpread}
		}
	}
	return Decision{Candidate: p.two(v, v.Eligible), Reason: ReasonSpread}
}

// holders selects the upstreams that presumably hold the prefix and whose
// extra wait is below the bound plus the time that the cached part saves. A
// match much shorter than the key is only a common beginning of different
// prompts; following it would pile them up on one upstream.
func (p *Affinity) holders(v *View, fit int, bound float64) {
	v.selected = v.selected[:0]
	if len(v.holders) == 0 || v.holders[0].depth*2 <= keyDepth(v.Request.Blocks) {
		return
	}
	for i, c := range v.Eligible {
		depth := v.CachedBlocks(c)
		if depth*2 <= v.holders[0].depth || classFit(v.Request.Class, c) != fit {
			continue
		}
		if v.waits[i] <= bound+v.seconds(depth, c) {
			v.selected = append(v.selected, c)
		}
	}
}

// homes selects the first upstreams in the rendezvous order of the prefix
// whose wait is below the bound. Prompts that take less time than the slack
// aren't worth the loss of choice.
func (p *Affinity) homes(v *View, fit int, bound float64) {
	v.selected, v.ranks = v.selected[:0], v.ranks[:0]
	depth := keyDepth(v.Request.Blocks)
	if depth == 0 || float64(depth)*v.Request.BlockWork < p.config.SlackSeconds*v.rate {
		return
	}
	key := v.Request.Blocks[depth-1]
	for i, c := range v.Eligible {
		if v.waits[i] <= bound && classFit(v.Request.Class, c) == fit {
			v.insertRanked(c, hashPair(key, c.hash), p.config.Homes)
		}
	}
}

// home draws a second home besides the first. The first is used unless the
// second is better by more than the time of the prefix, because other daemons
// have probably sent the prefix there.
func (p *Affinity) home(v *View) *Candidate {
	first := v.selected[0]
	if len(v.selected) == 1 {
		return first
	}
	second := v.selected[1+p.config.IntN(len(v.selected)-1)]
	if v.Score(second)+v.seconds(keyDepth(v.Request.Blocks), first) < v.Score(first) {
		return p.thin(second, first)
	}
	return p.thin(first, second)
}

// below selects all upstreams below the bound.
func (p *Affinity) below(v *View, fit int, bound float64) {
	v.selected = v.selected[:0]
	for i, c := range v.Eligible {
		if v.waits[i] <= bound && classFit(v.Request.Class, c) == fit {
			v.selected = append(v.selected, c)
		}
	}
}

// seconds returns the time that the candidate needs for a number of blocks.
func (v *View) seconds(blocks int, c *Candidate) float64 {
	return float64(blocks) * v.Request.BlockWork / v.Rate(c)
}

// keyDepth returns the number of leading blocks that are hashed to find the
// homes of a prompt: the largest power of two in its first three quarters.
// That leaves out the end, where prompts about the same document differ, and
// goes far enough to tell documents with a common beginning apart.
func keyDepth(blocks []uint64) int {
	n := len(blocks) * 3 / 4
	if n == 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// insertRanked keeps the n highest-ranked candidates in order.
func (v *View) insertRanked(c *Candidate, rank uint64, n int) {
	at := len(v.ranks)
	for at > 0 && v.ranks[at-1] < rank {
		at--
	}
	if at >= n {
		return
	}
	v.ranks = slices.Insert(v.ranks, at, rank)
	v.selected = slices.Insert(v.selected, at, c)
	v.ranks, v.selected = v.ranks[:min(n, len(v.ranks))], v.selected[:min(n, len(v.selected))]
}

// scoreNoise is the difference of scores in seconds that is no reason to prefer
// a candidate. Without it, small constant differences such as a network round
// trip decide most draws and pile requests up on a few upstreams.
const scoreNoise = 0.005

// weightSteps is the resolution of health weights in draws.
const weightSteps = 1000

// two draws two different candidates and returns the one with the lower score,
// or the first one drawn if the scores are nearly equal.
func (p *Affinity) two(v *View, from []*Candidate) *Candidate {
	if len(from) == 1 {
		return from[0]
	}
	i := p.config.IntN(len(from))
	j := p.config.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	best, other := from[i], from[j]
	if v.Score(other)+scoreNoise < v.Score(best) {
		best, other = other, best
	}
	return p.thin(best, other)
}

// thin returns other instead of best as often as best's health weight demands.
// Load alone doesn't protect an upstream in slow start while the set is idle.
func (p *Affinity) thin(best, other *Candidate) *Candidate {
	weight := best.HealthWeight()
	if weight >= 1 || weight >= other.HealthWeight() {
		return best
	}
	if float64(p.config.IntN(weightSteps)) < weight*weightSteps {
		return best
	}
	return other
}
