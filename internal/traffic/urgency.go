package traffic

import (
	"slices"
	"time"
)

// minObjectiveRatio is how many times longer than that of a more urgent route the
// objective of a route must be for its requests to wait: with more than twice the time,
// they can wait as long as the urgent ones take and still be on time.
const minObjectiveRatio = 2

// level is the urgency of a route of a service.
type level struct {
	priority  int
	objective time.Duration
}

// urgencyLevels returns the levels of each service.
func urgencyLevels(routes []*Route) map[string][]level {
	levels := map[string][]level{}
	for _, r := range routes {
		if r.Objective <= 0 {
			continue
		}
		l := level{r.Priority, r.Objective}
		for _, s := range r.Shares {
			if !slices.Contains(levels[s.Service], l) {
				levels[s.Service] = append(levels[s.Service], l)
			}
		}
	}
	return levels
}

// Yields reports whether a request of route r with the given priority waits while the
// service has no room, so that more urgent ones are served first. It does if another route
// of the service has a higher priority (a lower number) and the objective of r is more than
// minObjectiveRatio times as long as the objective of that route.
func (t *Table) Yields(r *Route, service string, priority int) bool {
	for _, l := range t.levels[service] {
		if l.priority < priority && r.Objective > minObjectiveRatio*l.objective {
			return true
		}
	}
	return false
}
