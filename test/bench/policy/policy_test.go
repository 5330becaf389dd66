package main

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

var quickOptions = options{Seed: 1, Length: 5 * time.Second, Warmup: 2 * time.Second}

// Checks that two runs with the same seed give the same figures.
func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	for _, p := range policies() {
		a, b := runMix(p, mixes()[0], quickOptions), runMix(p, mixes()[0], quickOptions)
		if !reflect.DeepEqual(a, b) || a.Requests == 0 {
			t.Errorf("policy %s: first run %+v, second run %+v", p.name, a, b)
		}
	}
}

// Checks that report.missed, which sets the exit status, detects a missed bound.
func TestMissedBoundIsReported(t *testing.T) {
	r := &report{}
	r.atMost("a", 1, 1, "", 0, "")
	if r.missed() {
		t.Error("a measurement within its bound is reported as missed")
	}
	r.atLeast("b", 0.89, goodputBound, "", 0, "")
	if !r.missed() {
		t.Error("a measurement of 0.89 below the bound of 0.9 is not reported as missed")
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{engines, subsetSize, 12_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			d := newDecisionCase(n, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.pick(i % 1000)
			}
		})
	}
}

func BenchmarkMix(b *testing.B) {
	for _, m := range mixes() {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				f := runMix(policies()[len(policies())-1], m, quickOptions)
				b.ReportMetric(f.FirstTokenMs["short p99"], "short-p99-ms")
				b.ReportMetric(f.RecomputedPct, "recomputed-%")
			}
		})
	}
}
