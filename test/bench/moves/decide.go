package main

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// evaluate runs the judges of the daemons and of the evaluators at the end of a
// tick.
func (t *trial) evaluate(now time.Time) {
	for _, o := range t.local {
		if t.policy == policyThreshold {
			break
		}
		if samples := o.take(); len(samples) > 0 {
			o.judge.Add(now, t.ramp.Share(now, t.verdict), samples)
			t.decide(now, o.judge, t.policy == policyOwn)
		}
	}
	for e, j := range t.evaluatorJudges {
		if t.policy == policyOwn {
			break
		}
		for d, o := range t.unsent[e] {
			if (t.steps+d)%reportInterval == 0 {
				t.send(now, e, j, o)
			}
		}
	}
	for _, d := range t.late[t.steps] {
		t.evaluatorJudges[d.evaluator].Add(now, t.ramp.Share(now, t.verdict), d.samples)
		t.decide(now, t.evaluatorJudges[d.evaluator], true)
	}
	delete(t.late, t.steps)
	t.finish(now)
}

// send delivers a report, loses it or delays it. Counters are cumulative: the
// next report contains the counts of a lost one.
func (t *trial) send(now time.Time, evaluator int, j judge, o *observer) {
	switch x := t.random.Float64(); {
	case x < lostReportRate:
	case x < lostReportRate+lateReportRate:
		at := t.steps + 1 + t.random.IntN(maxReportDelay)
		t.late[at] = append(t.late[at], delivery{evaluator, o.take()})
	default:
		if samples := o.take(); len(samples) > 0 {
			j.Add(now, t.ramp.Share(now, t.verdict), samples)
			t.decide(now, j, true)
		}
	}
}

// decide applies the finding of a judge to the verdict. Only judges with
// canProve set can prove a version good.
func (t *trial) decide(now time.Time, j judge, canProve bool) {
	if t.verdict.Outcome == move.TakenBack {
		return
	}
	f := j.Finding()
	switch {
	case f.TakeBack:
		t.verdict = t.verdict.Merge(move.Verdict{Outcome: move.TakenBack, Decided: now})
		for d := range t.effectiveAt {
			t.effectiveAt[d] = now.Add(time.Duration(t.random.Float64() * float64(maxVerdictDelay)))
		}
		t.result.takenBack, t.result.verdict, t.result.evidence = true, now.Sub(t.ramp.Start), f.Evidence
	case f.Proved && canProve && t.verdict.Outcome == move.Unproved:
		t.result.proved = true
		t.verdict = t.verdict.Merge(move.Verdict{Outcome: move.Proved, Proved: now, Decided: now})
	}
}

// finish ends the move once its ramp is complete.
func (t *trial) finish(now time.Time) {
	if t.done || t.verdict.Outcome == move.TakenBack || !t.ramp.Complete(now, t.verdict) {
		return
	}
	t.done = true
	t.verdict = t.verdict.Merge(move.Verdict{Outcome: move.Done, Decided: now})
	t.result.doneAt = now.Sub(t.ramp.Start)
	t.result.onTime = !now.After(t.ramp.Deadline)
}
