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

	rate     float64
	others   float64 // mean work of the other daemons per candidate
	scorers  []WeightedScorer
	holders  []holder
	selected []*Candidate
}

func (v *View) release() {
	clear(v.Eligible)
	clear(v.selected)
	v.Request, v.Eligible, v.selected = nil, v.Eligible[:0], v.selected[:0]
	v.holders = v.holders[:0]
}

// loadLifetime is the time constant with which a load sample loses its
// meaning: queues in front of an engine turn over in about two seconds.
const loadLifetime = 2 * time.Second

// summarise computes the set-wide means that Wait falls back to.
func (v *View) summarise() {
	v.others, v.MeanWait = 0, 0
	if len(v.Eligible) == 0 {
		return
	}
	for _, c := range v.Eligible {
		if s := c.latest(); s != nil {
			v.others += math.Max(0, s.Work-s.own)
		}
	}
	n := float64(len(v.Eligible))
	v.others /= n
	for _, c := range v.Eligible {
		v.MeanWait += v.Wait(c)
	}
	v.MeanWait /= n
}

// Rate returns the candidate's rate in work units per second.
func (v *View) Rate(c *Candidate) float64 { return c.Rate(v.rate) }

// Wait returns the expected wait at the candidate before new work starts, in
// seconds. This daemon's own work is exact. The work of others comes from the
// latest load sample and fades into the mean of the set with the sample's age,
// so that daemons with equally stale samples don't chase the same minimum.
func (v *View) Wait(c *Candidate) float64 {
	others := v.others
	if s := c.latest(); s != nil {
		trust := math.Exp(-v.Now.Sub(s.At).Seconds() / loadLifetime.Seconds())
		trust = math.Min(1, trust)
		others = trust*math.Max(0, s.Work-s.own) + (1-trust)*v.others
	}
	weight := math.Max(c.HealthWeight(), 0.01)
	return (others + c.OwnWork()) / (v.Rate(c) * weight)
}

// CachedBlocks returns how many of the request's blocks the candidate
// presumably holds.
func (v *View) CachedBlocks(c *Candidate) int {
	for i := range v.holders {
		if v.holders[i].name == c.Name {
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
