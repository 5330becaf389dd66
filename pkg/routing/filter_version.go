package routing

// VersionFilter keeps upstreams of the requested service and version.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "version" }

// Keep implements Filter.
func (VersionFilter) Keep(r *Request, c *Candidate) bool {
	return (r.Service == "" || c.Service == r.Service) && (r.Version == "" || c.Version == r.Version)
}
