package speed

import "math"

// valid reports whether the sums can be those of a fit. Each is a sum of products of values
// that aren't negative.
func (f *Fit) valid() bool {
	for _, sum := range f {
		if !(sum >= 0) || math.IsInf(sum, 0) {
			return false
		}
	}
	return true
}

// valid reports whether times can be predicted with the model.
func (m *Model) valid() bool {
	for _, c := range m.Coefficients {
		if !(c > 0) || math.IsInf(c, 0) {
			return false
		}
	}
	return true
}

func (e *Evidence) valid() bool {
	return e.Weight > 0 && !math.IsInf(e.Weight, 0) && math.Abs(e.Sum) <= maxLogSpeed*e.Weight*(1+minChange)
}

func (e *Estimate) valid() bool {
	return math.Abs(e.Log) <= maxLogSpeed*(1+minChange) && e.Error >= 0 && !math.IsInf(e.Error, 0)
}
