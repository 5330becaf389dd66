package routing

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// LabelClass is the upstream label that names the request class for which the
// upstream is meant. It is a preference: the other class uses the upstream
// only when the rest is too loaded.
const LabelClass = "class"

// ClassScorer is a penalty for upstreams meant for the other request class.
type ClassScorer struct {
	Mismatch time.Duration
}

// Score implements Scorer.
func (s ClassScorer) Score(v *View, c *Candidate) float64 {
	if classFit(v.Request.Class, c) < fitOther {
		return 0
	}
	return s.Mismatch.Seconds()
}

// Fits of an upstream's class label, best first.
const (
	fitMeant = iota
	fitNeutral
	fitOther
	fits
)

func classFit(class object.RequestClass, c *Candidate) int {
	switch {
	case c.class == "" || class == "":
		return fitNeutral
	case c.class == class:
		return fitMeant
	}
	return fitOther
}

// Weights in seconds of wait of the standard scorers.
const (
	// remoteRoundTrip is the round trip between data centres of one region.
	remoteRoundTrip = 4 * time.Millisecond
	// priceExchange makes a price difference of 1 per hour worth a quarter of
	// the time that the request uses.
	priceExchange = 0.25
	// classMismatch is about the time of a long prompt on an idle engine.
	classMismatch = time.Second
)

// StandardScorers returns all scorers with weight 1.
func StandardScorers() []WeightedScorer {
	return []WeightedScorer{
		{PrefixScorer{}, 1}, {LoadScorer{}, 1}, {DistanceScorer{Remote: remoteRoundTrip}, 1},
		{PriceScorer{Exchange: priceExchange}, 1}, {ClassScorer{Mismatch: classMismatch}, 1},
	}
}
