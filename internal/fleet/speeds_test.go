package fleet_test

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

// unevenLoad is a load on instances that differ.
type unevenLoad struct {
	speeds []float64 // of the instances, repeated
	// slowShare is the share of the time that each instance is 2.5 times as slow, for
	// 600 ms at a time.
	slowShare float64
	// reportInterval is the time between two reports of the daemons' loads.
	reportInterval time.Duration
	// skew is the share of the requests that arrive in one of the three data centres.
	skew float64
}

const (
	unevenDaemons   = 20
	unevenInstances = 36
	unevenSeeds     = 32
	longRate        = 56 // requests per second of the long class, whose objective is 600 ms
	shortRate       = 280
	longObjective   = 600 * time.Millisecond
	shortObjective  = 800 * time.Millisecond
	warmup          = 15 * time.Second // until the times count
	counted         = 60 * time.Second
)

// unevenEngine processes prompts one after the other.
type unevenEngine struct {
	speed             float64
	freeAt, slowUntil time.Time
}

type unevenRun struct {
	clock    *clockwork.FakeClock
	random   *rand.Rand
	sets     []*fleet.Set
	learners []*speed.Learner
	indexes  []int64
	book     *speed.Book
	engines  []*unevenEngine
	events   []event
}

func newUnevenRun(l unevenLoad, seed uint64) *unevenRun {
	r := &unevenRun{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 9)), indexes: make([]int64, unevenDaemons)}
	start := r.clock.Now()
	now := func() time.Duration { return r.clock.Since(start) }
	r.book = speed.NewBook(now)
	for range unevenDaemons {
		set, learner := fleet.NewSet(r.clock, slog.New(slog.DiscardHandler)), speed.NewLearner(now)
		set.DaemonCount = func() int { return unevenDaemons }
		set.OnMeasured(func(m fleet.Measurement) { learner.Observe(m.Service, m.ID, m.Incarnation, m.Work, m.Elapsed) })
		r.sets, r.learners = append(r.sets, set), append(r.learners, learner)
		for i := range unevenInstances {
			set.Put(fleet.Description{ID: fmt.Sprintf("e%d", i), Service: "s", Address: fmt.Sprintf("e%d", i), Slots: 16, DataCentre: fmt.Sprintf("dc%d", i%3)})
		}
	}
	for i := range unevenInstances {
		r.engines = append(r.engines, &unevenEngine{speed: l.speeds[i/3%len(l.speeds)]})
	}
	return r
}

// run returns the times to the first event of the long class, and the share of late
// requests of the short one. useSpeeds tells whether the daemons use measured speeds.
func (r *unevenRun) run(l unevenLoad, useSpeeds bool) (long []time.Duration, shortLate float64, inUse bool) {
	step := time.Second / (longRate + shortRate)
	begin, reported, learned := r.clock.Now(), r.clock.Now(), r.clock.Now()
	short, late := 0.0, 0.0
	for r.clock.Since(begin) < warmup+counted {
		r.clock.Advance(step)
		now := r.clock.Now()
		r.events = slices.DeleteFunc(r.events, func(e event) bool {
			if !e.at.After(now) {
				e.run()
				return true
			}
			return false
		})
		if now.Sub(reported) >= l.reportInterval {
			reported = now
			exchangeLoads(r.sets)
		}
		if now.Sub(learned) >= 500*time.Millisecond {
			learned = now
			inUse = r.exchangeSpeeds(useSpeeds)
		}
		isLong := r.random.IntN(longRate+shortRate) < longRate
		latency := r.send(l, isLong)
		switch {
		case now.Sub(begin) < warmup:
		case isLong:
			long = append(long, latency)
		default:
			short++
			if latency > shortObjective {
				late++
			}
		}
	}
	slices.Sort(long)
	return long, late / short, inUse
}

func (r *unevenRun) exchangeSpeeds(use bool) (inUse bool) {
	for d, learner := range r.learners {
		for _, report := range learner.TakeReport() {
			r.book.Add(report)
		}
		changes, index := r.book.Changes(r.indexes[d], 512)
		r.indexes[d] = index
		learner.Apply(changes)
		views, _ := learner.Views(r.sets[d].Present)
		if use {
			r.sets[d].SetSpeeds(views)
		}
		inUse = inUse || views["s"] != nil
	}
	return inUse
}

// send sends a request and returns the time to its first event.
func (r *unevenRun) send(l unevenLoad, isLong bool) time.Duration {
	now := r.clock.Now()
	q := fleet.Query{Service: "s", Priority: 1, Objective: shortObjective, SharedTokens: 341}
	own, spread := 1800.0, 1.0
	q.AffinityKey = fmt.Sprintf("short%d", r.random.IntN(40))
	if isLong {
		own, spread = 6610, 1.4
		q = fleet.Query{Service: "s", Objective: longObjective, SharedTokens: 5382, AffinityKey: fmt.Sprintf("long%d", r.random.IntN(500))}
	}
	own = min(own*math.Exp(spread*r.random.NormFloat64()-spread*spread/2), 54600)
	q.PromptTokens = q.SharedTokens + int(own)
	dc := r.random.IntN(3)
	if r.random.Float64() < l.skew {
		dc = 0
	}
	daemon := dc + 3*r.random.IntN(unevenDaemons/3)
	q.DataCentre = fmt.Sprintf("dc%d", dc)
	reservation, err := r.sets[daemon].Pick(q)
	if err != nil {
		panic(err)
	}
	var index int
	_, _ = fmt.Sscanf(reservation.ID, "e%d", &index)
	e := r.engines[index]
	for _, other := range r.engines {
		if now.After(other.slowUntil) && r.random.Float64() < l.slowShare/(0.6*(longRate+shortRate)) {
			other.slowUntil = now.Add(600 * time.Millisecond)
		}
	}
	seconds := (own/101e3 + own*(own/2+float64(q.SharedTokens))*1.84e-10) / e.speed
	if now.Before(e.slowUntil) {
		seconds *= 2.5
	}
	e.freeAt = maxTime(e.freeAt, now).Add(time.Duration(seconds * float64(time.Second)))
	latency := e.freeAt.Sub(now) + 10*time.Millisecond
	r.events = append(r.events,
		event{now.Add(latency), func() { reservation.FirstEventArrived(); reservation.ObserveTime(latency) }},
		event{now.Add(latency + 500*time.Millisecond), func() { reservation.ObserveDuration(latency + 500*time.Millisecond); reservation.Release() }})
	return latency
}

var unevenLoads = map[string]unevenLoad{
	"half of the instances 1.7 times as fast": {speeds: []float64{0.7, 0.7, 1.7}, reportInterval: 250 * time.Millisecond},
	"also a sixth slow for 600 ms":            {speeds: []float64{0.7, 0.7, 1.7}, slowShare: 0.15, reportInterval: 250 * time.Millisecond},
	"reports 2 s old":                         {speeds: []float64{1, 1.7}, slowShare: 0.15, reportInterval: 2 * time.Second},
	"one data centre at twice its load":       {speeds: []float64{0.7, 0.7, 1.7}, reportInterval: 250 * time.Millisecond, skew: 0.25},
}

func share(sorted []time.Duration, limit time.Duration) float64 {
	i, _ := slices.BinarySearch(sorted, limit+1)
	return float64(len(sorted)-i) / float64(len(sorted))
}

// Guards against long prompts that go to slow instances while fast ones are free, and
// against prompts that queue where a herd of daemons sees the same load. Bounds: half of the
// late requests of the long class without speeds, and half of the 99th percentile of its
// first events where nothing else is amiss; no more late requests of the short class.
func TestPicksByPredictedTime(t *testing.T) {
	for name, l := range unevenLoads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var before, after []time.Duration
			var shortBefore, shortAfter float64
			for seed := range uint64(unevenSeeds) {
				long, late, _ := newUnevenRun(l, seed).run(l, false)
				before, shortBefore = append(before, long...), shortBefore+late/unevenSeeds
				long, late, inUse := newUnevenRun(l, seed).run(l, true)
				after, shortAfter = append(after, long...), shortAfter+late/unevenSeeds
				g.Expect(inUse).To(BeTrue())
			}
			slices.Sort(before)
			slices.Sort(after)
			at := func(list []time.Duration, share float64) time.Duration {
				return list[int(share*float64(len(list)))].Round(time.Millisecond)
			}
			t.Logf("long class p50/p95/p99 %s/%s/%s before, %s/%s/%s after, late %.4f and %.4f; short late %.4f and %.4f",
				at(before, 0.5), at(before, 0.95), at(before, 0.99), at(after, 0.5), at(after, 0.95), at(after, 0.99),
				share(before, longObjective), share(after, longObjective), shortBefore, shortAfter)
			g.Expect(share(after, longObjective)).To(BeNumerically("<=", share(before, longObjective)/2))
			g.Expect(shortAfter).To(BeNumerically("<=", shortBefore))
			if l.slowShare == 0 {
				g.Expect(at(after, 0.99)).To(BeNumerically("<=", at(before, 0.99)/2))
			}
		})
	}
}
