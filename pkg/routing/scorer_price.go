package routing

// PriceScorer converts the price of the time that the request uses into a
// penalty. A fast upstream is charged for less time than a slow one.
type PriceScorer struct {
	// WaitPerPrice is the wait in seconds that counts as much as one second of
	// use of an upstream with a price of 1 per hour.
	WaitPerPrice float64
}

// Score implements Scorer.
func (s PriceScorer) Score(v *View, c *Candidate) float64 {
	return s.WaitPerPrice * c.PricePerHour * v.uncachedWork(c) / v.Rate(c)
}
