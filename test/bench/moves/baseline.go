package main

import (
	"fmt"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// Policies that are compared. "pooled" is the product's.
const (
	policyPooled    = "pooled"
	policyOwn       = "own"       // every daemon judges its own counters only
	policyThreshold = "threshold" // fixed rates over pooled counters
)

// judge is what a policy decides by.
type judge interface {
	Add(now time.Time, share float64, samples []move.Sample)
	Finding() move.Finding
}

// Parameters of the threshold policy.
const (
	thresholdRequests = 25
	thresholdFailures = 0.05
	thresholdSlow     = 0.2
	thresholdWindow   = 100.0 // requests of the new version
)

// threshold takes a version back if its failure rate or rate of slow replies
// over the last requests exceeds a fixed bound.
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
	if t.requests < thresholdRequests {
		return
	}
	if t.failures > thresholdFailures*t.requests || t.slow > thresholdSlow*t.requests {
		t.finding.TakeBack = true
		t.finding.Evidence = fmt.Sprintf("%.0f failed, %.0f slow of %.0f", t.failures, t.slow, t.requests)
		return
	}
	t.finding.Proved = !t.finding.TakeBack
}

func (t *threshold) Finding() move.Finding { return t.finding }

// newJudge returns a judge of the policy, one of n that share the alarm rate.
func newJudge(policy string, n int) judge {
	if policy == policyThreshold {
		return &threshold{}
	}
	j := move.NewJudge(move.JudgeConfig{FalseAlarmProbability: 0.003, Judges: n, Routes: len(routeParts)})
	j.SetUpstreams(newUpstreams)
	return j
}
