package fleet

import (
	"slices"
	"time"
)

// Restraint is a Constraint that lets some requests through to the instances that it
// applies to, and that learns from attempts. The set calls Restrains and Delay while it
// holds its lock.
type Restraint interface {
	Constraint
	// Active reports whether requests may be withheld from any instance.
	Active() bool
	// Restrains reports whether the instance gets a part of the requests only. It then
	// doesn't rank for prompt prefixes: requests that share one would change between
	// instances.
	Restrains(d *Description) bool
	// Delay returns the time until Allows may be true; 0 if it is now.
	Delay(d *Description) time.Duration
	// Elsewhere reports whether only the choice of other daemons keeps the instance from
	// requests of this one.
	Elsewhere(d *Description) bool
	// Unreachable records that the instance accepted no connection.
	Unreachable(d *Description)
	// Answered records that the instance has answered a request.
	Answered(d *Description)
}

// AddConstraint adds a constraint. It is called before the first Pick.
func (s *Set) AddConstraint(c Constraint) {
	s.Constraints = append(s.Constraints, c)
	if r, ok := c.(Restraint); ok {
		s.restraints = append(s.restraints, r)
	}
}

// restrained reports whether the instance gets a part of the requests only. The caller
// holds the lock.
func (s *Set) restrained(i *Instance) bool {
	for _, r := range s.restraints {
		if r.Restrains(&i.Description) {
			return true
		}
	}
	return false
}

// Withheld returns the least time until an instance that only a Restraint keeps from the
// request may take it, and false if there is none.
func (s *Set) Withheld(q Query) (time.Duration, bool) {
	if !slices.ContainsFunc(s.restraints, Restraint.Active) {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var least time.Duration
	found := false
	for _, i := range s.byService[q.Service] {
		if i.Leaving || !s.available(i, q) {
			continue
		}
		if wait, only := s.delay(i); only && (!found || wait < least) {
			least, found = wait, true
		}
	}
	return least, found
}

// ServedElsewhere reports whether other daemons may send the request to an instance that
// only a Restraint keeps from it here.
func (s *Set) ServedElsewhere(q Query) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.byService[q.Service] {
		if i.Leaving || !s.available(i, q) {
			continue
		}
		if _, only := s.delay(i); only && slices.ContainsFunc(s.restraints, func(r Restraint) bool { return r.Elsewhere(&i.Description) }) {
			return true
		}
	}
	return false
}

// delay returns the time for which restraints withhold requests from an instance, and
// false if they don't, or if another constraint does too. The caller holds the lock.
func (s *Set) delay(i *Instance) (time.Duration, bool) {
	for _, c := range s.Constraints {
		if _, restraint := c.(Restraint); !restraint && !c.Allows(&i.Description) {
			return 0, false
		}
	}
	var wait time.Duration
	for _, r := range s.restraints {
		wait = max(wait, r.Delay(&i.Description))
	}
	return wait, wait > 0
}

// Unreachable tells the restraints that the instance accepted no connection.
func (s *Set) Unreachable(d Description) {
	for _, r := range s.restraints {
		r.Unreachable(&d)
	}
}

// Answered tells the restraints that the instance has answered a request.
func (s *Set) Answered(d Description) {
	for _, r := range s.restraints {
		r.Answered(&d)
	}
}
