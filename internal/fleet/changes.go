package fleet

import (
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
)

const (
	// maxChangeLines is the number of changes up to which each one of a list gets a log
	// line. A daemon that starts receives all instances at once; with a line for each,
	// the log would take more processor time than the changes.
	maxChangeLines = 32
	// maxChangesLocked is the number of changes that are made without letting requests
	// pick in between.
	maxChangesLocked = 64
)

// Change is a change of one instance.
type Change struct {
	Description
	// Removed means that the instance is gone; only the ID is used.
	Removed bool
}

// Put adds an instance or replaces its description. A leaving instance stays
// marked as leaving until its incarnation changes.
func (s *Set) Put(d Description) { s.Apply([]Change{{Description: d}}) }

// Remove removes an instance from the set.
func (s *Set) Remove(id string) { s.Apply([]Change{{Description: Description{ID: id}, Removed: true}}) }

// Apply makes changes in their order. It takes time in proportion to their number and
// not to that of the instances.
func (s *Set) Apply(changes []Change) {
	s.applying.Lock()
	defer s.applying.Unlock()
	var announced, leaving, gone int
	lines := len(changes) <= maxChangeLines
	for len(changes) > 0 {
		n := min(len(changes), maxChangesLocked)
		for _, c := range s.applyPart(changes[:n]) {
			switch {
			case c.Removed:
				gone++
			default:
				announced++
				if c.Leaving {
					leaving++
				}
			}
			if lines {
				s.logChange(c)
			}
		}
		changes = changes[n:]
	}
	if !lines {
		s.log.Info("instances changed", "announced", announced, "leaving", leaving, "gone", gone)
	}
}

// applyPart makes changes while it holds the lock, and returns those that had an effect,
// with the resulting descriptions.
func (s *Set) applyPart(changes []Change) []Change {
	done := make([]Change, 0, len(changes))
	var removed []string
	s.mu.Lock()
	for _, c := range changes {
		if !c.Removed {
			done = append(done, Change{Description: s.put(c.Description).Description})
			continue
		}
		if old := s.remove(c.ID); old != nil {
			done = append(done, Change{Description: old.Description, Removed: true})
			removed = append(removed, c.ID)
		}
	}
	put := make([]health.Member, 0, len(done))
	for _, c := range done {
		if i := s.instances[c.ID]; i != nil && !c.Removed {
			put = append(put, health.Member{
				Name: i.ID, Service: i.Service, Version: i.Version, DataCentre: i.DataCentre, Incarnation: i.AddedAt.String(),
			})
		}
	}
	s.mu.Unlock()
	s.tracker.Update(put, removed)
	if s.OnRemove != nil {
		for _, id := range removed {
			s.OnRemove(id)
		}
	}
	return done
}

func (s *Set) logChange(c Change) {
	if c.Removed {
		s.log.Info("instance gone", "instance", c.ID, "service", c.Service)
		return
	}
	s.log.Info("instance announced", "instance", c.ID, "service", c.Service, "data_centre", c.DataCentre,
		"version", c.Version, "leaving", c.Leaving, "reclaimable", c.Reclaimable)
}

// put adds or replaces an instance. The caller holds the lock.
func (s *Set) put(d Description) *Instance {
	now := s.clock.Now()
	i := s.instances[d.ID]
	if i != nil && i.Leaving && !d.Leaving && i.Incarnation == d.Incarnation {
		d.Leaving, d.RemainingLifetime = true, i.RemainingLifetime
	}
	if i == nil || i.Incarnation != d.Incarnation || i.Address != d.Address {
		if i != nil {
			s.unlink(i)
		}
		previous := i
		i = &Instance{Description: d, AddedAt: now, weight: 1, idHash: LoadKey(d.ID)}
		s.link(i)
		if previous != nil && previous.Address != d.Address {
			s.releaseAddress(previous)
		}
	} else if i.Service != d.Service {
		s.unlink(i)
		i.Service = d.Service
		s.link(i)
	}
	if d.Leaving && i.LeavingSince.IsZero() {
		i.LeavingSince = now
	}
	i.Description = d
	i.displaced = false
	s.applyNotice(i)
	s.addresses[d.Address] = d.ID
	return i
}

// remove removes an instance and returns it, or nil if it isn't in the set. The caller
// holds the lock.
func (s *Set) remove(id string) *Instance {
	i := s.instances[id]
	if i == nil {
		return nil
	}
	s.unlink(i)
	s.releaseAddress(i)
	return i
}

// link adds an instance to the tables. The caller holds the lock.
func (s *Set) link(i *Instance) {
	s.instances[i.ID], s.byHash[i.idHash] = i, i
	i.remoteLoad, i.measuredSpeed = s.remote[i.idHash], s.speedOf(i)
	i.position = len(s.byService[i.Service])
	s.byService[i.Service] = append(s.byService[i.Service], i)
	s.claims[i.Address] = append(s.claims[i.Address], i)
}

// unlink removes an instance from the tables, except its ownership of the address. The
// caller holds the lock.
func (s *Set) unlink(i *Instance) {
	delete(s.instances, i.ID)
	if s.byHash[i.idHash] == i {
		delete(s.byHash, i.idHash)
	}
	list := s.byService[i.Service]
	last := len(list) - 1
	list[i.position] = list[last]
	list[i.position].position = i.position
	list[last] = nil
	if s.byService[i.Service] = list[:last]; last == 0 {
		delete(s.byService, i.Service)
	}
	claims := s.claims[i.Address]
	for n, other := range claims {
		if other == i {
			claims[n] = claims[len(claims)-1]
			claims[len(claims)-1] = nil
			claims = claims[:len(claims)-1]
			break
		}
	}
	if s.claims[i.Address] = claims; len(claims) == 0 {
		delete(s.claims, i.Address)
	}
}

// releaseAddress gives the address of an instance that was displaced or removed to
// the latest other instance that is announced with it. An entry with the address of
// another instance would otherwise take that one out of use for good. The caller
// holds the lock.
func (s *Set) releaseAddress(from *Instance) {
	if s.addresses[from.Address] != from.ID {
		return
	}
	var heir *Instance
	for _, i := range s.claims[from.Address] {
		if i != from && !i.displaced && (heir == nil || i.AddedAt.After(heir.AddedAt)) {
			heir = i
		}
	}
	if heir != nil {
		s.addresses[from.Address] = heir.ID
		return
	}
	if current := s.instances[from.ID]; current == nil || current.Address != from.Address {
		delete(s.addresses, from.Address)
	}
}
