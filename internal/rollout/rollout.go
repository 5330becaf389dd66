// Package rollout moves a service's requests to a new version by a deadline.
// The coordinator decides with the evidence of all daemons; every daemon
// applies the shares that it is told.
package rollout

import (
	"math"
	"time"
)

// Order asks that a service's requests be moved to a version.
type Order struct {
	Service  string
	Target   string
	Within   time.Duration // from the order on
	Revision int64         // of the order's entry in the store
}

// Outcome is how a roll-out stands.
type Outcome string

// Outcomes.
const (
	Active   Outcome = "active"
	Complete Outcome = "complete"
	Reverted Outcome = "reverted"
)

// Counters are the answers of one version on one route.
type Counters struct {
	Requests int64
	Failures int64
	Latency  float64 // seconds, summed over the answers that didn't fail
}

// Key names what counters belong to.
type Key struct{ Service, Version, Route string }

// Policy holds the parameters of the decision.
type Policy struct {
	// TrialShare of the requests goes to the new version until it is trusted.
	// It is below half of the exposure that is allowed, so that a version that
	// turns bad when it gets everything can still be taken back in time.
	TrialShare float64
	// MinTrial is the number of answers without which no version is trusted.
	MinTrial int64
	// MoveTime before the deadline everything goes to the new version: requests
	// in flight on the old one finish meanwhile.
	MoveTime time.Duration
	// EndMargin before the deadline the roll-out is reported complete.
	EndMargin time.Duration
	// Sigmas of difference in the share of failures condemn a version.
	Sigmas float64
	// LeastFailures and LeastSlow are the answers without which it isn't condemned.
	LeastFailures, LeastSlow int64
	// SlowFactor is the ratio of the mean latencies that condemns it.
	SlowFactor float64
}

// DefaultPolicy suits deadlines of ten seconds and more.
func DefaultPolicy() Policy {
	return Policy{
		TrialShare: 0.04, MinTrial: 20, MoveTime: 4500 * time.Millisecond, EndMargin: 600 * time.Millisecond,
		Sigmas: 4, LeastFailures: 4, LeastSlow: 10, SlowFactor: 2,
	}
}

// Bad reports whether the new version is worse than the old ones on a route,
// and why.
func (p Policy) Bad(fresh, old Counters) (string, bool) {
	if fresh.Failures >= p.LeastFailures {
		// The rate of the old version counts as at least 1%, so that a few
		// failures beside a perfect record don't condemn.
		base := max(rate(old), 0.01)
		expected := base * float64(fresh.Requests)
		if float64(fresh.Failures) > expected+p.Sigmas*math.Sqrt(expected*(1-min(base, 0.99))) {
			return "failures", true
		}
	}
	good, oldGood := fresh.Requests-fresh.Failures, old.Requests-old.Failures
	if good >= p.LeastSlow && oldGood >= p.LeastSlow &&
		fresh.Latency/float64(good) > p.SlowFactor*old.Latency/float64(oldGood) {
		return "latency", true
	}
	return "", false
}

func rate(c Counters) float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

// Share returns the part of the requests for the new version, given the time
// that is left and the number of its answers.
func (p Policy) Share(left time.Duration, answers int64) float64 {
	if left < p.MoveTime && answers >= p.MinTrial {
		return 1
	}
	return p.TrialShare
}

// judge compares the target with all other versions of the service, route by route.
func (p Policy) judge(order Order, evidence map[Key]Counters) (reason string, bad bool, answers int64) {
	fresh, old := map[string]Counters{}, map[string]Counters{}
	for key, c := range evidence {
		if key.Service != order.Service {
			continue
		}
		side := old
		if key.Version == order.Target {
			side = fresh
			answers += c.Requests
		}
		sum := side[key.Route]
		sum.Requests += c.Requests
		sum.Failures += c.Failures
		sum.Latency += c.Latency
		side[key.Route] = sum
	}
	for route, c := range fresh {
		if reason, bad = p.Bad(c, old[route]); bad {
			return route + ": " + reason, true, answers
		}
	}
	return "", false, answers
}
