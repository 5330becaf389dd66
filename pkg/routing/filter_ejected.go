package routing

// EjectedFilter removes upstreams with health weight 0.
type EjectedFilter struct{}

// Name implements Filter.
func (EjectedFilter) Name() string { return "ejected" }

// Keep implements Filter.
func (EjectedFilter) Keep(_ *Request, c *Candidate) bool { return c.HealthWeight() > 0 }
