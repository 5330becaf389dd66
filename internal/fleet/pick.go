package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

// ErrNoInstance is returned when no instance of the service can take the request.
var ErrNoInstance = errors.New("no instance available")

// Query describes a request for Pick.
type Query struct {
	Service string
	// AffinityKey identifies a long prompt prefix that requests share; empty if none.
	AffinityKey string
	// PromptTokens is the length of the prompt, SharedTokens that of the prefix
	// that AffinityKey identifies.
	PromptTokens, SharedTokens int
	// Excluded lists the IDs of instances where an attempt has already failed.
	Excluded []string
	// Accept filters by version; nil accepts all.
	Accept func(version string) bool
	// AllowDataCentre filters by data centre; nil allows all.
	AllowDataCentre func(dataCentre string) bool
	// DataCentre is the daemon's data centre.
	DataCentre string
	// Objective is the latency objective, 0 if there is none. Priority 0 is the highest.
	Objective time.Duration
	Priority  int
	// Whole tells that the answer isn't a stream: its time is that until its end.
	Whole bool
}

// Reservation is the slot of one request on an instance. Release must be called
// when the attempt has ended.
type Reservation struct {
	Description
	set               *Set
	promptTokens      int
	firstEventArrived bool
	// Load is the known load of the instance when it was picked, without this
	// request.
	Load Load
	// PromptSource is the address of another instance that probably caches the
	// shared prefix of the prompt; empty if none is known.
	PromptSource string
	// Predicted is the predicted time until the first event of a stream or the end of
	// another answer, and Alternative the shortest one among the other instances. Both are 0 if the speeds of the service don't differ.
	Predicted, Alternative time.Duration
	work                   speed.Work
	picked                 time.Time // zero while no instances are fragile
}

const (
	// maxDaemonsWithoutSampling is the number of daemons up to which each daemon
	// picks from all instances. With more, each picks from a random sample.
	maxDaemonsWithoutSampling = 10.0
	// copyMargin is how long before a leaving instance stops prompts are no
	// longer copied from it. With copies until the end, the requests that waited
	// for a copy got their first event late.
	copyMargin = 500 * time.Millisecond
)

// Pick reserves a slot on the instance with the lowest score.
func (s *Set) Pick(q Query) (*Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *Instance
	var predicted, alternative float64
	predictor := s.predictor(q)
	ranking := s.rankByAffinity(q)
	sample := s.sampleShare()
	for round := 0; round < 2 && best == nil; round++ {
		// If the sample has no eligible instance, the second round considers all.
		if predictor == nil {
			best = s.bestInstance(q, ranking, sample)
		} else {
			best, predicted, alternative = s.soonestInstance(predictor, &ranking, sample)
		}
		sample = 1
	}
	if best == nil {
		return nil, ErrNoInstance
	}
	reservation := &Reservation{
		Description: best.Description, set: s, promptTokens: q.PromptTokens, Load: best.load(), PromptSource: ranking.source(best),
		work: workAt(best, q, best == ranking.targets.first),
	}
	if predictor != nil {
		predictor.reserved(reservation, predicted, alternative)
	}
	if len(s.fragile) > 0 {
		reservation.picked = s.clock.Now()
	}
	for _, c := range s.Constraints {
		c.Reserve(&best.Description)
	}
	best.inflight++
	best.prefill += q.PromptTokens
	return reservation, nil
}

// bestInstance returns the eligible instance with the lowest score among the
// first two of the affinity ranking and a random sample of the others. sample is
// the probability with which each of the others is considered.
func (s *Set) bestInstance(q Query, ranking affinityRanking, sample float64) *Instance {
	var best *Instance
	bestScore := 0.0
	for _, i := range s.byService[q.Service] {
		if sample < 1 && !ranking.ranks(i) && rand.Float64() >= sample || !s.eligible(i, q) {
			continue
		}
		score := s.score(i, q)
		switch i {
		case ranking.targets.first:
			score -= float64(q.SharedTokens) / cachedTokensPerRequest
		case ranking.targets.second:
			score -= float64(q.SharedTokens) / cachedTokensPerRequest * secondRankFactor
		}
		if best == nil || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// HasAlternative reports whether Pick would find a healthy instance for the request.
func (s *Set) HasAlternative(q Query) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.byService[q.Service] {
		if i.weight > 0 && s.eligible(i, q) {
			return true
		}
	}
	return false
}

// soonestInstance returns the eligible instance with the lowest cost by the predictor, among
// the same as bestInstance, its predicted time, and the shortest one among the others, in
// seconds.
func (s *Set) soonestInstance(p *predictor, ranking *affinityRanking, sample float64) (best *Instance, predicted, alternative float64) {
	var bestCost float64
	var others shortestTwo
	for _, i := range s.byService[p.query.Service] {
		if sample < 1 && !ranking.ranks(i) && rand.Float64() >= sample || !s.eligible(i, p.query) {
			continue
		}
		cost, seconds := p.score(s, i, ranking)
		others.add(i, seconds)
		if best == nil || cost < bestCost {
			best, bestCost, predicted = i, cost, seconds
		}
	}
	return best, predicted, others.without(best)
}

// sampleShare returns the share of the instances to pick from. Without sampling,
// many daemons with the same load reports would all pick the same instance.
func (s *Set) sampleShare() float64 {
	if s.DaemonCount == nil {
		return 1
	}
	return min(maxDaemonsWithoutSampling/float64(max(s.DaemonCount(), 1)), 1)
}

func (i *Instance) load() Load {
	return Load{Inflight: i.inflight + i.remoteInflight, PrefillTokens: i.prefill + i.remotePrefill}
}

// eligible is selectable for an instance that has room, as far as that counts.
func (s *Set) eligible(i *Instance, q Query) bool { return s.selectable(i, q) && s.hasRoom(i) }

// selectable reports whether the instance takes new requests and is usable.
func (s *Set) selectable(i *Instance, q Query) bool { return !i.Leaving && s.usable(i, q) }

// usable reports whether the instance still owns its address and has not asked for a
// pause, the request neither excludes it nor rejects its version or data centre, and the constraints
// allow it.
func (s *Set) usable(i *Instance, q Query) bool { return s.available(i, q) && s.allowed(i) }

// available is usable without regard to the constraints.
func (s *Set) available(i *Instance, q Query) bool {
	return !i.displaced && (i.pausedUntil.IsZero() || !s.clock.Now().Before(i.pausedUntil)) && s.addresses[i.Address] == i.ID && !slices.Contains(q.Excluded, i.ID) &&
		(q.Accept == nil || q.Accept(i.Version)) && (q.AllowDataCentre == nil || q.AllowDataCentre(i.DataCentre))
}

// allowed reports whether no constraint withholds requests from the instance.
func (s *Set) allowed(i *Instance) bool {
	for _, c := range s.Constraints {
		if !c.Allows(&i.Description) {
			return false
		}
	}
	return true
}

// affinityRanking holds the instances that rank first in rendezvous order
// (highest random weight hashing) for a shared prompt prefix. All daemons with
// the same view compute the same ranking.
type affinityRanking struct {
	// targets can take the request.
	targets topTwo
	// sources may have the prefix in their cache. They include leaving instances,
	// which were targets until they announced that they are leaving.
	sources topTwo
}

// ranks reports whether the instance is one of the two targets.
func (r *affinityRanking) ranks(i *Instance) bool {
	return i == r.targets.first || i == r.targets.second
}

// topTwo holds the two instances with the highest ranks of those added.
type topTwo struct {
	first, second         *Instance
	firstRank, secondRank float64
}

func (t *topTwo) add(i *Instance, rank float64) {
	switch {
	case t.first == nil || rank > t.firstRank:
		t.second, t.secondRank = t.first, t.firstRank
		t.first, t.firstRank = i, rank
	case t.second == nil || rank > t.secondRank:
		t.second, t.secondRank = i, rank
	}
}

// source returns the address from which the picked instance can copy the shared
// prefix. When a new instance takes the first rank, the previous first has the
// prefix and ranks second, so the copy comes from there.
func (r affinityRanking) source(picked *Instance) string {
	for _, i := range []*Instance{r.sources.first, r.sources.second} {
		if i != nil && i != picked && i.Version == picked.Version {
			return i.Address
		}
	}
	return ""
}

// rankByAffinity ranks the instances of the service for the shared prompt prefix
// of the request. The ranking is empty if the request has no affinity key.
func (s *Set) rankByAffinity(q Query) affinityRanking {
	var r affinityRanking
	if q.AffinityKey == "" {
		return r
	}
	keyHash, weighted := affinityHash(q.AffinityKey), s.times.views[q.Service] != nil
	for _, i := range s.byService[q.Service] {
		hash := rendezvousHash(keyHash, i.ID)
		// Most instances rank below those found already; the other checks take longer.
		if maxRank(hash, i, weighted) < min(r.targets.secondRank, r.sources.secondRank) || i.weight <= 0 || !s.usable(i, q) || s.restrained(i) {
			continue
		}
		value := rank(hash, i, weighted)
		if s.canServeCopies(i) {
			r.sources.add(i, value)
		}
		if !i.Leaving {
			r.targets.add(i, value)
		}
	}
	return r
}

// canServeCopies reports whether other instances can still copy prompts from i.
func (s *Set) canServeCopies(i *Instance) bool {
	return !i.Leaving || s.clock.Since(i.LeavingSince) < i.RemainingLifetime-copyMargin
}

// FirstEventArrived records that the first event has arrived, which means that
// the instance has processed the prompt.
func (r *Reservation) FirstEventArrived() {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	if r.firstEventArrived {
		return
	}
	r.firstEventArrived = true
	if i := r.set.instances[r.ID]; i != nil {
		i.prefill = max(i.prefill-r.promptTokens, 0)
	}
}

// Release frees the slot.
func (r *Reservation) Release() {
	r.FirstEventArrived()
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	if i := r.set.instances[r.ID]; i != nil {
		i.inflight = max(i.inflight-1, 0)
	}
}

// MarkDisplaced records that another instance answered at the address.
func (r *Reservation) MarkDisplaced() { r.set.MarkDisplaced(r.ID) }

// Observe records the outcome of the attempt in the health of the instance.
func (r *Reservation) Observe(failed bool, latency, expected time.Duration) {
	r.set.Observe(r.ID, failed, latency, expected)
}
