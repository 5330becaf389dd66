package main

import (
	"fmt"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// Policies that are compared. The product uses policyPooled: evaluators decide
// on the counters of all daemons.
const (
	policyPooled    = "pooled"
	policyOwn       = "own"       // every daemon decides on its own counters only
	policyThreshold = "threshold" // fixed maximum rates of the counters of all daemons
)

// judge decides on a new version from request counts; move.Judge implements it.
type judge interface {
	Add(now time.Time, share float64, samples []move.Sample)
	Finding() move.Finding
}

// Parameters of the threshold policy.
const (
	minThresholdRequests    = 25 // no decision on fewer requests of the new version
	maxThresholdFailureRate = 0.05
	maxThresholdSlowRate    = 0.2
	thresholdWindow         = 100.0 // requests of the new version
)

// threshold takes a version back if its failure rate or rate of slow replies
// over about the last thresholdWindow requests exceeds a fixed bound. Otherwise
// the version is proved after minThresholdRequests.
type threshold struct {
	requests, failures, slow float64
	finding                  move.Finding
}

func (t *threshold) Add(_ time.Time, _ float64, samples []move.Sample) {
	for _, s := range samples {
		if !s.New {
			continue
		}
		t.requests += s.Requests
		t.failures += s.Failures
		t.slow += s.Slow
	}
	if t.requests > thresholdWindow {
		scale := thresholdWindow / t.requests
		t.requests, t.failures, t.slow = t.requests*scale, t.failures*scale, t.slow*scale
	}
	if t.requests < minThresholdRequests {
		return
	}
	if t.failures > maxThresholdFailureRate*t.requests || t.slow > maxThresholdSlowRate*t.requests {
		t.finding.TakeBack = true
		t.finding.Evidence = fmt.Sprintf("%.0f failed, %.0f slow of %.0f", t.failures, t.slow, t.requests)
		return
	}
	t.finding.Proved = !t.finding.TakeBack
}

func (t *threshold) Finding() move.Finding { return t.finding }

// newJudge returns a judge of the policy; n judges share the false-alarm
// probability.
func newJudge(policy string, n int) judge {
	if policy == policyThreshold {
		return &threshold{}
	}
	j := move.NewJudge(move.JudgeConfig{FalseAlarmProbability: 0.003, Judges: n, Routes: len(routeShares)})
	j.SetUpstreams(newUpstreams)
	return j
}
