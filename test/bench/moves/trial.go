package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// Parameters of the modelled deployment.
const (
	daemons      = 7
	evaluators   = 3
	dataCentres  = 3
	newUpstreams = 6 // two in each data centre

	tick           = time.Second
	reportInterval = 2 // ticks; daemons report every 1 s to 2 s in a fleet of 7
	lostReportRate = 0.1
	lateReportRate = 0.1
	maxReportDelay = 10 // ticks
	// maxVerdictDelay is the maximum time from a verdict to its effect on a
	// daemon.
	maxVerdictDelay = time.Second
	// ejectAfter is the time from the start of a fault after which daemons stop
	// using the faulty upstream or data centre.
	ejectAfter = 10 * time.Second

	// Rates of failed and slow requests of both versions without a fault.
	baseFailureRate = 0.005
	baseSlowRate    = 0.05
)

// routeShares are the shares of the requests that go to each route.
var routeShares = []float64{0.5, 0.3, 0.2}

// moveDuration returns the duration of a move at a request rate. At 1 request
// per second, the first share of the ramp gives the new version only 2.7
// requests a minute, so the move takes an hour.
func moveDuration(rate float64) time.Duration {
	switch {
	case rate >= 100:
		return 5 * time.Minute
	case rate >= 10:
		return 10 * time.Minute
	}
	return time.Hour
}

// watchTime is how long a trial continues after the deadline.
const watchTime = 3 * time.Minute

// outcome is the result of one trial.
type outcome struct {
	takenBack, proved, onTime bool
	// Requests until the proof or the verdict, if the fault was present from the
	// start.
	unprovedNew, unprovedAll int
	// Requests from the fault to the verdict.
	faultNew, faultAll int
	badRequests        int           // all requests to the bad version since the fault
	afterVerdict       int           // to the new version, 2 s after the verdict or later
	firstEvidence      time.Duration // first failed or slow reply that the fault caused
	verdict            time.Duration
	doneAt             time.Duration
	evidence           string
}

// trial simulates one move.
type trial struct {
	policy          string
	random          *rand.Rand
	rate            float64
	kind            kind
	fault           fault
	ramp            move.Ramp
	length          time.Duration
	verdict         move.Verdict
	effectiveAt     [daemons]time.Time // when the take-back takes effect
	local           [daemons]*observer // counters for the daemons' own judges
	evaluatorJudges [evaluators]judge
	unsent          [evaluators][daemons]*observer // counts since the last report to the evaluator
	suspects        [daemons][newUpstreams]bool    // upstreams with a failed or slow reply
	late            map[int][]delivery             // late reports by the tick of their arrival
	result          outcome
	done            bool
	steps           int
}

// delivery is a late report to an evaluator.
type delivery struct {
	evaluator int
	samples   []move.Sample
}

// observer holds the request counters since the last call of take.
type observer struct {
	judge   judge
	counts  [counterCount]move.Sample
	nonzero []int // indexes of the counters that are not zero
}

// counterCount is the number of counters of an observer: versions, routes, data
// centres, and upstreams or none.
const counterCount = 2 * 3 * dataCentres * (newUpstreams + 1)

// counterKey identifies a counter. upstream is -1 if it is not counted.
type counterKey struct {
	newVersion                  bool
	route, dataCentre, upstream int
}

func (s counterKey) index() int {
	i := (s.route*dataCentres+s.dataCentre)*(newUpstreams+1) + s.upstream + 1
	if s.newVersion {
		i += counterCount / 2
	}
	return i
}

func newObserver(j judge) *observer {
	return &observer{judge: j}
}

func (o *observer) add(s counterKey, failed, slow bool) {
	c := &o.counts[s.index()]
	if c.Route == "" {
		*c = move.Sample{New: s.newVersion, Route: fmt.Sprint("r", s.route), DataCentre: fmt.Sprint("dc", s.dataCentre)}
		if s.upstream >= 0 {
			c.Upstream = fmt.Sprint("u", s.upstream)
		}
	}
	if c.Requests == 0 {
		o.nonzero = append(o.nonzero, s.index())
	}
	c.Requests++
	if failed {
		c.Failures++
	} else if slow {
		c.Slow++
	}
}

// take returns the counts since the previous call and resets them.
func (o *observer) take() []move.Sample {
	samples := make([]move.Sample, 0, len(o.nonzero))
	for _, i := range o.nonzero {
		c := &o.counts[i]
		samples = append(samples, *c)
		c.Requests, c.Failures, c.Slow = 0, 0, 0
	}
	o.nonzero = o.nonzero[:0]
	return samples
}

func newTrial(policy string, seed, number uint64, k kind, rate float64) *trial {
	t := &trial{
		policy: policy, random: rand.New(rand.NewPCG(seed, number)), rate: rate, kind: k,
		length: moveDuration(rate), late: make(map[int][]delivery),
	}
	start := time.Unix(1_700_000_000, 0)
	t.ramp = move.Ramp{Start: start, Deadline: start.Add(t.length)}
	t.fault = newFault(k, t.random, t.length)
	for d := range daemons {
		t.local[d] = newObserver(newJudge(policy, daemons))
	}
	for e := range evaluators {
		t.evaluatorJudges[e] = newJudge(policy, evaluators)
		for d := range daemons {
			t.unsent[e][d] = newObserver(nil)
		}
	}
	t.result.firstEvidence = -1
	return t
}

func (t *trial) run() outcome {
	arrivals := distuv.Poisson{Lambda: t.rate * tick.Seconds(), Src: t.random}
	for ; time.Duration(t.steps)*tick < t.length+watchTime; t.steps++ {
		now := t.now()
		for range int(arrivals.Rand()) {
			t.request(now)
		}
		t.evaluate(now.Add(tick))
		if t.verdict.Outcome == move.TakenBack && now.Sub(t.verdict.Decided) > 3*time.Second {
			break
		}
	}
	return t.result
}

func (t *trial) now() time.Time { return t.ramp.Start.Add(time.Duration(t.steps) * tick) }

// request sends one request and counts it.
func (t *trial) request(now time.Time) {
	now = now.Add(time.Duration(t.random.Float64() * float64(tick)))
	daemon := t.random.IntN(daemons)
	verdict := t.verdict
	if verdict.Outcome == move.TakenBack && now.Before(t.effectiveAt[daemon]) {
		verdict.Outcome = move.Unproved
		if !verdict.Proved.IsZero() {
			verdict.Outcome = move.Proved
		}
		if t.done {
			verdict.Outcome = move.Done
		}
	}
	share := t.ramp.Share(now, verdict)
	s := counterKey{
		newVersion: 100*t.random.Float64() < share, route: t.pickRoute(),
		dataCentre: t.random.IntN(dataCentres), upstream: -1,
	}
	elapsed := now.Sub(t.ramp.Start)
	t.avoid(&s, elapsed)
	upstream := -1
	if s.newVersion {
		upstream = t.pickUpstream(s.dataCentre, elapsed)
	}
	affected := t.affected(s, upstream, elapsed, share)
	failed := t.random.Float64() < baseFailureRate || affected && !t.fault.slow
	slow := t.random.Float64() < baseSlowRate || affected && t.fault.slow
	if s.newVersion && (failed || slow || t.suspects[daemon][upstream]) {
		t.suspects[daemon][upstream] = true
		s.upstream = upstream
	}
	t.count(now, s.newVersion, affected, share)
	t.local[daemon].add(s, failed, slow)
	for e := range evaluators {
		t.unsent[e][daemon].add(s, failed, slow)
	}
}

func (t *trial) pickRoute() int {
	x := t.random.Float64()
	for i, p := range routeShares {
		if x -= p; x < 0 {
			return i
		}
	}
	return 0
}

func (t *trial) pickUpstream(dataCentre int, elapsed time.Duration) int {
	u := dataCentre + dataCentres*t.random.IntN(newUpstreams/dataCentres)
	if t.fault.ejected && u == t.fault.upstream && elapsed > t.fault.from+ejectAfter && t.random.Float64() < 0.95 {
		return (u + dataCentres) % newUpstreams
	}
	return u
}

// avoid models health checks, which move requests out of a failing data centre:
// those of the old version, which has more upstreams, before those of the new.
func (t *trial) avoid(s *counterKey, elapsed time.Duration) {
	f := t.fault
	if !f.ejected || s.dataCentre != f.dataCentre || elapsed < f.from+ejectAfter || elapsed > f.until {
		return
	}
	if !s.newVersion || elapsed > f.from+2*ejectAfter {
		s.dataCentre = (s.dataCentre + 1) % dataCentres
	}
}

// active reports whether the fault is present at a time and at a share of the new
// version.
func (t *trial) active(elapsed time.Duration, share float64) bool {
	f := t.fault
	if f.afterDone >= 0 {
		return t.done && elapsed >= t.result.doneAt+f.afterDone
	}
	return elapsed >= f.from && elapsed < f.until && share >= f.minShare
}

// affected reports whether the fault affects a request.
func (t *trial) affected(s counterKey, upstream int, elapsed time.Duration, share float64) bool {
	f := t.fault
	switch {
	case !t.active(elapsed, share):
		return false
	case f.dataCentre >= 0:
		return s.dataCentre == f.dataCentre && t.random.Float64() < f.rate
	case !s.newVersion, f.route >= 0 && s.route != f.route, f.upstream >= 0 && upstream != f.upstream:
		return false
	}
	return t.random.Float64() < f.rate
}

// count adds a request to the result of the trial.
func (t *trial) count(now time.Time, newVersion, affected bool, share float64) {
	r := &t.result
	elapsed := now.Sub(t.ramp.Start)
	if affected && r.firstEvidence < 0 {
		r.firstEvidence = elapsed
	}
	if t.verdict.Outcome == move.TakenBack {
		if newVersion && now.Sub(t.verdict.Decided) >= 2*time.Second {
			r.afterVerdict++
		}
	} else if t.kind.fromStart && t.verdict.Outcome == move.Unproved {
		r.unprovedAll++
		if newVersion {
			r.unprovedNew++
		}
	}
	if !t.kind.bad || !t.active(elapsed, share) && r.faultAll == 0 {
		return
	}
	if t.verdict.Outcome != move.TakenBack {
		r.faultAll++
		if newVersion {
			r.faultNew++
		}
	}
	if newVersion {
		r.badRequests++
	}
}
