package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// Shape of the modelled deployment.
const (
	daemons      = 7
	evaluators   = 3
	dataCentres  = 3
	newUpstreams = 6 // two in each data centre

	tick           = time.Second
	reportInterval = 2 // ticks; the manager's interval at 7 daemons is 1 s to 2 s
	lostReports    = 0.1
	lateReports    = 0.1
	maxLate        = 10 // ticks
	// spread is the longest time from a verdict to its effect on a daemon.
	spread = time.Second
	// ejectAfter is when clients stop using a faulty instance or data centre.
	ejectAfter = 10 * time.Second

	baseFailures = 0.005
	baseSlow     = 0.05
)

var routeParts = []float64{0.5, 0.3, 0.2}

// durations are the lengths of the moves by request rate. At 1 request a
// second the first share gives 2.7 requests a minute to judge.
func durationFor(rate float64) time.Duration {
	switch {
	case rate >= 100:
		return 5 * time.Minute
	case rate >= 10:
		return 10 * time.Minute
	}
	return time.Hour
}

// watched is how long a trial goes on after the deadline.
const watched = 3 * time.Minute

// outcome is the result of one trial.
type outcome struct {
	takenBack, proved, onTime bool
	// Requests up to the proof or the verdict while a fault was there.
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

type trial struct {
	policy   string
	random   *rand.Rand
	rate     float64
	kind     kind
	fault    fault
	ramp     move.Ramp
	length   time.Duration
	verdict  move.Verdict
	reaches  [daemons]time.Time // when the verdict takes effect
	own      [daemons]*observer
	pools    [evaluators]judge
	pending  [evaluators][daemons]*observer
	suspects [daemons][newUpstreams]bool
	late     map[int][]delivery
	result   outcome
	done     bool
	steps    int
}

type delivery struct {
	evaluator int
	samples   []move.Sample
}

// observer collects the counters since its last sample.
type observer struct {
	judge   judge
	counts  [slots]move.Sample
	touched []int
}

const slots = 2 * 3 * dataCentres * (newUpstreams + 1)

type slot struct {
	fresh                       bool
	route, dataCentre, upstream int
}

func (s slot) index() int {
	i := (s.route*dataCentres+s.dataCentre)*(newUpstreams+1) + s.upstream + 1
	if s.fresh {
		i += slots / 2
	}
	return i
}

func newObserver(j judge) *observer {
	return &observer{judge: j}
}

func (o *observer) add(s slot, failed, slow bool) {
	c := &o.counts[s.index()]
	if c.Route == "" {
		*c = move.Sample{New: s.fresh, Route: fmt.Sprint("r", s.route), DataCentre: fmt.Sprint("dc", s.dataCentre)}
		if s.upstream >= 0 {
			c.Upstream = fmt.Sprint("u", s.upstream)
		}
	}
	if c.Requests == 0 {
		o.touched = append(o.touched, s.index())
	}
	c.Requests++
	if failed {
		c.Failures++
	} else if slow {
		c.Slow++
	}
}

func (o *observer) take() []move.Sample {
	samples := make([]move.Sample, 0, len(o.touched))
	for _, i := range o.touched {
		c := &o.counts[i]
		samples = append(samples, *c)
		c.Requests, c.Failures, c.Slow = 0, 0, 0
	}
	o.touched = o.touched[:0]
	return samples
}

func newTrial(policy string, seed, number uint64, k kind, rate float64) *trial {
	t := &trial{
		policy: policy, random: rand.New(rand.NewPCG(seed, number)), rate: rate, kind: k,
		length: durationFor(rate), late: make(map[int][]delivery),
	}
	start := time.Unix(1_700_000_000, 0)
	t.ramp = move.Ramp{Start: start, Deadline: start.Add(t.length)}
	t.fault = newFault(k, t.random, t.length)
	for d := range daemons {
		t.own[d] = newObserver(newJudge(policy, daemons))
	}
	for e := range evaluators {
		t.pools[e] = newJudge(policy, evaluators)
		for d := range daemons {
			t.pending[e][d] = newObserver(nil)
		}
	}
	t.result.firstEvidence = -1
	return t
}

func (t *trial) run() outcome {
	arrivals := distuv.Poisson{Lambda: t.rate * tick.Seconds(), Src: t.random}
	for ; time.Duration(t.steps)*tick < t.length+watched; t.steps++ {
		now := t.now()
		for range int(arrivals.Rand()) {
			t.request(now)
		}
		t.judge(now.Add(tick))
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
	known := t.verdict
	if known.Outcome == move.TakenBack && now.Before(t.reaches[daemon]) {
		known.Outcome = move.Unproved
		if !known.Proved.IsZero() {
			known.Outcome = move.Proved
		}
		if t.done {
			known.Outcome = move.Done
		}
	}
	share := t.ramp.Share(now, known)
	s := slot{
		fresh: 100*t.random.Float64() < share, route: t.pickRoute(),
		dataCentre: t.random.IntN(dataCentres), upstream: -1,
	}
	elapsed := now.Sub(t.ramp.Start)
	t.avoid(&s, elapsed)
	upstream := -1
	if s.fresh {
		upstream = t.pickUpstream(s.dataCentre, elapsed)
	}
	hit := t.hit(s, upstream, elapsed, share)
	failed := t.random.Float64() < baseFailures || hit && !t.fault.slow
	slow := t.random.Float64() < baseSlow || hit && t.fault.slow
	if s.fresh && (failed || slow || t.suspects[daemon][upstream]) {
		t.suspects[daemon][upstream] = true
		s.upstream = upstream
	}
	t.count(now, s.fresh, hit, share)
	t.own[daemon].add(s, failed, slow)
	for e := range evaluators {
		t.pending[e][daemon].add(s, failed, slow)
	}
}

func (t *trial) pickRoute() int {
	x := t.random.Float64()
	for i, p := range routeParts {
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

// avoid models health checks: the old version, which has more upstreams, is
// moved out of a failing data centre first.
func (t *trial) avoid(s *slot, elapsed time.Duration) {
	f := t.fault
	if !f.ejected || s.dataCentre != f.dataCentre || elapsed < f.from+ejectAfter || elapsed > f.until {
		return
	}
	if !s.fresh || elapsed > f.from+2*ejectAfter {
		s.dataCentre = (s.dataCentre + 1) % dataCentres
	}
}

// active reports whether the fault shows at a time and share.
func (t *trial) active(elapsed time.Duration, share float64) bool {
	f := t.fault
	if f.afterDone >= 0 {
		return t.done && elapsed >= t.result.doneAt+f.afterDone
	}
	return elapsed >= f.from && elapsed < f.until && share >= f.underLoad
}

// hit decides whether the fault affects a request.
func (t *trial) hit(s slot, upstream int, elapsed time.Duration, share float64) bool {
	f := t.fault
	switch {
	case !t.active(elapsed, share):
		return false
	case f.dataCentre >= 0:
		return s.dataCentre == f.dataCentre && t.random.Float64() < f.rate
	case !s.fresh, f.route >= 0 && s.route != f.route, f.upstream >= 0 && upstream != f.upstream:
		return false
	}
	return t.random.Float64() < f.rate
}

func (t *trial) count(now time.Time, fresh, hit bool, share float64) {
	r := &t.result
	elapsed := now.Sub(t.ramp.Start)
	if hit && r.firstEvidence < 0 {
		r.firstEvidence = elapsed
	}
	if t.verdict.Outcome == move.TakenBack {
		if fresh && now.Sub(t.verdict.Decided) >= 2*time.Second {
			r.afterVerdict++
		}
	} else if t.kind.fromStart && t.verdict.Outcome == move.Unproved {
		r.unprovedAll++
		if fresh {
			r.unprovedNew++
		}
	}
	if !t.kind.bad || !t.active(elapsed, share) && r.faultAll == 0 {
		return
	}
	if t.verdict.Outcome != move.TakenBack {
		r.faultAll++
		if fresh {
			r.faultNew++
		}
	}
	if fresh {
		r.badRequests++
	}
}
