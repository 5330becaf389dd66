// Package rollout moves a service's requests to a new version by a deadline.
// The coordinator compares the failures and latencies of the versions over all
// daemons and decides the new version's share of the requests. Every daemon
// applies that share.
package rollout

import (
	"math"
	"time"
)

// Order is an operator's request to move a service's requests to a version.
type Order struct {
	Service  string
	Target   string        // the new version
	Within   time.Duration // deadline, counted from the start of the roll-out
	Revision int64         // of the order's entry in the store
}

// Outcome is the result of a roll-out, or Active while it has none.
type Outcome string

// Values of Outcome.
const (
	Active   Outcome = "active"
	Complete Outcome = "complete" // the target gets all requests
	Reverted Outcome = "reverted" // the target gets no requests
)

// Counters count the outcomes of requests to one version on one route.
type Counters struct {
	Requests int64 // failures included
	Failures int64
	Latency  float64 // seconds, summed over the requests that didn't fail
}

// Key identifies what Counters belong to.
type Key struct{ Service, Version, Route string }

// Policy holds the parameters of the decisions on a roll-out.
type Policy struct {
	// CanaryShare is the fraction of requests that the new version gets as a
	// canary. It is less than half of the requests that a bad version may get in
	// total, so that a version that fails only once it gets all requests can
	// still be reverted within that limit.
	CanaryShare float64
	// MinCanaryAnswers is the minimum number of answers from the canary before
	// the new version gets all requests.
	MinCanaryAnswers int64
	// FullShareTime is how long before the deadline the new version gets all
	// requests. Requests in flight on the old versions finish in this time.
	FullShareTime time.Duration
	// CompletionMargin is how long before the deadline the roll-out is reported
	// complete.
	CompletionMargin time.Duration
	// MaxFailureSigmas is the number of standard deviations by which the failures
	// of the new version may exceed the number expected from the failure rate of
	// the old versions.
	MaxFailureSigmas float64
	// MinFailures is the minimum number of failures of the new version before
	// failures count as a regression. MinLatencySamples is the minimum number of
	// successful answers from both the new and the old versions before latencies
	// are compared.
	MinFailures, MinLatencySamples int64
	// MaxLatencyRatio is the maximum ratio of the new version's mean latency to
	// that of the old versions.
	MaxLatencyRatio float64
}

// DefaultPolicy returns a policy for deadlines of 10 s and more.
func DefaultPolicy() Policy {
	return Policy{
		CanaryShare: 0.04, MinCanaryAnswers: 20, FullShareTime: 4500 * time.Millisecond, CompletionMargin: 600 * time.Millisecond,
		MaxFailureSigmas: 4, MinFailures: 4, MinLatencySamples: 10, MaxLatencyRatio: 2,
	}
}

// Regressed reports whether the new version performs worse than the old ones on
// a route. The first result is "failures" or "latency".
func (p Policy) Regressed(target, baseline Counters) (string, bool) {
	if target.Failures >= p.MinFailures {
		// The failure rate of the old versions counts as at least 1%. Otherwise a
		// few failures would be a regression if the old versions had none.
		baseRate := max(failureRate(baseline), 0.01)
		expected := baseRate * float64(target.Requests)
		if float64(target.Failures) > expected+p.MaxFailureSigmas*math.Sqrt(expected*(1-min(baseRate, 0.99))) {
			return "failures", true
		}
	}
	successes, baselineSuccesses := target.Requests-target.Failures, baseline.Requests-baseline.Failures
	if successes >= p.MinLatencySamples && baselineSuccesses >= p.MinLatencySamples &&
		target.Latency/float64(successes) > p.MaxLatencyRatio*baseline.Latency/float64(baselineSuccesses) {
		return "latency", true
	}
	return "", false
}

func failureRate(c Counters) float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

// Share returns the fraction of requests for the new version, given the time
// left until the deadline and the number of its answers so far.
func (p Policy) Share(left time.Duration, answers int64) float64 {
	if left < p.FullShareTime && answers >= p.MinCanaryAnswers {
		return 1
	}
	return p.CanaryShare
}

// evaluate compares the target with all other versions of the service on each
// route. It also returns the number of the target's answers.
func (p Policy) evaluate(order Order, evidence map[Key]Counters) (reason string, regressed bool, answers int64) {
	target, baseline := map[string]Counters{}, map[string]Counters{}
	for key, c := range evidence {
		if key.Service != order.Service {
			continue
		}
		side := baseline
		if key.Version == order.Target {
			side = target
			answers += c.Requests
		}
		sum := side[key.Route]
		sum.Requests += c.Requests
		sum.Failures += c.Failures
		sum.Latency += c.Latency
		side[key.Route] = sum
	}
	for route, c := range target {
		if reason, regressed = p.Regressed(c, baseline[route]); regressed {
			return route + ": " + reason, true, answers
		}
	}
	return "", false, answers
}
