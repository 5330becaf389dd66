package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// fragileRetention is how long instances count as fragile after the last reply that
	// said so. It covers maxRejectionPause, in which a daemon gets no reply.
	fragileRetention = 10 * time.Second
	// maxRejectionPause bounds the time for which a daemon sends nothing to an instance
	// that has rejected requests.
	maxRejectionPause = 5 * time.Second
	// rejectionPauseSpread is the random part of that time, so that daemons don't return
	// together.
	rejectionPauseSpread = 0.25
	// failurePause is the time for which a daemon sends nothing to a fragile instance to
	// which a connection broke.
	failurePause = 500 * time.Millisecond
	// loadReportTimeout is the age of the last report of loads from which on a daemon
	// keeps to its part of the slots.
	loadReportTimeout = 1500 * time.Millisecond
	// partInterval is the time between two draws of that part.
	partInterval = 500 * time.Millisecond
	// spareShare is the share of its part of the free slots that a daemon takes between two
	// reports, but at least one slot. What others have taken since their own last report
	// isn't known yet.
	spareShare = 0.5
	// rejectionWindow is the time in which an instance bears the stated rejections.
	rejectionWindow = time.Second
)

// fragileService is a service whose instances have said that they fail when they reject
// too many requests in a second.
type fragileService struct {
	since  time.Time
	saidAt time.Time
	bears  int
}

// fragility is what a daemon may send to a fragile instance. All daemons together stay
// within its slots, and each within its part of the rejections that the instance bears.
type fragility struct {
	saidAt     time.Time // when a reply of the instance said so
	soundAt    time.Time // when a reply of the instance didn't
	bears      int       // rejections in rejectionWindow, over all daemons
	rejections []time.Time
	// While the daemon's part of the rejections is used up, it counts on half of the slots.
	// If a request is rejected even so, it sends none.
	usedUpAt, usedUpUntil time.Time
	usedUp                int       // how often, since the last request that was accepted
	closedUntil           time.Time // after a failure
	// probing allows one request only, until the instance has answered.
	probing bool

	limit   int // requests of this daemon at the instance
	report  uint64
	limitAt time.Time
}

// MarkFragile records that the instance said in a reply that it fails when it rejects more
// than bears requests in a second. It holds for its service until replies no longer say so.
func (r *Reservation) MarkFragile(bears int) {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	f := s.fragile[r.Service]
	if f == nil {
		f = &fragileService{since: now}
		s.fragile[r.Service] = f
		s.log.Info("instances fragile", "service", r.Service, "instance", r.ID, "bears", bears, "daemons", s.daemons())
	}
	f.saidAt, f.bears = now, bears
	if i := s.current(r.Description); i != nil {
		i.fragility.saidAt, i.fragility.bears = now, bears
	}
}

// Answered records that the instance has replied. fragile tells whether the reply said
// that the instance is fragile, and rejected that it had no room for the request.
func (r *Reservation) Answered(fragile, rejected bool) {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.fragile) == 0 {
		return
	}
	i := s.current(r.Description)
	if i == nil || s.fragile[r.Service] == nil {
		return
	}
	now := s.clock.Now()
	f := &i.fragility
	f.probing = false
	if !fragile {
		// An older request may have been accepted before the instance became fragile.
		if r.picked.After(s.fragile[r.Service].saidAt) {
			f.soundAt = now
			s.dropSound(r.Service)
		}
		return
	}
	if !rejected {
		if r.picked.After(f.usedUpAt) {
			f.usedUp = 0
		}
		return
	}
	f.reject(now, r.picked, s.daemons())
}

// Broke records that the connection to the instance failed. It reports whether the
// instance is fragile: it may have failed because of rejections.
func (r *Reservation) Broke() bool {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.current(r.Description)
	if i == nil || !s.isFragile(i) {
		return false
	}
	i.fragility.closedUntil = s.clock.Now().Add(spread(failurePause))
	i.fragility.probing = true
	return true
}

// reject records the rejection of a request, and finds out whether the daemon's part of the
// rejections is used up.
func (f *fragility) reject(now, picked time.Time, daemons float64) {
	kept := f.rejections[:0]
	for _, at := range f.rejections {
		if now.Sub(at) < rejectionWindow {
			kept = append(kept, at)
		}
	}
	f.rejections = append(kept, now)
	part := float64(f.bears) / daemons
	if float64(len(f.rejections)+1) <= part || now.Before(f.usedUpUntil) && !picked.After(f.usedUpAt) {
		return
	}
	f.usedUp++
	pause := maxRejectionPause
	if part > 0 {
		pause = min(time.Duration(float64(rejectionWindow)/min(part, 1)*math.Exp2(float64(f.usedUp-1))), maxRejectionPause)
	}
	f.usedUpAt, f.usedUpUntil, f.limitAt = now, now.Add(spread(pause)), time.Time{}
}

// spread adds a random time.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*rejectionPauseSpread*float64(d))
}

// dropSound ends the record of a service none of whose instances is fragile. The caller
// holds the lock.
func (s *Set) dropSound(service string) {
	for _, i := range s.byService[service] {
		if s.isFragile(i) {
			return
		}
	}
	s.endFragile(service)
}

// endFragile ends the record of a service. The caller holds the lock.
func (s *Set) endFragile(service string) {
	f := s.fragile[service]
	if f == nil {
		return
	}
	delete(s.fragile, service)
	s.log.Info("instances no longer fragile", "service", service, "age", s.clock.Since(f.since))
}

// isFragile reports whether the instance, or another one of its service after its own last
// reply, said that it is fragile. The caller holds the lock.
func (s *Set) isFragile(i *Instance) bool {
	if len(s.fragile) == 0 {
		return false
	}
	f := s.fragile[i.Service]
	switch {
	case f == nil:
		return false
	case s.clock.Since(f.saidAt) >= fragileRetention:
		s.endFragile(i.Service)
		return false
	}
	return i.fragility.soundAt.Before(f.saidAt)
}

// hasRoom reports whether this daemon may send another request to the instance. Other
// instances than fragile ones queue or reject what is too much. The caller holds the lock.
func (s *Set) hasRoom(i *Instance) bool {
	if !s.isFragile(i) {
		return true
	}
	now, f := s.clock.Now(), &i.fragility
	usedUp := now.Before(f.usedUpUntil)
	if now.Before(f.closedUntil) || usedUp && f.usedUp > 1 {
		return false
	}
	if f.probing {
		return i.inflight == 0
	}
	slots := i.Slots
	if usedUp {
		slots /= 2
	}
	s.updateLimit(i, slots, now)
	return i.inflight < f.limit
}

// updateLimit sets how many requests this daemon may have at a fragile instance. With each
// report of loads, all daemons see the same free slots: each may take its part of them, and
// use again what it frees until the next one. The caller holds the lock.
func (s *Set) updateLimit(i *Instance, slots int, now time.Time) {
	f, daemons := &i.fragility, s.daemons()
	if f.bears == 0 && f.saidAt.IsZero() {
		f.bears = s.fragile[i.Service].bears
	}
	switch {
	case daemons <= 1:
		f.limit = slots
	case s.loadReports > 0 && now.Sub(s.loadReportAt) < loadReportTimeout:
		if f.report == s.loadReports && !f.limitAt.IsZero() {
			return
		}
		part := float64(slots-i.inflight-i.remoteInflight) / daemons
		if part > 1 {
			part = max(1, part*spareShare)
		}
		f.limit = i.inflight + roundAtRandom(part)
	default:
		if !f.limitAt.IsZero() && now.Sub(f.limitAt) < partInterval {
			return
		}
		f.limit = roundAtRandom(float64(slots) / daemons)
	}
	f.report, f.limitAt = s.loadReports, now
}

// roundAtRandom rounds down or up, to x on average.
func roundAtRandom(x float64) int {
	n := int(math.Floor(x))
	if rand.Float64() < x-math.Floor(x) {
		n++
	}
	return n
}

// daemons returns the number of daemons that use the instances.
func (s *Set) daemons() float64 {
	if s.DaemonCount == nil {
		return 1
	}
	return float64(max(s.DaemonCount(), 1))
}

// Full reports whether fragile instances could take the request if they had room.
func (s *Set) Full(q Query) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.fragile) == 0 || s.fragile[q.Service] == nil {
		return false
	}
	for _, i := range s.byService[q.Service] {
		if i.weight > 0 && s.selectable(i, q) && !s.hasRoom(i) {
			return true
		}
	}
	return false
}
