package routing

import "math"

// LimitFilter removes upstreams at their concurrency limit. During slow start
// the limit is scaled by the health weight, but stays at least 1.
type LimitFilter struct{}

// Name implements Filter.
func (LimitFilter) Name() string { return "limit" }

// Keep implements Filter.
func (LimitFilter) Keep(_ *Request, c *Candidate) bool {
	limit := c.Limit()
	if limit <= 0 {
		return true
	}
	scaled := math.Max(1, math.Floor(float64(limit)*c.HealthWeight()))
	return c.InFlight() < int(scaled)
}
