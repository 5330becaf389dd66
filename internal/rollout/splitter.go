package rollout

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

// Splitter divides the requests at one daemon between the versions of a service
// according to the share of the roll-out, and counts the outcomes by version. It
// implements relay.Versions.
type Splitter struct {
	mu       sync.Mutex
	orders   map[string]Order // by service
	states   map[string]State // by service
	counters map[Key]Counters
}

// NewSplitter returns a Splitter without orders, which accepts every version.
func NewSplitter() *Splitter {
	return &Splitter{orders: map[string]Order{}, states: map[string]State{}, counters: map[Key]Counters{}}
}

// SetOrder sets an order. Its target gets no requests until SetState sets a share.
func (s *Splitter) SetOrder(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[o.Service] = o
}

// RemoveOrder removes the order for a service.
func (s *Splitter) RemoveOrder(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.orders, service)
}

// SetState sets a state received from the coordinator or read from the stored
// record. It ignores states of earlier orders, and an active state of an order
// whose outcome is already known.
func (s *Splitter) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.states[state.Order.Service]
	if known && state.Order.Revision < old.Order.Revision {
		return
	}
	if known && old.Order.Revision == state.Order.Revision && old.Outcome != Active && state.Outcome == Active {
		return
	}
	s.states[state.Order.Service] = state
}

// Accept implements relay.Versions. A hash of the request ID decides whether the
// target or another version serves the request.
func (s *Splitter) Accept(service, requestID string) func(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	order, ordered := s.orders[service]
	if !ordered {
		return nil
	}
	share := 0.0
	if state, known := s.states[service]; known && state.Order.Revision == order.Revision {
		share = state.Share
		if state.Outcome == Reverted {
			share = 0
		}
	}
	toTarget := hashFraction(requestID) < share
	return func(version string) bool { return (version == order.Target) == toTarget }
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
		if _, ordered := s.orders[key.Service]; ordered {
			counters[key] = c
		}
	}
	return counters
}
