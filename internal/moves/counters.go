package moves

import (
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// Parameters of the threshold for slow replies of a service that sets none: a
// reply is slow if it takes more than slowFactor times the mean of the old
// version on the route.
const (
	slowFactor     = 2.0
	minSlowSamples = 20
	// maxCounters bounds the counters of one move by one daemon; further
	// upstreams are counted together.
	maxCounters = 512
)

type counterKey struct {
	version    string
	route      string
	dataCentre string
	upstream   string
}

// counter is cumulative since the daemon started.
type counter struct {
	requests, failures, slow     uint64
	latencySumMs, latencySquares float64
}

// counters are the evidence of one daemon about one move.
type counters struct {
	values map[counterKey]*counter
	// suspects are upstreams of the new version with a failed or slow reply.
	// Only these are counted by name, which keeps reports short.
	suspects map[string]bool
	means    map[string]*mean // old version's latency, by route
}

type mean struct {
	count float64
	sum   float64
}

func newCounters() *counters {
	return &counters{
		values: make(map[counterKey]*counter), suspects: make(map[string]bool), means: make(map[string]*mean),
	}
}

func (c *counters) observe(o proxy.Observation, fresh bool, slowAfter time.Duration) {
	slow := !o.Failed && c.slow(o, fresh, slowAfter)
	k := counterKey{o.Version, o.Route, o.DataCentre, ""}
	if fresh && (o.Failed || slow || c.suspects[o.Upstream]) && len(c.values) < maxCounters {
		c.suspects[o.Upstream] = true
		k.upstream = o.Upstream
	}
	v := c.values[k]
	if v == nil {
		v = &counter{}
		c.values[k] = v
	}
	v.requests++
	if o.Failed {
		v.failures++
		return
	}
	if slow {
		v.slow++
	}
	ms := float64(o.Latency) / float64(time.Millisecond)
	v.latencySumMs += ms
	v.latencySquares += ms * ms
}

// slow compares a latency with the service's threshold, or with the old
// version's mean if the service has none.
func (c *counters) slow(o proxy.Observation, fresh bool, slowAfter time.Duration) bool {
	if slowAfter > 0 {
		return o.Latency > slowAfter
	}
	reference := c.means[o.Route]
	if reference == nil {
		reference = &mean{}
		c.means[o.Route] = reference
	}
	slow := reference.count >= minSlowSamples && float64(o.Latency) > slowFactor*reference.sum/reference.count
	if !fresh {
		reference.count++
		reference.sum += float64(o.Latency)
	}
	return slow
}

// since returns the samples since the values in last and updates last.
func (c *counters) since(last map[counterKey]counter, newVersion string) []move.Sample {
	var samples []move.Sample
	for k, v := range c.values {
		if before := last[k]; v.requests > before.requests {
			samples = append(samples, sample(k, before, *v, newVersion))
			last[k] = *v
		}
	}
	return samples
}

func sample(k counterKey, before, after counter, newVersion string) move.Sample {
	return move.Sample{
		New: k.version == newVersion, Route: k.route, DataCentre: k.dataCentre, Upstream: k.upstream,
		Requests: float64(after.requests - before.requests), Failures: float64(after.failures - before.failures),
		Slow: float64(after.slow - before.slow),
	}
}

func (c counter) toProto(k key, at counterKey) *peerv1.Counter {
	return &peerv1.Counter{
		Move: k.name, Generation: k.generation, Version: at.version, Route: at.route, DataCentre: at.dataCentre,
		Upstream: at.upstream, Requests: c.requests, Failures: c.failures, Slow: c.slow,
		LatencySumMs: c.latencySumMs, LatencySquareSumMs: c.latencySquares,
	}
}

func fromProto(c *peerv1.Counter) (counterKey, counter) {
	return counterKey{c.GetVersion(), c.GetRoute(), c.GetDataCentre(), c.GetUpstream()},
		counter{c.GetRequests(), c.GetFailures(), c.GetSlow(), c.GetLatencySumMs(), c.GetLatencySquareSumMs()}
}
