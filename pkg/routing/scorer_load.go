package routing

// LoadScorer is the expected wait behind outstanding work.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(v *View, c *Candidate) float64 { return v.Wait(c) }
