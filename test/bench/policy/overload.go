package main

import (
	"fmt"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

const (
	goodputBound = 0.9
	overloadBy   = 3
	// Times to the first token after which a reply is worthless.
	shortDeadline = 1500 * time.Millisecond
	longDeadline  = 6 * time.Second
)

// gate is the admission state of one daemon.
type gate struct {
	controller *admission.Controller
	limiters   map[string]*admission.Limiter
}

// overloadRun counts the outcomes of one load.
type overloadRun struct {
	f           *fleet
	gates       map[*daemon]*gate
	offered     int
	good, late  int
	goodWork    float64
	turnedAway  int
	notNotRun   int // turned away with another execution state or no hint
	shareByName map[string]int
	codes       map[string]int // outcomes by class and result code
}

// runOverload finds the maximum goodput over a range of loads and compares it
// with the goodput at three times the load of the maximum.
func runOverload(r *report, o options) {
	var best, bestWork *overloadRun
	bestLoad := 0.0
	for _, load := range []float64{1, 1.5, 2, 2.5, 3, 3.5, 4, 5, 6} {
		run := overload(o, load)
		fmt.Printf("overload: load=%.2f offered=%d good=%d late=%d turned_away=%d good_tokens=%.0f outcomes=%v\n",
			load, run.offered, run.good, run.late, run.turnedAway, run.goodWork, run.codes)
		// Capacity is the highest load at which 99% of the requests succeed.
		if float64(run.good) >= 0.99*float64(run.offered) {
			bestLoad = load
		}
		if best == nil || run.good > best.good {
			best = run
		}
		if bestWork == nil || run.goodWork > bestWork.goodWork {
			bestWork = run
		}
	}
	over := overload(o, overloadBy*bestLoad)
	r.info("overload: capacity", bestLoad, "x mix A", 0, "")
	goodput := float64(over.good) / float64(best.good)
	r.atLeast("overload: goodput at 3x, requests", goodput, goodputBound, "", goodput, "its maximum")
	work := over.goodWork / bestWork.goodWork
	r.atLeast("overload: goodput at 3x, prompt tokens", work, goodputBound, "", work, "its maximum")
	r.atMost("overload: turned away, not \"not run\"", float64(over.notNotRun), 0, "", 0, "")
	r.info("overload: turned away", float64(over.turnedAway)/float64(over.offered), "of offered", 0, "")
	r.info("overload: late replies", float64(over.late)/float64(over.offered), "of offered", 0, "")
	small, large := over.shareByName["small-1"], over.shareByName["large-1"]
	r.info("overload: good replies, small to large account", float64(small)/float64(large), "", 0, "")
}

func overload(o options, load float64) *overloadRun {
	m := mixes()[0]
	m.rate *= load
	f := newFleet(policy{product, makeProduct}, m, o.Seed)
	run := &overloadRun{f: f, gates: make(map[*daemon]*gate), shareByName: make(map[string]int), codes: make(map[string]int)}
	for _, d := range f.daemons {
		g := &gate{
			controller: admission.New(admission.Config{Clock: f.t.clock}),
			limiters:   make(map[string]*admission.Limiter),
		}
		for _, c := range d.candidates {
			g.limiters[c.Name] = admission.NewLimiter(admission.LimiterConfig{})
		}
		run.gates[d] = g
		run.applyLimits(d)
	}
	f.t.every(100*time.Millisecond, func() {
		for _, d := range f.daemons {
			run.applyLimits(d)
			run.gates[d].controller.Sweep()
		}
	})
	f.arrivals(newGenerator(m, o.Seed), run.handle)
	f.t.after(o.Warmup, func() { f.m.start(f) })
	f.t.runUntil(o.Warmup + o.Length)
	return run
}

// applyLimits gives the limiters' results to the candidates and the controller.
func (run *overloadRun) applyLimits(d *daemon) {
	g := run.gates[d]
	total := 0
	for _, c := range d.candidates {
		limit := g.limiters[c.Name].Limit()
		c.SetLimit(limit)
		total += limit
	}
	g.controller.SetCapacity(total)
}

func (run *overloadRun) handle(d *daemon, j *job) {
	g := run.gates[d]
	allowed := shortDeadline
	if j.class == object.ClassLong {
		allowed = longDeadline
	}
	if run.f.m.warm {
		run.offered++
	}
	request := admission.Request{
		Account: j.account, Class: j.class, Cost: float64(j.prompt),
		Deadline: epoch.Add(j.arrival + allowed),
	}
	g.controller.Submit(request, func(t *admission.Ticket, err error) {
		if err != nil {
			run.refused(j, err)
			return
		}
		run.send(d, j, t, allowed)
	})
}

func (run *overloadRun) send(d *daemon, j *job, t *admission.Ticket, allowed time.Duration) {
	sent := run.f.t.now
	inFlight := 0
	c := d.send(j, func(c *routing.Candidate) {
		t.FirstByte()
		run.gates[d].limiters[c.Name].Observe(run.f.t.now-sent, float64(j.prompt-j.cached), inFlight)
		run.replied(j, allowed)
	}, func(*routing.Candidate) { t.Done() })
	if c == nil {
		t.Fail()
		run.refused(j, result.New(result.Overloaded, result.NotRun, "no upstream below its limit").WithRetryAfter(1))
		return
	}
	inFlight = c.InFlight()
}

func (run *overloadRun) counted(j *job) bool { return run.f.m.warm && j.arrival >= run.f.m.warmAt }

func (run *overloadRun) replied(j *job, allowed time.Duration) {
	if !run.counted(j) {
		return
	}
	run.codes[fmt.Sprintf("%s/replied", j.class)]++
	if run.f.t.now-j.arrival > allowed {
		run.codes[fmt.Sprintf("%s/late", j.class)]++
		run.late++
		return
	}
	run.good++
	run.goodWork += float64(j.prompt)
	run.shareByName[j.account]++
}

func (run *overloadRun) refused(j *job, err error) {
	if !run.counted(j) {
		return
	}
	run.turnedAway++
	run.codes[fmt.Sprintf("%s/%d", j.class, result.CodeOf(err))]++
	if e := result.From(err); e.Execution != result.NotRun || e.RetryAfterSeconds <= 0 {
		run.notNotRun++
	}
}
