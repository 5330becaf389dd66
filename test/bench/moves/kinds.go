package main

import (
	"math/rand/v2"
	"time"
)

// kind is a kind of new version, or of fault that occurs during its move.
type kind struct {
	name string
	// bad versions must be taken back; moves to the others must be done by the
	// deadline.
	bad bool
	// fromStart means that the fault is present from the start of the move.
	fromStart bool
	prepare   func(*fault, *rand.Rand, time.Duration)
}

// fault describes when and where requests fail or are slow.
type fault struct {
	// Times since the start of the move; from is never if the fault has another
	// trigger or if there is none.
	from, until time.Duration
	rate        float64       // probability that the fault affects a request
	slow        bool          // affected requests are slow; otherwise they fail
	route       int           // index of the affected route, -1 for all
	upstream    int           // affected upstream of the new version, -1 for all
	dataCentre  int           // both versions of this data centre fail, -1 for none
	minShare    float64       // share of the new version in percent from which the fault occurs
	afterDone   time.Duration // time from the end of the move to the fault, -1 for none
	ejected     bool          // daemons stop using the faulty upstream or data centre after ejectAfter
}

const never = time.Duration(1<<63 - 1)

var kinds = []kind{
	{name: "good"},
	{name: "failing at once", bad: true, fromStart: true, prepare: func(f *fault, r *rand.Rand, _ time.Duration) {
		f.from, f.rate = 0, between(r, 0.3, 1)
	}},
	{name: "slow", bad: true, fromStart: true, prepare: func(f *fault, r *rand.Rand, _ time.Duration) {
		f.from, f.rate, f.slow = 0, between(r, 0.4, 1), true
	}},
	{name: "failing on one route", bad: true, fromStart: true, prepare: func(f *fault, r *rand.Rand, _ time.Duration) {
		f.from, f.rate, f.route = 0, between(r, 0.5, 1), r.IntN(len(routeShares))
	}},
	{name: "failing under load", bad: true, prepare: func(f *fault, r *rand.Rand, _ time.Duration) {
		f.from, f.rate, f.minShare = 0, between(r, 0.3, 1), between(r, 10, 60)
	}},
	{name: "failing late", bad: true, prepare: func(f *fault, r *rand.Rand, d time.Duration) {
		f.from, f.rate = time.Duration(between(r, 0.2, 0.9)*float64(d)), between(r, 0.3, 1)
	}},
	{name: "failing after done", bad: true, prepare: func(f *fault, r *rand.Rand, _ time.Duration) {
		f.afterDone, f.rate = time.Duration(between(r, 0, 120)*float64(time.Second)), between(r, 0.3, 1)
	}},
	{name: "one bad instance", prepare: func(f *fault, r *rand.Rand, d time.Duration) {
		f.from, f.rate = time.Duration(between(r, 0, 1.05)*float64(d)), between(r, 0.3, 1)
		f.upstream, f.ejected = r.IntN(newUpstreams), r.IntN(2) == 0
	}},
	{name: "data centre outage", prepare: func(f *fault, r *rand.Rand, d time.Duration) {
		f.from = time.Duration(between(r, 0, 1.05) * float64(d))
		f.until = f.from + time.Duration(between(r, 30, 180)*float64(time.Second))
		f.rate, f.dataCentre, f.ejected = between(r, 0.3, 1), r.IntN(dataCentres), r.IntN(2) == 0
	}},
}

func between(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

func newFault(k kind, r *rand.Rand, d time.Duration) fault {
	f := fault{from: never, until: never, route: -1, upstream: -1, dataCentre: -1, afterDone: -1}
	if k.prepare != nil {
		k.prepare(&f, r, d)
	}
	return f
}
