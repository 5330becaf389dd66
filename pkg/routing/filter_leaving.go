package routing

// LeavingFilter removes upstreams that have announced that they are leaving.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Request, c *Candidate) bool { return !c.Leaving() }
