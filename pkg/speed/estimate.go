package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// windowTime is the shortest time over which the evidence of an instance is averaged.
	windowTime = 500 * time.Millisecond
	// windowCount is the number of windows whose median is the estimate. An instance that
	// is slow for some hundred milliseconds spoils two of them; one that stays slow
	// changes the median within half of them.
	windowCount = 13
	// minWindows is the number of windows below which the speed is not estimated.
	minWindows = 3
	// minWindowWeight is the weight of the evidence below which a window stays open, and
	// maxWindowWeight bounds what a window counts in the median.
	minWindowWeight = 0.1
	maxWindowWeight = 1.0
	// minWindowNoise is the lower bound of the assumed noise of a window, as a standard
	// deviation of the logarithm: windows that agree by chance prove nothing.
	minWindowNoise = 0.15
	// speedDeviation is the assumed standard deviation of the logarithms of the speeds in
	// a service before they are measured. Estimates are shrunk towards 1 by it.
	speedDeviation = 0.5
	// maxLogSpeed bounds the logarithm of a relative speed: a factor of 5 either way.
	maxLogSpeed = 1.6
	// medianError is the standard error of the median of normally distributed values,
	// relative to that of their mean, and deviationOfMAD their standard deviation
	// relative to their median absolute deviation.
	medianError    = 1.2533
	deviationOfMAD = 1.4826
)

// Evidence is what times at one incarnation of an instance tell of its speed.
type Evidence struct {
	Instance    string
	Incarnation int64
	Weight      float64
	Sum         float64 // weighted sum of the logarithms of the relative speeds
}

// evidenceOf returns the logarithm of the relative speed that a time indicates, and its
// weight. What the time depends on besides the request itself is known badly, so the weight
// is the square of the request's own share.
func evidenceOf(t Times, seconds float64) (logSpeed, weight float64) {
	work := t.Own + t.Queue
	observed := max(seconds-t.Base, work*math.Exp(-maxLogSpeed))
	logSpeed = min(max(math.Log(work/observed), -maxLogSpeed), maxLogSpeed)
	share := t.Own / (t.Base + work)
	return logSpeed, share * share
}

// Estimate is the measured speed of an instance.
type Estimate struct {
	Instance    string
	Incarnation int64
	// Log is the natural logarithm of the speed relative to that of the service, shrunk
	// towards 0 by its uncertainty. Error is the standard error of the value before.
	Log, Error float64
}

// relativeTo returns the speed relative to another one, given by its logarithm.
func (e Estimate) relativeTo(centre float64) float64 { return math.Exp(e.Log - centre) }

// history is the recent evidence of one incarnation of an instance.
type history struct {
	openedAt    time.Duration
	weight, sum float64 // of the open window
	closed      [windowCount]window
	count, next int
}

// window is the mean of the evidence of a closed window, and its weight in the median.
type window struct{ value, weight float32 }

// add adds evidence and reports whether a window has closed.
func (h *history) add(e Evidence, now time.Duration) bool {
	if h.weight == 0 {
		h.openedAt = now
	}
	h.weight += e.Weight
	h.sum += e.Sum
	if now-h.openedAt < windowTime || h.weight < minWindowWeight {
		return false
	}
	h.closed[h.next] = window{float32(h.sum / h.weight), float32(min(h.weight, maxWindowWeight))}
	h.next = (h.next + 1) % windowCount
	h.count = min(h.count+1, windowCount)
	h.weight, h.sum = 0, 0
	return true
}

// estimate returns the estimated logarithm of the speed and its standard error, and false
// if there is too little evidence.
func (h *history) estimate() (logSpeed, standardError float64, known bool) {
	if h.count < minWindows {
		return 0, 0, false
	}
	windows := slices.Clone(h.closed[:h.count])
	middle, effective := weightedMedian(windows)
	for i := range windows {
		windows[i].value = float32(math.Abs(float64(windows[i].value) - middle))
	}
	deviation, _ := weightedMedian(windows)
	noise := max(deviationOfMAD*deviation, minWindowNoise)
	standardError = medianError * noise / math.Sqrt(effective)
	variance := speedDeviation * speedDeviation
	return middle * variance / (variance + standardError*standardError), standardError, true
}

// weightedMedian sorts the windows by value. It returns their weighted median and the
// number of windows of equal weight that tell as much.
func weightedMedian(windows []window) (middle, effective float64) {
	slices.SortFunc(windows, func(a, b window) int { return cmp.Compare(a.value, b.value) })
	var sum, squares float64
	for _, w := range windows {
		sum += float64(w.weight)
		squares += float64(w.weight) * float64(w.weight)
	}
	below := 0.0
	for _, w := range windows {
		if below += float64(w.weight); below >= sum/2 {
			middle = float64(w.value)
			break
		}
	}
	return middle, sum * sum / squares
}

const (
	// minSpread is the standard deviation of the logarithms of the speeds from which on
	// they count as unequal. Below it, load differs more than speed.
	minSpread = 0.15
	// spreadDeviations is the number of standard deviations by which the variance of the
	// speeds must exceed what their errors explain.
	spreadDeviations = 3.0
	// keepUnequalShare is the share of these thresholds that the spread must fall below
	// for the speeds to count as equal again.
	keepUnequalShare = 0.7
	// confirmTime is how long the speeds must differ before they count as unequal: longer
	// than passing slowness lasts.
	confirmTime = 2 * time.Second
	// minUnequal is the smallest number of measured instances that can count as unequal.
	minUnequal = 2
)

// distribution holds the sums over estimates by which the speeds of a service are judged.
type distribution struct {
	count                int
	sum, squares, errors float64 // of the logarithms, their squares, and the squared errors
}

// add adds an estimate; with a sign of -1 it takes it away.
func (d *distribution) add(e *Estimate, sign int) {
	s := float64(sign)
	d.count += sign
	d.sum += s * e.Log
	d.squares += s * e.Log * e.Log
	d.errors += s * e.Error * e.Error
}

// mean returns the mean logarithm of the speeds.
func (d *distribution) mean() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / float64(d.count)
}

// unequal reports whether the speeds of a service differ by more than their uncertainty,
// and returns the standard deviation of their logarithms. before is the last result.
func (d *distribution) unequal(before bool) (unequal bool, spread float64) {
	if d.count < minUnequal {
		return false, 0
	}
	n, mean := float64(d.count), d.mean()
	spread = math.Sqrt(max(d.squares/n-mean*mean, 0))
	// The variance of n values has a relative standard deviation of sqrt(2/(n-1)).
	threshold := max(minSpread, math.Sqrt(max(d.errors, 0)/n*(1+spreadDeviations*math.Sqrt(2/(n-1)))))
	if before {
		threshold *= keepUnequalShare
	}
	return spread > threshold, spread
}
