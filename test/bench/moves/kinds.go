package main

import (
	"math/rand/v2"
	"time"
)

// kind is a kind of new version or of fault around it.
type kind struct {
	name string
	// bad versions must be taken back; the others must be done by the deadline.
	bad bool
	// fromStart faults are there at the start of the move.
	fromStart bool
	prepare   func(*fault, *rand.Rand, time.Duration)
}

// fault describes when and where requests fail or are slow.
type fault struct {
	// Times since the start of the move; from is negative if the fault has
	// another trigger.
	from, until time.Duration
	rate        float64
	slow        bool
	route       int     // -1 for all
	upstream    int     // upstream of the new version, -1 for all
	dataCentre  int     // both versions of this data centre fail, -1 for none
	underLoad   float64 // share in percent above which the fault shows
	afterDone   time.Duration
	ejected     bool // clients avoid a faulty instance or data centre after a while
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
		f.from, f.rate, f.route = 0, between(r, 0.5, 1), r.IntN(len(routeParts))
	}},
	{name: "failing under load", bad: true, prepare: func(f *fault, r *rand.Rand, _ time.Duration) {
		f.from, f.rate, f.underLoad = 0, between(r, 0.3, 1), between(r, 10, 60)
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
