package moves

import (
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// Parameters of the evidence counters. If the service sets no threshold for slow
// replies, a reply is slow if its latency exceeds slowFactor times the mean latency
// of the old version on the route.
const (
	slowFactor = 2.0
	// minSlowSamples is the number of replies of the old version that the mean
	// needs before it is used.
	minSlowSamples = 20
	// maxCounters bounds the number of counters of one daemon for one move. Further
	// upstreams are counted together.
	maxCounters = 512
)

// counterKey identifies a counter. upstream is empty for requests that are not
// counted by upstream.
type counterKey struct {
	version    string
	route      string
	dataCentre string
	upstream   string
}

// counter holds totals since the daemon started.
type counter struct {
	requests, failures, slow         uint64
	latencySumMs, latencySquareSumMs float64 // of requests that did not fail; ms and ms²
}

// counters hold the evidence that one daemon has counted for one move.
type counters struct {
	values map[counterKey]*counter
	// countedByName holds the upstreams of the new version that had a failed or
	// slow reply. Only these have their own counters, which keeps reports short.
	countedByName map[string]bool
	means         map[string]*mean // latency of the old version, by route
}

type mean struct {
	count float64
	sum   float64 // in nanoseconds
}

func newCounters() *counters {
	return &counters{
		values: make(map[counterKey]*counter), countedByName: make(map[string]bool), means: make(map[string]*mean),
	}
}

// observe counts one attempt. isNew means that it used the new version. slowAfter
// is the threshold of the service, 0 if it sets none.
func (c *counters) observe(o proxy.Observation, isNew bool, slowAfter time.Duration) {
	slow := !o.Failed && c.isSlow(o, isNew, slowAfter)
	k := counterKey{o.Version, o.Route, o.DataCentre, ""}
	if isNew && (o.Failed || slow || c.countedByName[o.Upstream]) && len(c.values) < maxCounters {
		c.countedByName[o.Upstream] = true
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
	v.latencySquareSumMs += ms * ms
}

// isSlow compares a latency with the service's threshold, or with the mean of the
// old version if the service sets none.
func (c *counters) isSlow(o proxy.Observation, isNew bool, slowAfter time.Duration) bool {
	if slowAfter > 0 {
		return o.Latency > slowAfter
	}
	reference := c.means[o.Route]
	if reference == nil {
		reference = &mean{}
		c.means[o.Route] = reference
	}
	slow := reference.count >= minSlowSamples && float64(o.Latency) > slowFactor*reference.sum/reference.count
	if !isNew {
		reference.count++
		reference.sum += float64(o.Latency)
	}
	return slow
}

// since returns the increase of the counters over the values in last and updates
// last.
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

// sample returns the increase of one counter as a sample.
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
		LatencySumMs: c.latencySumMs, LatencySquareSumMs: c.latencySquareSumMs,
	}
}

func fromProto(c *peerv1.Counter) (counterKey, counter) {
	return counterKey{c.GetVersion(), c.GetRoute(), c.GetDataCentre(), c.GetUpstream()},
		counter{c.GetRequests(), c.GetFailures(), c.GetSlow(), c.GetLatencySumMs(), c.GetLatencySquareSumMs()}
}
