package routing

import "time"

// DistanceScorer is the extra round-trip time to another data centre.
type DistanceScorer struct {
	// RoundTrip returns the round-trip time between two data centres; nil
	// means DefaultRoundTrip for all pairs.
	RoundTrip func(from, to string) time.Duration
	// DefaultRoundTrip is the round-trip time used without a RoundTrip function.
	DefaultRoundTrip time.Duration
}

// Score implements Scorer.
func (s DistanceScorer) Score(v *View, c *Candidate) float64 {
	if c.DataCentre == v.Request.DataCentre {
		return 0
	}
	if s.RoundTrip != nil {
		return s.RoundTrip(v.Request.DataCentre, c.DataCentre).Seconds()
	}
	return s.DefaultRoundTrip.Seconds()
}
