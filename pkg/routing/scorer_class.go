package routing

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// LabelClass is the upstream label that names the request class for which the
// upstream is meant; upstreams without it serve both classes alike.
const LabelClass = "class"

// ClassScorer is a penalty for upstreams meant for the other request class.
type ClassScorer struct {
	Mismatch time.Duration
}

// Score implements Scorer.
func (s ClassScorer) Score(v *View, c *Candidate) float64 {
	want, ok := c.Labels[LabelClass]
	if !ok || v.Request.Class == "" || object.RequestClass(want) == v.Request.Class {
		return 0
	}
	return s.Mismatch.Seconds()
}

// Weights in seconds of wait of the standard scorers.
const (
	// remoteRoundTrip is the round trip between data centres of one region.
	remoteRoundTrip = 4 * time.Millisecond
	// secondsPerPrice makes a price difference of 1 per hour worth 20 ms.
	secondsPerPrice = 0.02
	// classMismatch is about the time of a long prompt on an idle engine.
	classMismatch = time.Second
)

// StandardScorers returns all scorers with weight 1.
func StandardScorers() []WeightedScorer {
	return []WeightedScorer{
		{PrefixScorer{}, 1}, {LoadScorer{}, 1}, {DistanceScorer{Remote: remoteRoundTrip}, 1},
		{PriceScorer{SecondsPerPrice: secondsPerPrice}, 1}, {ClassScorer{Mismatch: classMismatch}, 1},
	}
}
