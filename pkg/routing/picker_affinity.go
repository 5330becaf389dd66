package routing

import (
	"math/bits"
	"math/rand/v2"
	"slices"
)

// AffinityConfig configures the affinity picker. Zero values mean defaults.
type AffinityConfig struct {
	// PreferredUpstreams is the number of upstreams to which a prefix is hashed
	// that no upstream is known to hold.
	PreferredUpstreams int
	// LoadFactor bounds the expected wait at an upstream that is picked for
	// affinity, relative to the mean wait of the eligible upstreams.
	LoadFactor float64
	// SlackSeconds is added to the bound, so that nearly idle upstreams don't
	// lose affinity because of a few milliseconds.
	SlackSeconds float64
	// IntN returns a random number in [0, n); nil means math/rand/v2. It must
	// be safe for concurrent use.
	IntN func(n int) int
}

// Defaults of AffinityConfig.
const (
	defaultPreferredUpstreams = 2
	defaultLoadFactor         = 1.25
	defaultSlackSeconds       = 0.05
)

// Affinity is the default picker. It combines consistent hashing with bounded
// loads, which selects upstreams by prompt prefix, and the power of two random
// choices among these upstreams.
type Affinity struct{ config AffinityConfig }

// NewAffinity returns the picker.
func NewAffinity(config AffinityConfig) *Affinity {
	if config.PreferredUpstreams <= 0 {
		config.PreferredUpstreams = defaultPreferredUpstreams
	}
	if config.LoadFactor <= 0 {
		config.LoadFactor = defaultLoadFactor
	}
	if config.SlackSeconds <= 0 {
		config.SlackSeconds = defaultSlackSeconds
	}
	if config.IntN == nil {
		config.IntN = rand.IntN
	}
	return &Affinity{config: config}
}

// Pick implements Picker. Upstreams labelled with the request's class come
// first, then those without a class label, then those labelled with the other
// class. Within each group, those that hold a prefix come before the preferred
// upstreams of the prefix, and these before the rest. If all are above the load
// bound, it picks among all eligible upstreams.
func (p *Affinity) Pick(v *View) Decision {
	bound := p.config.LoadFactor*v.MeanWait + p.config.SlackSeconds
	for fit := range fitCount {
		if p.selectHolders(v, fit, bound); len(v.selected) > 0 {
			return Decision{Candidate: p.pickOfTwo(v, v.selected), Reason: ReasonCached}
		}
		if p.selectPreferred(v, fit, bound); len(v.selected) > 0 {
			return Decision{Candidate: p.pickPreferred(v), Reason: ReasonPreferred}
		}
		if p.selectBelowBound(v, fit, bound); len(v.selected) > 0 {
			return Decision{Candidate: p.pickOfTwo(v, v.selected), Reason: ReasonSpread}
		}
	}
	return Decision{Candidate: p.pickOfTwo(v, v.Eligible), Reason: ReasonSpread}
}

// selectHolders selects the upstreams that probably hold the prefix and whose
// wait is at most the bound plus the time that the cached part saves. It selects
// none if the longest match is at most half of keyDepth: that is only a common
// beginning of different prompts, and using it would send all of them to one
// upstream. Of the upstreams, it selects those that match more than half as much
// as the longest match.
func (p *Affinity) selectHolders(v *View, fit int, bound float64) {
	v.selected = v.selected[:0]
	if len(v.holders) == 0 || v.holders[0].depth*2 <= keyDepth(v.Request.Blocks) {
		return
	}
	for i, c := range v.Eligible {
		depth := v.CachedBlocks(c)
		if depth*2 <= v.holders[0].depth || classFit(v.Request.Class, c) != fit {
			continue
		}
		if v.waits[i] <= bound+v.blockSeconds(depth, c) {
			v.selected = append(v.selected, c)
		}
	}
}

// selectPreferred selects the first upstreams in the rendezvous order of the
// prefix whose wait is within the bound. It selects none if the blocks up to
// keyDepth take less time than the slack, because affinity saves too little there
// to restrict the choice.
func (p *Affinity) selectPreferred(v *View, fit int, bound float64) {
	v.selected, v.ranks = v.selected[:0], v.ranks[:0]
	depth := keyDepth(v.Request.Blocks)
	if depth == 0 || float64(depth)*v.Request.BlockWork < p.config.SlackSeconds*v.rate {
		return
	}
	key := v.Request.Blocks[depth-1]
	for i, c := range v.Eligible {
		if v.waits[i] <= bound && classFit(v.Request.Class, c) == fit {
			v.insertRanked(c, hashPair(key, c.hash), p.config.PreferredUpstreams)
		}
	}
}

// pickPreferred compares the first preferred upstream with a random other one.
// The first is used unless the other is better by more than the processing time
// of the prefix, because other daemons have probably sent the prefix to the
// first.
func (p *Affinity) pickPreferred(v *View) *Candidate {
	first := v.selected[0]
	if len(v.selected) == 1 {
		return first
	}
	second := v.selected[1+p.config.IntN(len(v.selected)-1)]
	if v.Score(second)+v.blockSeconds(keyDepth(v.Request.Blocks), first) < v.Score(first) {
		return p.applyHealthWeight(second, first)
	}
	return p.applyHealthWeight(first, second)
}

// selectBelowBound selects all upstreams whose wait is within the bound.
func (p *Affinity) selectBelowBound(v *View, fit int, bound float64) {
	v.selected = v.selected[:0]
	for i, c := range v.Eligible {
		if v.waits[i] <= bound && classFit(v.Request.Class, c) == fit {
			v.selected = append(v.selected, c)
		}
	}
}

// blockSeconds returns the time in seconds that the candidate needs to process a
// number of blocks.
func (v *View) blockSeconds(blocks int, c *Candidate) float64 {
	return float64(blocks) * v.Request.BlockWork / v.Rate(c)
}

// keyDepth returns the number of leading blocks that are hashed to find the
// preferred upstreams of a prompt: the largest power of two that is at most
// three quarters of the number of blocks. That leaves out the end, where prompts
// about the same document differ, and is long enough to distinguish documents
// with a common beginning.
func keyDepth(blocks []uint64) int {
	n := len(blocks) * 3 / 4
	if n == 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// insertRanked inserts a candidate into selected, which holds the n candidates
// of the highest rank in descending order.
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

// scoreToleranceSeconds is the difference up to which scores count as equal.
// Without it, small constant differences such as a network round trip decide
// most draws and concentrate requests on a few upstreams.
const scoreToleranceSeconds = 0.005

// weightSteps is the resolution of health weights in random draws.
const weightSteps = 1000

// pickOfTwo draws two different candidates and returns the one with the lower
// score, or the first one drawn if the scores are nearly equal.
func (p *Affinity) pickOfTwo(v *View, from []*Candidate) *Candidate {
	if len(from) == 1 {
		return from[0]
	}
	i := p.config.IntN(len(from))
	j := p.config.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	best, other := from[i], from[j]
	if v.Score(other)+scoreToleranceSeconds < v.Score(best) {
		best, other = other, best
	}
	return p.applyHealthWeight(best, other)
}

// applyHealthWeight returns best with a probability equal to its health weight
// and else other; it returns best if other's weight isn't higher. Load alone
// doesn't protect an upstream in slow start while all upstreams are idle.
func (p *Affinity) applyHealthWeight(best, other *Candidate) *Candidate {
	weight := best.HealthWeight()
	if weight >= 1 || weight >= other.HealthWeight() {
		return best
	}
	if float64(p.config.IntN(weightSteps)) < weight*weightSteps {
		return best
	}
	return other
}
