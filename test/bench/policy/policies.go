package main

import (
	"math"
	"math/rand/v2"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

const (
	product      = "affinity"
	roundRobin   = "round robin"
	perfectCache = "perfect cache"
	perfectTime  = "perfect time"
)

func policies() []policy {
	return []policy{
		{roundRobin, baseline(func(*fleet, *rand.Rand) routing.Picker { return &routing.RoundRobin{} })},
		{"least outstanding", baseline(func(_ *fleet, r *rand.Rand) routing.Picker {
			return &routing.LeastOutstanding{IntN: r.IntN}
		})},
		{"prefix hash", baseline(func(*fleet, *rand.Rand) routing.Picker { return &routing.PrefixHash{} })},
		{perfectTime, baseline(func(f *fleet, _ *rand.Rand) routing.Picker { return &timeOracle{f} })},
		{perfectCache, baseline(func(f *fleet, _ *rand.Rand) routing.Picker { return &cacheOracle{f} })},
		{product, makeProduct},
	}
}

func baseline(make func(*fleet, *rand.Rand) routing.Picker) func(*fleet, *rand.Rand) (*routing.Scheduler, *routing.PrefixIndex) {
	return func(f *fleet, r *rand.Rand) (*routing.Scheduler, *routing.PrefixIndex) {
		return routing.New(routing.Config{
			Clock: f.sim.clock, Filters: routing.StandardFilters(), Picker: make(f, r),
		}), nil
	}
}

func makeProduct(f *fleet, r *rand.Rand) (*routing.Scheduler, *routing.PrefixIndex) {
	index := routing.NewPrefixIndex(0)
	return routing.New(routing.Config{
		Clock: f.sim.clock, Index: index,
		Filters: routing.StandardFilters(), Scorers: routing.StandardScorers(),
		Picker: routing.NewAffinity(routing.AffinityConfig{IntN: r.IntN}),
	}), index
}

// timeOracle knows all queues and caches and takes the engine with the
// earliest first token.
type timeOracle struct{ f *fleet }

// Pick implements routing.Picker.
func (p *timeOracle) Pick(v *routing.View) routing.Decision {
	var best *routing.Candidate
	minTime := math.Inf(1)
	for _, c := range v.Eligible {
		e := p.f.engines[c.Name]
		work := float64(e.queuedTokens) + v.Request.Work - float64(e.cachedTokens(v.Request.Blocks))
		if t := work / e.tokensPerSecond; t < minTime {
			best, minTime = c, t
		}
	}
	return routing.Decision{Candidate: best}
}

// cacheOracle knows all queues and caches and takes the engine with the
// longest cached prefix whose queue is below the product's load bound: 1.25
// times the mean queue plus 50 ms and the time that the cached prefix saves.
// Engines with equal prefixes are chosen by the shortest queue.
type cacheOracle struct{ f *fleet }

// Pick implements routing.Picker.
func (p *cacheOracle) Pick(v *routing.View) routing.Decision {
	mean := 0.0
	for _, e := range p.f.order {
		mean += float64(e.queuedTokens) / e.tokensPerSecond / engines
	}
	var best *routing.Candidate
	maxDepth, minWait := -1, math.Inf(1)
	for _, c := range v.Eligible {
		e := p.f.engines[c.Name]
		depth := e.cachedTokens(v.Request.Blocks)
		wait := float64(e.queuedTokens) / e.tokensPerSecond
		if wait > 1.25*mean+0.05+float64(depth)/e.tokensPerSecond && best != nil {
			continue
		}
		if depth > maxDepth || (depth == maxDepth && wait < minWait) {
			best, maxDepth, minWait = c, depth, wait
		}
	}
	return routing.Decision{Candidate: best}
}
