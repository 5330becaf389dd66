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
	if !belowLimit(c.inFlight.Load(), c.limit.Load(), c) {
		return false
	}
	return r.Class != object.ClassLong || belowLimit(c.longInFlight.Load(), c.longLimit.Load(), c)
}

// belowLimit reports whether used is below limit, scaled by the candidate's
// health weight. A limit of 0 or less means none.
func belowLimit(used, limit int64, c *Candidate) bool {
	if limit <= 0 {
		return true
	}
	return used < max(1, int64(float64(limit)*c.HealthWeight()))
}
