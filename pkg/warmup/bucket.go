package warmup

import "time"

// Allows reports whether this daemon may send a request to an instance now.
func (t *Tracker) Allows(id string) bool {
	if !t.active.Load() {
		return true
	}
	return t.Delay(id) == 0
}

// Restrains reports whether an instance counts as cold.
func (t *Tracker) Restrains(id string) bool {
	if !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.instances[id]
	return s != nil && t.config.Now() < s.until
}

// Delay returns the time until this daemon may send a request to an instance; 0 means now.
// It is the time until the instance is warm if other daemons are chosen for it.
func (t *Tracker) Delay(id string) time.Duration {
	if !t.active.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	s := t.instances[id]
	if s == nil || now >= s.until {
		return 0
	}
	if t.rate(s, now) <= 0 {
		return s.until - now
	}
	return max(min(s.next, s.until)-now, 0)
}

// Elsewhere reports whether only other daemons are chosen for an instance that counts as
// cold.
func (t *Tracker) Elsewhere(id string) bool {
	if !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	s := t.instances[id]
	return s != nil && now < s.until && t.rate(s, now) <= 0 && !t.fleet.Unproven
}

// Sent records that a request is sent to an instance, and reports whether the instance
// counts as cold.
func (t *Tracker) Sent(id string) bool {
	if !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	s := t.instances[id]
	if s == nil || now >= s.until {
		return false
	}
	if rate := t.rate(s, now); rate > 0 {
		s.next = now + interval(rate)
	}
	return true
}

// rate returns the requests per second that this daemon may send to a cold instance. The
// caller holds the lock.
func (t *Tracker) rate(s *instance, now time.Duration) float64 {
	t.readFleet()
	if s.generation == t.generation {
		return s.rate
	}
	first := s.rate <= 0 || s.generation == 0
	s.generation = t.generation
	s.rate = t.fleet.Rate(s.key(), Bound{Rate: s.limits.Rate, Overrun: t.config.Overrun, Slack: t.config.Slack})
	if first && s.rate > 0 {
		// Daemons that choose themselves at the same time don't all send at once.
		phase := float64(weight(s.key(), t.fleet.Self)) / (1 << 64)
		s.next = max(s.next, now+time.Duration(phase*float64(interval(s.rate))))
	}
	return s.rate
}

// interval returns the least time between two requests.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
