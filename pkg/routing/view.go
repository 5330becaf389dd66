package routing

import (
	"math"
	"time"
)

// View is what scorers and pickers see of one pick. It is used by one
// goroutine and is invalid after the pick.
type View struct {
	Request  *Request
	Now      time.Time
	Eligible []*Candidate
	// MeanWait is the mean expected wait over the eligible candidates, in
	// seconds.
	MeanWait float64

	request  Request // backs Request without an allocation per pick
	rate     float64
	others   [fits]float64 // mean work of the other daemons per candidate, by class fit
	now      int64         // Now in Unix nanoseconds
	samples  []*loadSample // of each eligible candidate
	waits    []float64     // of each eligible candidate
	scorers  []WeightedScorer
	holders  []holder
	selected []*Candidate
	ranks    []uint64
}

func (v *View) release() {
	clear(v.Eligible)
	clear(v.selected)
	v.request, v.Request = Request{}, nil
	v.Eligible, v.selected = v.Eligible[:0], v.selected[:0]
	clear(v.samples)
	v.samples = v.samples[:0]
	v.holders, v.ranks, v.waits = v.holders[:0], v.ranks[:0], v.waits[:0]
}

// loadLifetime is the age at which a load sample has lost half of its meaning:
// the queue that it saw has mostly been served. With 2 s instead, the policy
// benchmark recomputed 1.1 to 1.7 times as many tokens on mix A, because picks
// fled from queues that no longer existed.
const loadLifetime = 250 * time.Millisecond

// summarise computes the set-wide means and the wait of each candidate.
func (v *View) summarise() {
	v.MeanWait = 0
	if len(v.Eligible) == 0 {
		return
	}
	v.now = v.Now.UnixNano()
	v.summariseOthers()
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

// summariseOthers computes the mean work of the other daemons. Upstreams meant
// for one class are averaged separately, because their load differs.
func (v *View) summariseOthers() {
	var counts [fits]float64
	v.others = [fits]float64{}
	for _, c := range v.Eligible {
		s := c.latest()
		v.samples = append(v.samples, s)
		if s != nil {
			fit := classFit(v.Request.Class, c)
			v.others[fit] += max(0, s.Work-s.own)
			counts[fit]++
		}
	}
	for fit := range v.others {
		v.others[fit] /= math.Max(1, counts[fit])
	}
}

// fullShare is the part of an upstream's slots above which the load bound
// holds it to be full. The rest absorbs what other daemons send unseen.
const fullShare = 0.9

// full reports whether the upstream has few free slots. Work alone doesn't
// show that, because generating requests have no work left.
func full(c *Candidate, s *loadSample) bool {
	if s == nil || s.Slots <= 0 {
		return false
	}
	others := max(0, s.Running+s.Waiting-s.inFlight)
	return float64(others+c.InFlight()) >= fullShare*float64(s.Slots)
}

// Rate returns the candidate's rate in work units per second.
func (v *View) Rate(c *Candidate) float64 { return c.Rate(v.rate) }

// Wait returns the expected wait at the candidate before new work starts, in
// seconds. This daemon's own work is exact. The work of others comes from the
// latest load sample and fades into the mean of the set with the sample's age,
// so that daemons with equally stale samples don't chase the same minimum.
func (v *View) Wait(c *Candidate) float64 { return v.wait(c, c.latest()) }

func (v *View) wait(c *Candidate, s *loadSample) float64 {
	mean := v.others[classFit(v.Request.Class, c)]
	others := mean
	if s != nil {
		age := float64(max(0, v.now-s.at)) / float64(loadLifetime)
		trust := 1 / (1 + age*age)
		others = trust*max(0, s.Work-s.own) + (1-trust)*mean
	}
	weight := math.Max(c.HealthWeight(), 0.01)
	return (others + c.OwnWork()) / (v.Rate(c) * weight)
}

// CachedBlocks returns how many of the request's blocks the candidate
// presumably holds.
func (v *View) CachedBlocks(c *Candidate) int {
	for i := range v.holders {
		if v.holders[i].id == c.hash {
			return v.holders[i].depth
		}
	}
	return 0
}

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
