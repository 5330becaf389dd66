package rollout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"
)

// Splitter divides the requests at one daemon between the versions of a service
// according to the share of the roll-out, and counts the outcomes by version. It
// implements relay.Versions.
type Splitter struct {
	// Serving returns the versions of the announced instances of a service that are not
	// leaving; nil means that they are not known.
	Serving func(service string) []string

	mu       sync.Mutex
	services map[string]*split
	counters map[Key]Counters
}

// split is what is known of the roll-outs of one service.
type split struct {
	order *Order // nil if there is none
	// superseded are the targets of the earlier orders whose outcome is not known, by the
	// revision of the order.
	superseded map[int64]string
	state      *State // the newest known, also of an earlier order; nil if none is known
}

// NewSplitter returns a Splitter without orders, which accepts every version.
func NewSplitter() *Splitter {
	return &Splitter{services: map[string]*split{}, counters: map[Key]Counters{}}
}

func (s *Splitter) service(name string) *split {
	if s.services[name] == nil {
		s.services[name] = &split{superseded: map[int64]string{}}
	}
	return s.services[name]
}

// SetOrder sets an order. Its target gets no requests until SetState sets a share.
func (s *Splitter) SetOrder(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.service(o.Service)
	if p.order == nil || !p.order.same(o) {
		p.supersede()
	}
	p.order = &o
}

// RemoveOrder removes the order for a service.
func (s *Splitter) RemoveOrder(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.service(service)
	p.supersede()
	p.order = nil
}

// supersede remembers the target of the current order. Until its outcome is known, it
// gets no requests but as a target.
func (p *split) supersede() {
	if p.order != nil && (p.state == nil || p.state.Order.precedes(*p.order)) {
		p.superseded[p.order.Revision] = p.order.Target
	}
}

// SetState sets a state received from the coordinator. It ignores states of earlier
// orders, and an active state of an order whose outcome is already known.
func (s *Splitter) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(state.Order.Service).setState(state)
}

// SetRecord sets a state read from the stored record. The share of an active roll-out is
// known to the coordinator only, so its record does not replace a state of the same order.
func (s *Splitter) SetRecord(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.service(state.Order.Service)
	if state.Outcome == Active && p.state != nil && p.state.Order.same(state.Order) {
		return
	}
	p.setState(state)
}

func (p *split) setState(state State) {
	if p.order != nil && p.order.Revision == state.Order.Revision {
		state.Order.Within = p.order.Within
	}
	if old := p.state; old != nil {
		if state.Order.precedes(old.Order) {
			return
		}
		if old.Order.same(state.Order) {
			if old.Outcome != Active && state.Outcome == Active {
				return
			}
			state.Order.Revision = max(state.Order.Revision, old.Order.Revision)
			state.Order.Within = cmp.Or(state.Order.Within, old.Order.Within)
		}
	}
	p.state = &state
	for revision := range p.superseded {
		if revision <= state.Order.Revision {
			delete(p.superseded, revision)
		}
	}
}

// State returns the newest known state of a roll-out of a service, nil if there is none.
func (s *Splitter) State(service string) *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.services[service]; p != nil && p.state != nil {
		state := *p.state
		return &state
	}
	return nil
}

// Unproven returns the versions of a service that were ordered before its current order
// and not completed, as far as this daemon knows.
func (s *Splitter) Unproven(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.services[service]; p != nil {
		return p.unproven()
	}
	return nil
}

func (p *split) unproven() []string {
	var versions []string
	if p.state != nil {
		versions = slices.Clone(p.state.Unproven)
		if p.state.Outcome != Complete && (p.order == nil || p.state.Order.precedes(*p.order)) {
			versions = append(versions, p.state.Order.Target)
		}
	}
	for _, target := range p.superseded {
		versions = append(versions, target)
	}
	return versions
}

// Accept implements relay.Versions. A hash of the request ID decides whether the
// target or another version serves the request. The other versions are those that served
// before: a version that was ordered earlier and not completed may be bad.
func (s *Splitter) Accept(service, requestID string) func(version string) bool {
	s.mu.Lock()
	p := s.services[service]
	if p == nil {
		s.mu.Unlock()
		return nil
	}
	order, state, unproven := p.order, p.state, p.unproven()
	s.mu.Unlock()
	if order == nil {
		if len(unproven) == 0 {
			return nil
		}
		return func(version string) bool { return !slices.Contains(unproven, version) }
	}
	share := 0.0
	switch {
	case state != nil && state.Order.same(*order):
		if state.Outcome != Reverted {
			share = state.Share
		}
	case s.Serving != nil && noneProven(s.Serving(service), order.Target, unproven):
		share = 1
	}
	if hashFraction(requestID) < share {
		return func(version string) bool { return version == order.Target }
	}
	return func(version string) bool { return version != order.Target && !slices.Contains(unproven, version) }
}

// noneProven reports whether all versions that serve beside the target are unproven ones,
// as after an order back to the version before. The requests then have to go to the target.
func noneProven(serving []string, target string, unproven []string) bool {
	found := false
	for _, version := range serving {
		if version == target {
			continue
		}
		if !slices.Contains(unproven, version) {
			return false
		}
		found = true
	}
	return found
}

// hashFraction hashes request IDs uniformly to [0, 1).
func hashFraction(requestID string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("rollout/"))
	_, _ = h.Write([]byte(requestID))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53)
}

// Observe implements relay.Versions.
func (s *Splitter) Observe(service, route, version string, failed bool, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := Key{service, version, route}
	c := s.counters[key]
	c.Requests++
	if failed {
		c.Failures++
	} else {
		c.Latency += latency.Seconds()
	}
	s.counters[key] = c
}

// Completed implements relay.Versions.
func (s *Splitter) Completed(service, route, version string, duration time.Duration) {
	if duration <= 0 {
		return
	}
	logDuration := math.Log(duration.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	key := Key{service, version, route}
	s.counters[key] = s.counters[key].Add(Counters{Completed: 1, LogDuration: logDuration, LogDurationSquares: logDuration * logDuration})
}

// Counters returns the outcomes since the daemon started, for services with an
// order.
func (s *Splitter) Counters() map[Key]Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := map[Key]Counters{}
	for key, c := range s.counters {
		if p := s.services[key.Service]; p != nil && p.order != nil {
			counters[key] = c
		}
	}
	return counters
}
