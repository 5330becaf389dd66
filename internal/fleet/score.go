package fleet

import (
	"math/rand/v2"
)

// The score of an instance is in units of one running request.
const (
	// prefillTokensPerRequest is the number of waiting prompt tokens that count
	// as one running request: 100 ms of prefill at 140 tokens per ms delays an
	// event of a stream about as much as a fully used slot.
	prefillTokensPerRequest = 6000.0
	// cachedTokensPerRequest is the number of cached prompt tokens that offset
	// one running request. Recomputing a token costs about three times as much as
	// the wait that it causes to other requests, and copying it from another
	// instance costs a sixth of recomputing it. At 1,200, requests with short
	// shared prefixes were spread over all instances.
	cachedTokensPerRequest = 400.0
	// secondRankFactor is the fraction of the first instance's offset for cached
	// tokens that the second instance in rendezvous order gets. The second takes
	// over when the first is busy.
	secondRankFactor = 0.5
	// ejectedPenalty ranks an ejected instance behind every healthy one.
	ejectedPenalty = 1000.0
	// warmupPenalty applies to an instance that is still slow after its start.
	warmupPenalty = 4.0
	// crossDataCentrePenalty breaks ties in favour of the daemon's own data
	// centre, because traffic between data centres is billed.
	crossDataCentrePenalty = 0.7
	// maxJitter is the upper bound of a random part of the score, which keeps
	// daemons with the same view from picking the same instance.
	maxJitter = 0.5
)

// score returns the cost of sending the request to the instance, in units of one
// running request.
func (s *Set) score(i *Instance, q Query) float64 {
	load := i.load()
	running := float64(load.Inflight)
	// Requests beyond the slots, this one included, count twice.
	if over := load.Inflight - i.Slots; over >= 0 {
		running += float64(over + 1)
	}
	// Running requests are normalised to an instance with 24 slots.
	return running*24/float64(i.Slots) + float64(load.PrefillTokens)/prefillTokensPerRequest + s.penalties(i, &q)
}

// penalties returns the costs of the instance that don't depend on its load, with a random
// part, in units of one running request.
func (s *Set) penalties(i *Instance, q *Query) float64 {
	score := rand.Float64() * maxJitter
	if i.weight <= 0 {
		score += ejectedPenalty
	} else {
		// A reduced health weight costs as much as up to 10 running requests.
		score += (1 - i.weight) * 10
	}
	if i.WarmupTime > 0 && s.clock.Since(i.AddedAt) < i.WarmupTime {
		score += warmupPenalty
	}
	if i.DataCentre != q.DataCentre {
		score += crossDataCentrePenalty
	}
	if !i.pausedUntil.IsZero() {
		score += recoveryCost(s.clock.Since(i.pausedUntil))
	}
	return score
}
