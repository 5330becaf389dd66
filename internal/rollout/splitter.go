package rollout

import (
	"hash/fnv"
	"sync"
	"time"
)

// Gate applies the shares of roll-outs at one daemon and counts the outcomes.
// It implements relay.Versions.
type Gate struct {
	mu       sync.Mutex
	orders   map[string]Order
	states   map[string]State
	counters map[Key]Counters
}

// NewGate returns a gate that lets every version serve.
func NewGate() *Gate {
	return &Gate{orders: map[string]Order{}, states: map[string]State{}, counters: map[Key]Counters{}}
}

// SetOrder notes an order: its target gets nothing until a share is told.
func (g *Gate) SetOrder(o Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders[o.Service] = o
}

// DropOrder forgets the order for a service.
func (g *Gate) DropOrder(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.orders, service)
}

// SetState takes over what the coordinator tells or its record says. A verdict
// is never taken back for the same order, nor for an earlier one.
func (g *Gate) SetState(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.states[s.Order.Service]
	if known && s.Order.Revision < old.Order.Revision {
		return
	}
	if known && old.Order.Revision == s.Order.Revision && old.Outcome != Active && s.Outcome == Active {
		return
	}
	g.states[s.Order.Service] = s
}

// Accept implements relay.Versions.
func (g *Gate) Accept(service, requestID string) func(version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	order, ordered := g.orders[service]
	if !ordered {
		return nil
	}
	share := 0.0
	if s, known := g.states[service]; known && s.Order.Revision == order.Revision {
		share = s.Share
		if s.Outcome == Reverted {
			share = 0
		}
	}
	toTarget := point(requestID) < share
	return func(version string) bool { return (version == order.Target) == toTarget }
}

// point spreads request IDs evenly over 0 to 1.
func point(requestID string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("rollout/"))
	_, _ = h.Write([]byte(requestID))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53)
}

// Observe implements relay.Versions.
func (g *Gate) Observe(service, route, version string, failed bool, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := Key{service, version, route}
	c := g.counters[key]
	c.Requests++
	if failed {
		c.Failures++
	} else {
		c.Latency += latency.Seconds()
	}
	g.counters[key] = c
}

// Counters returns the outcomes of services with an order since the daemon's start.
func (g *Gate) Counters() map[Key]Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	counters := map[Key]Counters{}
	for key, c := range g.counters {
		if _, ordered := g.orders[key.Service]; ordered {
			counters[key] = c
		}
	}
	return counters
}
