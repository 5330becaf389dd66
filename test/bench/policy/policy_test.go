package main

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

var quick = options{Seed: 1, Length: 5 * time.Second, Warmup: 2 * time.Second}

// Guards against a model whose figures can't be reproduced from the seed.
func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	for _, p := range policies() {
		a, b := runMix(p, mixes()[0], quick), runMix(p, mixes()[0], quick)
		if !reflect.DeepEqual(a, b) || a.Requests == 0 {
			t.Errorf("%s: %+v, then %+v", p.name, a, b)
		}
	}
}

// Guards against a missed bound that doesn't set the exit status.
func TestMissedBoundIsReported(t *testing.T) {
	r := &report{}
	r.atMost("a", 1, 1, "", 0, "")
	if r.missed() {
		t.Error("a kept bound is reported")
	}
	r.atLeast("b", 0.89, goodputBound, "", 0, "")
	if !r.missed() {
		t.Error("a missed bound is not reported")
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
				f := runMix(policies()[len(policies())-1], m, quick)
				b.ReportMetric(f.FirstTokenMs["short p99"], "short-p99-ms")
				b.ReportMetric(f.RecomputedPct, "recomputed-%")
			}
		})
	}
}
