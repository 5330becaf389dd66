package routing

// PriceScorer converts the price of the upstream's time into a penalty.
type PriceScorer struct {
	// SecondsPerPrice is the wait that is worth one unit of price per hour.
	SecondsPerPrice float64
}

// Score implements Scorer.
func (s PriceScorer) Score(_ *View, c *Candidate) float64 { return c.PricePerHour * s.SecondsPerPrice }
