package routing

import (
	"math"
	"time"
)

// View is the input of scorers and pickers for one pick. It is used by one
// goroutine and is invalid after the pick.
type View struct {
	Request  *Request
	Now      time.Time
	Eligible []*Candidate
	// MeanWait is the mean expected wait over the eligible candidates, in
	// seconds.
	MeanWait float64

	request        Request           // backs Request without an allocation per pick
	rate           float64           // rate of candidates without a measured or nominal one, in work units per second
	othersMeanWork [fitCount]float64 // mean work of the other daemons per candidate, by class fit
	now            int64             // Now in Unix nanoseconds
	samples        []*loadSample     // latest load of each eligible candidate
	waits          []float64         // expected wait at each eligible candidate in seconds; infinite if it is full
	scorers        []WeightedScorer
	holders        []holder
	selected       []*Candidate // the picker's current choice of the eligible candidates
	ranks          []uint64     // rendezvous ranks of selected
}

// release clears the view for reuse, so that it keeps no candidate alive.
func (v *View) release() {
	clear(v.Eligible)
	clear(v.selected)
	v.request, v.Request = Request{}, nil
	v.Eligible, v.selected = v.Eligible[:0], v.selected[:0]
	clear(v.samples)
	v.samples = v.samples[:0]
	v.holders, v.ranks, v.waits = v.holders[:0], v.ranks[:0], v.waits[:0]
}

// loadHalfWeightAge is the age at which a load sample counts half, because most
// of the queue at the time of the sample has been served. With 2 s instead, the
// policy benchmark recomputed 1.1 to 1.7 times as many tokens on mix A, because
// picks avoided upstreams whose queues no longer existed.
const loadHalfWeightAge = 250 * time.Millisecond

// computeWaits computes the expected wait at each eligible candidate and the
// means over all of them.
func (v *View) computeWaits() {
	v.MeanWait = 0
	if len(v.Eligible) == 0 {
		return
	}
	v.now = v.Now.UnixNano()
	v.computeOthersWork()
	for i, c := range v.Eligible {
		wait := v.wait(c, v.samples[i])
		v.MeanWait += wait
		if full(c, v.samples[i]) {
			wait = math.Inf(1)
		}
		v.waits = append(v.waits, wait)
	}
	v.MeanWait /= float64(len(v.Eligible))
}

// computeOthersWork computes the mean outstanding work of the other daemons.
// Upstreams are averaged separately by class fit, because their load differs.
func (v *View) computeOthersWork() {
	var counts [fitCount]float64
	v.othersMeanWork = [fitCount]float64{}
	for _, c := range v.Eligible {
		s := c.latestLoad()
		v.samples = append(v.samples, s)
		if s != nil {
			fit := classFit(v.Request.Class, c)
			v.othersMeanWork[fit] += max(0, s.Work-s.ownWork)
			counts[fit]++
		}
	}
	for fit := range v.othersMeanWork {
		v.othersMeanWork[fit] /= math.Max(1, counts[fit])
	}
}

// fullShare is the used part of an upstream's slots from which on the upstream
// counts as full. The rest is for requests of other daemons that the latest load
// sample doesn't include yet.
const fullShare = 0.9

// full reports whether the upstream has few free slots. Outstanding work alone
// doesn't show that, because a request that is generating tokens occupies a slot
// but has no outstanding work.
func full(c *Candidate, s *loadSample) bool {
	if s == nil || s.Slots <= 0 {
		return false
	}
	others := max(0, s.Running+s.Waiting-s.ownInFlight)
	return float64(others+c.InFlight()) >= fullShare*float64(s.Slots)
}

// Rate returns the candidate's rate in work units per second.
func (v *View) Rate(c *Candidate) float64 { return c.Rate(v.rate) }

// Wait returns the expected wait at the candidate before new work starts, in
// seconds. This daemon's own work is exact. The work of others comes from the
// latest load sample; the older the sample, the more the mean of the eligible
// candidates replaces it, so that daemons with equally stale samples don't all
// pick the same upstream.
func (v *View) Wait(c *Candidate) float64 { return v.wait(c, c.latestLoad()) }

func (v *View) wait(c *Candidate, s *loadSample) float64 {
	mean := v.othersMeanWork[classFit(v.Request.Class, c)]
	others := mean
	if s != nil {
		age := float64(max(0, v.now-s.at)) / float64(loadHalfWeightAge)
		sampleWeight := 1 / (1 + age*age)
		others = sampleWeight*max(0, s.Work-s.ownWork) + (1-sampleWeight)*mean
	}
	weight := math.Max(c.HealthWeight(), 0.01) // avoids a division by 0
	return (others + c.OwnWork()) / (v.Rate(c) * weight)
}

// CachedBlocks returns how many of the request's blocks the candidate probably
// has in its cache.
func (v *View) CachedBlocks(c *Candidate) int {
	for i := range v.holders {
		if v.holders[i].id == c.hash {
			return v.holders[i].depth
		}
	}
	return 0
}

// uncachedWork returns the work of the request without the blocks that the
// candidate probably has in its cache, in work units.
func (v *View) uncachedWork(c *Candidate) float64 {
	cached := float64(v.CachedBlocks(c)) * v.Request.BlockWork
	return math.Max(1, v.Request.work()-cached)
}

// Score returns the weighted sum of the scorers in seconds; lower is better.
func (v *View) Score(c *Candidate) float64 {
	sum := 0.0
	for _, s := range v.scorers {
		sum += s.Weight * s.Scorer.Score(v, c)
	}
	return sum
}
