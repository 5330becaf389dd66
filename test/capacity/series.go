package main

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

// run collects the results of all sections.
type run struct {
	quick     bool
	maxSettle time.Duration // to wait for the membership updates of a start
	started   time.Time
	section   string
	series    []*series
	limits    []limit
	// failures are the errors of the sections that failed.
	failures []string
}

// series is one quantity measured at several sizes.
type series struct {
	name    string
	section string
	per     string // unit of the sizes
	unit    string
	sizes   []float64
	values  []float64
}

// limit is a figure that must not exceed its bound.
type limit struct {
	name     string
	measured float64
	unit     string
	bound    float64
}

// record appends a value at a size to the series of that name. It adds the series
// to the current section if there is none.
func (r *run) record(name, per, unit string, size, value float64) {
	for _, s := range r.series {
		if s.name == name {
			s.sizes, s.values = append(s.sizes, size), append(s.values, value)
			return
		}
	}
	r.series = append(r.series, &series{
		name: name, section: r.section, per: per, unit: unit,
		sizes: []float64{size}, values: []float64{value},
	})
}

// find returns the series of a name, or nil.
func (r *run) find(name string) *series {
	for _, s := range r.series {
		if s.name == name {
			return s
		}
	}
	return nil
}

// addLimit records a figure with its upper bound.
func (r *run) addLimit(name string, measured, bound float64, unit string) {
	r.limits = append(r.limits, limit{name: name, measured: measured, unit: unit, bound: bound})
}

func (r *run) missed() bool {
	for _, l := range r.limits {
		if l.measured > l.bound {
			return true
		}
	}
	return false
}

// repeat returns n, or fewer repetitions for a quick run.
func (r *run) repeat(n int) int {
	if r.quick {
		return max(1, n/4)
	}
	return n
}

// line is the least-squares line of a series.
type line struct {
	intercept, slope float64
	// exponent is e in value ~ size^e, between the two largest sizes: 1 is linear
	// growth.
	exponent float64
}

func (s *series) fit() line {
	if len(s.sizes) < 2 {
		return line{slope: math.NaN(), exponent: math.NaN()}
	}
	intercept, slope := stat.LinearRegression(s.sizes, s.values, nil, false)
	n := len(s.sizes)
	growth := math.Log(s.values[n-1]/s.values[n-2]) / math.Log(s.sizes[n-1]/s.sizes[n-2])
	return line{intercept: intercept, slope: slope, exponent: growth}
}

// Maximum exponents of flat and of linear growth. Repeated measurements on a
// shared machine differ by 10 to 20%, which changes the exponent by up to 0.1 over one decade of
// sizes.
const (
	maxFlatExponent   = 0.1
	maxLinearExponent = 1.1
)

// kind classifies the growth at the largest sizes.
func (l line) kind() string {
	switch {
	case math.IsNaN(l.exponent) || math.IsInf(l.exponent, 0):
		return "none"
	case l.exponent < maxFlatExponent:
		return "flat"
	case l.exponent <= maxLinearExponent:
		return "linear"
	}
	return "worse than linear"
}

// last returns the value at the largest size.
func (s *series) last() float64 { return s.values[len(s.values)-1] }
