package move

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func drawRamp(t *rapid.T) Ramp {
	r := Ramp{Start: start, Deadline: start.Add(time.Duration(rapid.Int64Range(int64(10*time.Second), int64(48*time.Hour)).Draw(t, "length")))}
	after, percent := time.Duration(0), 0.0
	for i := range rapid.IntRange(0, 4).Draw(t, "steps") {
		after += scale(r.duration(), 0.1*rapid.Float64Range(0.1, 1).Draw(t, "after"))
		limit := 100.0
		if i == 0 {
			limit = MaxUnprovedPercent
		}
		percent = max(percent, rapid.Float64Range(0, limit).Draw(t, "percent"))
		r.Steps = append(r.Steps, object.Step{After: object.Duration(after), Percent: percent})
	}
	return r
}

// Guards against a share above 5% without proof, against a share that falls
// although the version wasn't taken back, and against a ramp that is proved in
// time but ends after the deadline on a daemon whose clock is behind by
// MaxClockSkew.
func TestRampShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRamp(t)
		proved := Verdict{Outcome: Proved, Proved: start.Add(time.Duration(rapid.Int64Range(0, int64(2*r.duration())).Draw(t, "proved")))}
		last := 0.0
		for i := range 200 {
			now := start.Add(r.duration() / 80 * time.Duration(i))
			if share := r.Share(now, Verdict{}); share > MaxUnprovedPercent {
				t.Fatalf("%v without proof after %s", share, now.Sub(start))
			}
			share := r.Share(now, proved)
			if share < last || share > MaxUnprovedPercent && now.Before(proved.Proved) {
				t.Fatalf("%v after %v at %s, proved at %s", share, last, now.Sub(start), proved.Proved.Sub(start))
			}
			last = share
			if got := r.Share(now, Verdict{Outcome: TakenBack, Proved: proved.Proved}); got != 0 {
				t.Fatalf("%v after a take-back", got)
			}
		}
		slow := min(MaxClockSkew, r.duration()/4)
		if !proved.Proved.After(r.ProofDeadline()) && r.Share(r.Deadline.Add(-slow), proved) < 100 {
			t.Fatalf("%v at the deadline", r.Share(r.Deadline.Add(-slow), proved))
		}
	})
}

// Guards against daemons that disagree because they received the same verdicts
// in different orders.
func TestMergeIsMonotonic(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Verdict {
		v := Verdict{Outcome: Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), Decided: start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "decided")))}
		if v.Outcome == Proved {
			v.Proved = v.Decided
		}
		return v
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		left, right := a.Merge(b).Merge(c), c.Merge(a.Merge(b).Merge(b))
		if left.Outcome != right.Outcome || !left.Proved.Equal(right.Proved) {
			t.Fatalf("%+v and %+v", left, right)
		}
		if a.Outcome == TakenBack && left.Outcome != TakenBack {
			t.Fatal("a take-back was lost")
		}
	})
}

// Guards against wrong conditions of a move, with which an operator would learn
// of a problem too late to act.
func TestAssess(t *testing.T) {
	r := Ramp{Start: start, Deadline: start.Add(time.Hour)}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, c := range map[string]struct {
		want Condition
		p    Progress
	}{
		"waiting":           {OnTime, Progress{Now: at(-time.Minute)}},
		"evidence arrives":  {OnTime, Progress{Now: at(10 * time.Minute), Requests: 20, RemainingRequests: 5, LastRequest: at(10 * time.Minute)}},
		"too few requests":  {Late, Progress{Now: at(10 * time.Minute), Requests: 2, RemainingRequests: 23, LastRequest: at(10 * time.Minute)}},
		"no requests":       {Stalled, Progress{Now: at(2 * time.Minute), RemainingRequests: 25}},
		"all to the old":    {Stalled, Progress{Now: at(10 * time.Minute), Requests: 20, RemainingRequests: 5, LastRequest: at(10 * time.Minute), MissedRequests: 10}},
		"proof too late":    {Impossible, Progress{Now: at(50 * time.Minute), Requests: 20, RemainingRequests: 5, LastRequest: at(50 * time.Minute)}},
		"proved":            {OnTime, Progress{Now: at(50 * time.Minute), Verdict: Verdict{Outcome: Proved, Proved: at(9 * time.Minute)}, LastRequest: at(50 * time.Minute)}},
		"proved too late":   {Late, Progress{Now: at(55 * time.Minute), Verdict: Verdict{Outcome: Proved, Proved: at(54 * time.Minute)}, LastRequest: at(55 * time.Minute)}},
		"past the deadline": {Late, Progress{Now: at(time.Hour), Requests: 20, RemainingRequests: 5, LastRequest: at(time.Hour)}},
	} {
		if got := r.Assess(c.p); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// feed adds n intervals of 20 requests to a judge. On average share percent of
// them go to the new version; failureRate gives the failure rate of a request.
func feed(j *Judge, r *rand.Rand, n int, share float64, failureRate func(s Sample) float64) {
	for i := range n {
		var samples []Sample
		for range 20 {
			dataCentre := r.IntN(3)
			s := Sample{New: 100*r.Float64() < share, Route: "r", DataCentre: fmt.Sprint("dc", dataCentre), Requests: 1}
			if s.New {
				s.Upstream = fmt.Sprint("u", dataCentre+3*r.IntN(4))
			}
			if r.Float64() < failureRate(s) {
				s.Failures = 1
			}
			samples = append(samples, s)
		}
		j.Add(start.Add(time.Duration(i)*time.Second), share, samples)
	}
}

// Guards against a judge that takes a fault of an instance or a data centre for
// one of the version, or the reverse. The benchmark test/bench/moves measures
// the rates of such errors.
func TestJudgeDistinguishesFaults(t *testing.T) {
	const seed = 7
	t.Logf("seed=%d", seed)
	for name, c := range map[string]struct {
		share       float64
		failureRate func(Sample) float64
		bad         bool
		faulty      string
	}{
		"bad version":       {5, func(s Sample) float64 { return pick(s.New, 0.5, 0.01) }, true, ""},
		"bad, alone":        {100, func(Sample) float64 { return 0.5 }, true, ""},
		"both fail":         {5, func(Sample) float64 { return 0.5 }, false, ""},
		"one instance":      {30, func(s Sample) float64 { return pick(s.Upstream == "u3", 1, 0.01) }, false, "u3"},
		"outage":            {50, func(s Sample) float64 { return pick(s.DataCentre == "dc1", 1, 0.01) }, false, ""},
		"outage when alone": {100, func(s Sample) float64 { return pick(s.DataCentre == "dc1", 1, 0.01) }, false, ""},
		"bad in one centre": {30, func(s Sample) float64 { return pick(s.New && s.DataCentre == "dc1", 1, 0.01) }, true, ""},
		"good":              {5, func(Sample) float64 { return 0.01 }, false, ""},
	} {
		j := NewJudge(JudgeConfig{})
		j.SetUpstreams(12)
		feed(j, rand.New(rand.NewPCG(seed, 0)), 300, c.share, c.failureRate)
		f := j.Finding()
		if f.TakeBack != c.bad || c.faulty != "" && !slices.Contains(f.FaultyUpstreams, c.faulty) {
			t.Errorf("%s: %+v", name, f)
		}
		if name == "good" && !f.Proved {
			t.Errorf("good version is not proved: %+v", f)
		}
	}
}

func pick(condition bool, yes, no float64) float64 {
	if condition {
		return yes
	}
	return no
}

// Guards against a take-back of a good version when the machines of both
// versions become slow while the old version gets few requests.
func TestSharedSlowdownIsNoTakeBack(t *testing.T) {
	const (
		trials        = 400
		share         = 90  // percent of the new version
		fullShareFrom = 80  // first interval, of one second, with this share
		normal        = 100 // intervals before the slowdown
		slowdown      = 30  // intervals of the slowdown
		perDaemon     = 2   // requests in an interval
		daemons       = 7
	)
	run := func(r *rand.Rand, judges, perInterval int, slow func(normal, newer bool) float64) bool {
		j := NewJudge(JudgeConfig{FalseAlarmProbability: 0.003, Judges: judges})
		j.SetUpstreams(3)
		for i := range normal + slowdown {
			planned := float64(share)
			if i < fullShareFrom {
				planned = 50
			}
			var samples []Sample
			for range perInterval {
				dataCentre := r.IntN(3)
				s := Sample{New: 100*r.Float64() < planned, Route: "r", DataCentre: fmt.Sprint("dc", dataCentre), Requests: 1}
				if s.New {
					s.Upstream = fmt.Sprint("u", dataCentre)
				}
				if r.Float64() < slow(i < normal, s.New) {
					s.Slow = 1
				}
				samples = append(samples, s)
			}
			j.Add(start.Add(time.Duration(i)*time.Second), planned, samples)
		}
		return j.Finding().TakeBack
	}
	count := func(judges, perInterval int, slow func(normal, newer bool) float64) int {
		n := 0
		for seed := range uint64(trials) {
			if run(rand.New(rand.NewPCG(seed, 0)), judges, perInterval, slow) {
				n++
			}
		}
		return n
	}
	const evaluators = 3
	for name, c := range map[string]struct{ judges, perInterval int }{
		"one daemon":  {daemons, perDaemon},
		"all daemons": {evaluators, perDaemon * daemons},
	} {
		both := count(c.judges, c.perInterval, func(normal, _ bool) float64 { return pick(normal, 0.02, 0.8) })
		if both > trials/100 {
			t.Errorf("%s: %d of %d good versions are taken back when both versions become slow, want at most 1%%", name, both, trials)
		}
	}
	// The judge must still detect that only the new version became slow.
	alone := count(evaluators, perDaemon*daemons, func(normal, newer bool) float64 { return pick(!normal && newer, 0.9, 0.02) })
	if alone < trials*9/10 {
		t.Errorf("%d of %d versions that became slow are taken back within %d s, want nine in ten", alone, trials, slowdown)
	}
}
