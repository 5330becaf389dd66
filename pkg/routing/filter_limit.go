package routing

import (
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// LimitFilter removes upstreams at their concurrency limit, or at the limit
// for long requests if the request is long. During slow start the limits are
// scaled by the health weight, but stay at least 1.
type LimitFilter struct{}

// Name implements Filter.
func (LimitFilter) Name() string { return "limit" }

// Keep implements Filter.
func (LimitFilter) Keep(r *Request, c *Candidate) bool {
	if !below(c.inFlight.Load(), c.limit.Load(), c) {
		return false
	}
	return r.Class != object.ClassLong || below(c.long.Load(), c.longMax.Load(), c)
}

func below(used, limit int64, c *Candidate) bool {
	if limit <= 0 {
		return true
	}
	return used < max(1, int64(float64(limit)*c.HealthWeight()))
}
