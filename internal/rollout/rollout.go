// Package rollout moves a service's requests to a new version by a deadline.
// The coordinator compares the failures and latencies of the versions over all
// daemons and decides the new version's share of the requests. Every daemon
// applies that share.
package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// Order is an operator's request to move a service's requests to a version.
type Order struct {
	Service  string
	Target   string        // the new version
	Within   time.Duration // deadline, counted from the start of the roll-out
	Revision int64         // of the order's entry in the store
}

// same reports whether both are one order. After a restore of the store, an order that was
// lost is written again and has another revision. Within is compared in milliseconds, as it is
// recorded, if both are known.
func (o Order) same(other Order) bool {
	switch {
	case o.Service != other.Service || o.Target != other.Target:
		return false
	case o.Revision == other.Revision:
		return true
	case store.Generation(o.Revision) == store.Generation(other.Revision):
		return false
	}
	return o.Within == 0 || other.Within == 0 || o.Within.Milliseconds() == other.Within.Milliseconds()
}

// precedes reports whether o is an earlier order than other.
func (o Order) precedes(other Order) bool { return o.Revision < other.Revision && !o.same(other) }

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
	// Completed are the requests with a complete answer. LogDuration and LogDurationSquares
	// are the sums of the natural logarithms of their durations in seconds, and of the
	// squares of these.
	Completed                       int64
	LogDuration, LogDurationSquares float64
}

// Add returns the sums of c and o.
func (c Counters) Add(o Counters) Counters {
	return Counters{
		Requests: c.Requests + o.Requests, Failures: c.Failures + o.Failures, Latency: c.Latency + o.Latency,
		Completed: c.Completed + o.Completed, LogDuration: c.LogDuration + o.LogDuration,
		LogDurationSquares: c.LogDurationSquares + o.LogDurationSquares,
	}
}

// logDuration returns the mean and the variance of the logarithms of the durations.
func (c Counters) logDuration() (mean, variance float64) {
	n := float64(c.Completed)
	mean = c.LogDuration / n
	return mean, max(c.LogDurationSquares/n-mean*mean, minLogVariance)
}

// minLogVariance is the least variance of the logarithms of durations, so that few equal
// ones are no proof.
const minLogVariance = 0.01

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
	// MinCompleted is the minimum number of complete answers from both the new and the old
	// versions before their durations are compared. MaxDurationRatio is the maximum ratio
	// of the geometric means, and MaxDurationSigmas the number of standard errors by which
	// they may differ.
	MinCompleted                        int64
	MaxDurationRatio, MaxDurationSigmas float64
}

// DefaultPolicy returns a policy for deadlines of 10 s and more.
func DefaultPolicy() Policy {
	return Policy{
		CanaryShare: 0.04, MinCanaryAnswers: 20, FullShareTime: 4500 * time.Millisecond, CompletionMargin: 600 * time.Millisecond,
		MaxFailureSigmas: 4, MinFailures: 4, MinLatencySamples: 10, MaxLatencyRatio: 2,
		MinCompleted: 6, MaxDurationRatio: 1.25, MaxDurationSigmas: 4.5,
	}
}

// Regressed reports whether the new version performs worse than the old ones on
// a route. The first result is "failures", "latency" or "duration".
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
	if d := p.compareDurations(target, baseline); p.takesLonger(d) {
		return "duration", true
	}
	return "", false
}

// durationDifference is the estimated difference of the logarithms of the durations of two
// versions, multiplied by its weight, and this weight: the inverse of its variance.
type durationDifference struct{ weighted, weight float64 }

// compareDurations compares the times to the end of the answers. The logarithms make the
// comparison independent of a few long answers.
func (p Policy) compareDurations(target, baseline Counters) durationDifference {
	if target.Completed < p.MinCompleted || baseline.Completed < p.MinCompleted {
		return durationDifference{}
	}
	mean, variance := target.logDuration()
	baseMean, baseVariance := baseline.logDuration()
	// The variance of a few answers is too uncertain to be used alone.
	variance = max(variance, baseVariance)
	weight := 1 / (variance/float64(target.Completed) + baseVariance/float64(baseline.Completed))
	return durationDifference{(mean - baseMean) * weight, weight}
}

// takesLonger reports whether the difference is too large, and no chance.
func (p Policy) takesLonger(d durationDifference) bool {
	if d.weight == 0 {
		return false
	}
	difference, standardError := d.weighted/d.weight, 1/math.Sqrt(d.weight)
	return difference > math.Log(p.MaxDurationRatio) && difference > p.MaxDurationSigmas*standardError
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

// evaluate compares the target with the versions of the service that served before, on
// each route. Without any of these there is nothing to compare with, and to return to. It
// also returns the number of the target's answers.
func (p Policy) evaluate(order Order, unproven []string, evidence map[Key]Counters) (reason string, regressed bool, answers int64) {
	target, baseline := map[string]Counters{}, map[string]Counters{}
	for key, c := range evidence {
		if key.Service != order.Service || slices.Contains(unproven, key.Version) {
			continue
		}
		side := baseline
		if key.Version == order.Target {
			side = target
			answers += c.Requests
		}
		side[key.Route] = side[key.Route].Add(c)
	}
	if len(baseline) == 0 {
		return "", false, answers
	}
	var all durationDifference
	for route, c := range target {
		if reason, regressed = p.Regressed(c, baseline[route]); regressed {
			return route + ": " + reason, true, answers
		}
		d := p.compareDurations(c, baseline[route])
		all.weighted, all.weight = all.weighted+d.weighted, all.weight+d.weight
	}
	// A canary gets few answers on each route.
	if p.takesLonger(all) {
		return "all routes: duration", true, answers
	}
	return "", false, answers
}
