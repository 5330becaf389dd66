package routing

import "slices"

// ExcludedFilter removes upstreams that earlier attempts of the request used.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Keep implements Filter.
func (ExcludedFilter) Keep(r *Request, c *Candidate) bool {
	return len(r.Excluded) == 0 || !slices.Contains(r.Excluded, c.Name)
}

// StandardFilters returns all filters, the cheapest and most selective first.
func StandardFilters() []Filter {
	return []Filter{VersionFilter{}, LeavingFilter{}, EjectedFilter{}, ExcludedFilter{}, LimitFilter{}}
}
