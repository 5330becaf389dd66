package main

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against growth that is worse than linear being reported as linear, and
// against a slope that ignores the sizes.
func TestFitNamesTheGrowth(t *testing.T) {
	sizes := []float64{7, 70, 420}
	for _, c := range []struct {
		kind  string
		slope float64
		value func(float64) float64
	}{
		{"flat", 0, func(float64) float64 { return 5 }},
		{"linear", 3, func(n float64) float64 { return 100 + 3*n }},
		{"worse than linear", 448.3, func(n float64) float64 { return n * n }},
	} {
		g := gomega.NewWithT(t)
		r := &run{}
		for _, n := range sizes {
			r.record("figure", "daemons", "B", n, c.value(n))
		}
		f := r.find("figure").fit()
		g.Expect(f.kind()).To(gomega.Equal(c.kind))
		g.Expect(f.slope).To(gomega.BeNumerically("~", c.slope, 0.1))
	}
}

// Guards against exit status 0 although a figure exceeds its bound.
func TestMissedReportsAFigureAboveItsBound(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &run{}
	r.addLimit("within", 14, 14, "KB/s")
	g.Expect(r.missed()).To(gomega.BeFalse())
	r.addLimit("above", 14.1, 14, "KB/s")
	g.Expect(r.missed()).To(gomega.BeTrue())
}
