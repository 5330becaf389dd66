package object

// constraint is the conjunction of all requirements on one label key.
type constraint struct {
	present, absent bool
	allowed         map[string]bool // nil means any value
	excluded        map[string]bool
}

func (c *constraint) allow(values ...string) {
	c.present = true
	next := make(map[string]bool)
	for _, v := range values {
		if c.allowed == nil || c.allowed[v] {
			next[v] = true
		}
	}
	c.allowed = next
}

func (c *constraint) exclude(values []string) {
	if c.excluded == nil {
		c.excluded = make(map[string]bool)
	}
	for _, v := range values {
		c.excluded[v] = true
	}
}

func (c *constraint) satisfiable() bool {
	if !c.present {
		return true // the remaining requirements are met without the label
	}
	if c.absent {
		return false
	}
	if c.allowed == nil {
		return true
	}
	for v := range c.allowed {
		if !c.excluded[v] {
			return true
		}
	}
	return false
}

// Overlaps reports whether some label set satisfies both selectors.
func (s Selector) Overlaps(other Selector) bool {
	constraints := make(map[string]*constraint)
	s.constrain(constraints)
	other.constrain(constraints)
	for _, c := range constraints {
		if !c.satisfiable() {
			return false
		}
	}
	return true
}

func (s Selector) constrain(constraints map[string]*constraint) {
	at := func(key string) *constraint {
		if constraints[key] == nil {
			constraints[key] = &constraint{}
		}
		return constraints[key]
	}
	for key, value := range s.MatchLabels {
		at(key).allow(value)
	}
	for _, r := range s.MatchExpressions {
		c := at(r.Key)
		switch r.Operator {
		case OpIn:
			c.allow(r.Values...)
		case OpNotIn:
			c.exclude(r.Values)
		case OpExists:
			c.present = true
		case OpNotExists:
			c.absent = true
		}
	}
}

// Overlaps reports whether some request matches both routes.
func (r *Route) Overlaps(other *Route) bool {
	return r.Service == other.Service &&
		(r.Class == "" || other.Class == "" || r.Class == other.Class) &&
		(r.Operation == "" || other.Operation == "" || r.Operation == other.Operation) &&
		r.Accounts.Overlaps(other.Accounts)
}

// Overlaps reports whether both moves are open and can apply to the same
// request at the same time. A move applies from Start (inclusive) to Deadline
// (exclusive).
func (m *Move) Overlaps(other *Move) bool {
	return m.Open() && other.Open() && m.Service == other.Service &&
		(m.Route == "" || other.Route == "" || m.Route == other.Route) &&
		m.Start.Before(other.Deadline) && other.Start.Before(m.Deadline) &&
		m.Accounts.Overlaps(other.Accounts)
}

// Open reports whether the move is neither cancelled, done nor taken back.
func (m *Move) Open() bool { return m.State == "" || m.State == MoveOpen }
