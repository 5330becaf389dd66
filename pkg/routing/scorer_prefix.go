package routing

// PrefixScorer is the time to process the part of the prompt that is probably
// not cached.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(v *View, c *Candidate) float64 { return v.uncachedWork(c) / v.Rate(c) }
