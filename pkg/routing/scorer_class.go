package routing

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// LabelClass is the upstream label that names the request class that the
// upstream should serve. It is a preference: requests of the other class use the
// upstream only when the other upstreams are too loaded.
const LabelClass = "class"

// ClassScorer adds a penalty for upstreams labelled with the other request
// class.
type ClassScorer struct {
	MismatchPenalty time.Duration
}

// Score implements Scorer.
func (s ClassScorer) Score(v *View, c *Candidate) float64 {
	if classFit(v.Request.Class, c) < fitMismatch {
		return 0
	}
	return s.MismatchPenalty.Seconds()
}

// How an upstream's class label fits a request's class, best fit first.
const (
	fitMatch = iota
	fitNeutral
	fitMismatch
	fitCount // number of fits
)

func classFit(class object.RequestClass, c *Candidate) int {
	switch {
	case c.class == "" || class == "":
		return fitNeutral
	case c.class == class:
		return fitMatch
	}
	return fitMismatch
}

// Parameters of the standard scorers.
const (
	// crossDataCentreRoundTrip is the round trip between data centres of one
	// region.
	crossDataCentreRoundTrip = 4 * time.Millisecond
	// waitPerPrice makes a price difference of 1 per hour count as much as a
	// wait of a quarter of the time that the request uses.
	waitPerPrice = 0.25
	// classMismatchPenalty is about the time that an idle engine needs for a
	// long prompt.
	classMismatchPenalty = time.Second
)

// StandardScorers returns all scorers with weight 1.
func StandardScorers() []WeightedScorer {
	return []WeightedScorer{
		{PrefixScorer{}, 1}, {LoadScorer{}, 1}, {DistanceScorer{DefaultRoundTrip: crossDataCentreRoundTrip}, 1},
		{PriceScorer{WaitPerPrice: waitPerPrice}, 1}, {ClassScorer{MismatchPenalty: classMismatchPenalty}, 1},
	}
}
