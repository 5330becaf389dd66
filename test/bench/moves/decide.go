package main

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// judge runs the own judges and the evaluators at the end of a tick.
func (t *trial) judge(now time.Time) {
	for _, o := range t.own {
		if t.policy == policyThreshold {
			break
		}
		if samples := o.take(); len(samples) > 0 {
			o.judge.Add(now, t.ramp.Share(now, t.verdict), samples)
			t.decide(now, o.judge, t.policy == policyOwn)
		}
	}
	for e, pool := range t.pools {
		if t.policy == policyOwn {
			break
		}
		for d, o := range t.pending[e] {
			if (t.steps+d)%reportInterval == 0 {
				t.send(now, e, pool, o)
			}
		}
	}
	for _, d := range t.late[t.steps] {
		t.pools[d.evaluator].Add(now, t.ramp.Share(now, t.verdict), d.samples)
		t.decide(now, t.pools[d.evaluator], true)
	}
	delete(t.late, t.steps)
	t.finish(now)
}

// send delivers a report, loses it or delays it. Counters are cumulative, so a
// lost report is contained in the next one.
func (t *trial) send(now time.Time, evaluator int, pool judge, o *observer) {
	switch x := t.random.Float64(); {
	case x < lostReports:
	case x < lostReports+lateReports:
		at := t.steps + 1 + t.random.IntN(maxLate)
		t.late[at] = append(t.late[at], delivery{evaluator, o.take()})
	default:
		if samples := o.take(); len(samples) > 0 {
			pool.Add(now, t.ramp.Share(now, t.verdict), samples)
			t.decide(now, pool, true)
		}
	}
}

func (t *trial) decide(now time.Time, j judge, proves bool) {
	if t.verdict.Outcome == move.TakenBack {
		return
	}
	f := j.Finding()
	switch {
	case f.TakeBack:
		t.verdict = t.verdict.Merge(move.Verdict{Outcome: move.TakenBack, Decided: now})
		for d := range t.reaches {
			t.reaches[d] = now.Add(time.Duration(t.random.Float64() * float64(spread)))
		}
		t.result.takenBack, t.result.verdict, t.result.evidence = true, now.Sub(t.ramp.Start), f.Evidence
	case f.Proved && proves && t.verdict.Outcome == move.Unproved:
		t.result.proved = true
		t.verdict = t.verdict.Merge(move.Verdict{Outcome: move.Proved, Proved: now, Decided: now})
	}
}

func (t *trial) finish(now time.Time) {
	if t.done || t.verdict.Outcome == move.TakenBack || !t.ramp.Complete(now, t.verdict) {
		return
	}
	t.done = true
	t.verdict = t.verdict.Merge(move.Verdict{Outcome: move.Done, Decided: now})
	t.result.doneAt = now.Sub(t.ramp.Start)
	t.result.onTime = !now.After(t.ramp.Deadline)
}
