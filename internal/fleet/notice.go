package fleet

import (
	"math/rand/v2"
	"time"
)

const (
	// maxPause is the longest pause that an instance can ask for at a time.
	maxPause = 30 * time.Second
	// recoveryTime is how long after the end of a pause the instance is still ranked
	// behind others. recoveryPenalty is the cost at the start of that time, in running
	// requests; it falls to 0. Otherwise all requests that waited for the end of the
	// pause would go to the instance that has just been overloaded.
	recoveryTime    = time.Second
	recoveryPenalty = 12.0
	// noticeRetention is how long a notice is kept after its instance was removed. The
	// entry of an instance may lapse in an outage of the store and return.
	noticeRetention = time.Minute
	// noticeSweepInterval is the time between two searches for old notices, which take
	// time in proportion to the number of notices.
	noticeSweepInterval = noticeRetention / 12
)

// notice is what an instance has said about itself in its replies. It applies to one
// incarnation, and outlives the removal of the instance's entry.
type notice struct {
	incarnation int64
	leaving     bool
	leavingAt   time.Time
	pausedUntil time.Time
	updatedAt   time.Time
}

// noticeFor returns the notice of an instance, or nil if it has said nothing in this
// incarnation. The caller holds the lock.
func (s *Set) noticeFor(id string, incarnation int64) *notice {
	if n := s.notices[id]; n != nil && n.incarnation == incarnation {
		return n
	}
	return nil
}

// updateNotice applies update to the notice of an instance. It drops old notices of
// instances that no longer exist. The caller holds the lock.
func (s *Set) updateNotice(id string, incarnation int64, update func(*notice)) {
	now := s.clock.Now()
	n := s.noticeFor(id, incarnation)
	if n == nil {
		n = &notice{incarnation: incarnation}
		s.notices[id] = n
	}
	update(n)
	n.updatedAt = now
	if now.Sub(s.noticesSweptAt) < noticeSweepInterval {
		return
	}
	s.noticesSweptAt = now
	for other, old := range s.notices {
		if s.instances[other] == nil && now.Sub(old.updatedAt) > noticeRetention {
			delete(s.notices, other)
		}
	}
}

// current returns the instance of a reservation if it still is the incarnation that
// was picked. The caller holds the lock.
func (s *Set) current(d Description) *Instance {
	if i := s.instances[d.ID]; i != nil && i.Incarnation == d.Incarnation && i.Address == d.Address {
		return i
	}
	return nil
}

// Serving reports whether the instance is announced and neither leaving nor known to
// have lost its address. An instance that isn't may end at any time.
func (s *Set) Serving(d Description) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.current(d)
	return i != nil && !i.Leaving && !i.displaced
}

// MarkLeaving records that the instance said in a reply that it is leaving. It gets
// no more requests until it restarts.
func (r *Reservation) MarkLeaving() {
	s := r.set
	s.mu.Lock()
	now := s.clock.Now()
	first := false
	s.updateNotice(r.ID, r.Incarnation, func(n *notice) {
		if !n.leaving {
			first, n.leaving, n.leavingAt = true, true, now
		}
	})
	if i := s.current(r.Description); i != nil && !i.Leaving {
		i.Leaving, i.LeavingSince = true, now
	}
	s.mu.Unlock()
	if first {
		s.log.Info("instance leaving", "instance", r.ID, "service", r.Service, "source", "reply")
	}
}

// Pause records that the instance asked for no requests for some time, at most
// maxPause.
func (r *Reservation) Pause(wait time.Duration) {
	s := r.set
	bounded := min(wait, maxPause)
	s.mu.Lock()
	until := s.clock.Now().Add(bounded)
	s.updateNotice(r.ID, r.Incarnation, func(n *notice) {
		if until.After(n.pausedUntil) {
			n.pausedUntil = until
		}
	})
	if i := s.current(r.Description); i != nil && until.After(i.pausedUntil) {
		i.pausedUntil = until
	}
	s.mu.Unlock()
	s.log.Info("instance paused", "instance", r.ID, "service", r.Service, "asked", wait, "pause", bounded)
}

// applyNotice gives an instance that was added again the state that it stated in its
// replies. The caller holds the lock.
func (s *Set) applyNotice(i *Instance) {
	n := s.noticeFor(i.ID, i.Incarnation)
	if n == nil {
		return
	}
	i.pausedUntil = n.pausedUntil
	if n.leaving && !i.Leaving {
		i.Leaving, i.LeavingSince = true, n.leavingAt
	}
}

// recoveryCost returns the cost of picking an instance whose pause ended recently.
func recoveryCost(sincePause time.Duration) float64 {
	if sincePause >= recoveryTime {
		return 0
	}
	return recoveryPenalty * (1 - sincePause.Seconds()/recoveryTime.Seconds())
}

// RetryAfter returns the time until an instance of the service ends the pause that it
// asked for, and false if another reason keeps a request from being picked for all
// instances. The time is that of a random one of the instances whose pause ends
// within limit, so that callers return in proportion to the instances that become
// available; urgent callers get the earliest end.
func (s *Set) RetryAfter(q Query, urgent bool, limit time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var earliest, chosen time.Duration
	count := 0
	for _, i := range s.byService[q.Service] {
		wait := i.pausedUntil.Sub(now)
		if wait <= 0 || i.Leaving || i.displaced || s.addresses[i.Address] != i.ID || q.Accept != nil && !q.Accept(i.Version) ||
			q.AllowDataCentre != nil && !q.AllowDataCentre(i.DataCentre) {
			continue
		}
		if earliest == 0 || wait < earliest {
			earliest = wait
		}
		if wait <= limit {
			// Reservoir sampling: each of the instances is equally likely to remain.
			if count++; rand.N(count) == 0 {
				chosen = wait
			}
		}
	}
	if urgent || count == 0 {
		return earliest, earliest > 0
	}
	return chosen, true
}
