package routing

import "math/rand/v2"

// AffinityConfig configures the affinity picker. Zero values mean defaults.
type AffinityConfig struct {
	// Homes is the number of upstreams to which an unknown prefix is hashed.
	Homes int
	// KeyBlocks is the number of leading blocks that form the hash key.
	KeyBlocks int
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
	defaultKeyBlocks  = 16
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
	if config.KeyBlocks <= 0 {
		config.KeyBlocks = defaultKeyBlocks
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

// Pick implements Picker. Upstreams that hold a prefix come first, then the
// homes of the prefix, then the whole set.
func (p *Affinity) Pick(v *View) Decision {
	if p.holders(v); len(v.selected) > 0 {
		return Decision{Candidate: p.two(v, v.selected), Reason: ReasonCached}
	}
	if p.homes(v); len(v.selected) > 0 {
		return Decision{Candidate: p.two(v, v.selected), Reason: ReasonHome}
	}
	return Decision{Candidate: p.two(v, v.Eligible), Reason: ReasonSpread}
}

// holders selects the upstreams that presumably hold the prefix and whose
// extra wait is below the bound plus the time that the cached part saves.
func (p *Affinity) holders(v *View) {
	v.selected = v.selected[:0]
	if len(v.holders) == 0 {
		return
	}
	for _, c := range v.Eligible {
		depth := v.CachedBlocks(c)
		if depth*2 <= v.holders[0].depth {
			continue
		}
		saved := float64(depth) * v.Request.BlockWork / v.Rate(c)
		if v.Wait(c) <= p.bound(v)+saved {
			v.selected = append(v.selected, c)
		}
	}
}

// homes selects the first upstreams in the rendezvous order of the prefix
// whose wait is below the bound.
func (p *Affinity) homes(v *View) {
	v.selected = v.selected[:0]
	blocks := v.Request.Blocks
	if len(blocks) == 0 {
		return
	}
	key := blocks[min(len(blocks), p.config.KeyBlocks)-1]
	bound := p.bound(v)
	for _, c := range v.Eligible {
		if v.Wait(c) <= bound {
			v.selected = insertRanked(v.selected, c, key, p.config.Homes)
		}
	}
}

func (p *Affinity) bound(v *View) float64 {
	return p.config.LoadFactor*v.MeanWait + p.config.SlackSeconds
}

// insertRanked keeps the n highest-ranked candidates for key in order.
func insertRanked(ranked []*Candidate, c *Candidate, key uint64, n int) []*Candidate {
	rank := hashPair(key, c.hash)
	at := len(ranked)
	for at > 0 && hashPair(key, ranked[at-1].hash) < rank {
		at--
	}
	if at >= n {
		return ranked
	}
	if len(ranked) < n {
		ranked = append(ranked, nil)
	}
	copy(ranked[at+1:], ranked[at:])
	ranked[at] = c
	return ranked
}

// two draws two different candidates and returns the one with the lower score.
func (p *Affinity) two(v *View, from []*Candidate) *Candidate {
	if len(from) == 1 {
		return from[0]
	}
	i := p.config.IntN(len(from))
	j := p.config.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if v.Score(from[j]) < v.Score(from[i]) {
		return from[j]
	}
	return from[i]
}
