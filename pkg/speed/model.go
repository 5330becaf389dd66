// Package speed learns how fast the instances of a service are relative to each other,
// and predicts how long a request takes at an instance, from the times that requests
// have taken. It has no transport and no clock of its own.
package speed

import (
	"math"
	"time"
)

// Work describes what an instance has to do until it answers a request: until the first
// event of a stream, until the end of another answer.
type Work struct {
	// Whole tells that the time is that until the end of the answer.
	Whole bool
	// OwnTokens is the number of prompt tokens that no other request shares; 0 for a
	// request without a prompt.
	OwnTokens int
	// SharedTokens is the number of shared prompt tokens. Home tells that the instance
	// ranks first for them, so that they are probably in its cache.
	SharedTokens int
	Home         bool
	// WaitingTokens is the number of prompt tokens of other requests at the instance
	// that wait for their first event.
	WaitingTokens int
	// Utilisation is the number of running requests divided by the slots.
	Utilisation float64
}

// The features of a request, by which its time is modelled.
const (
	featureBase        = iota // 1 for the stream of a request with a prompt
	featurePlain              // 1 for a whole answer or a request without a prompt
	featureOwn                // own tokens, in thousands
	featureHome               // shared tokens at the home instance, in thousands
	featureAway               // shared tokens elsewhere, in thousands
	featurePairs              // pairs of an own token and one before it, in millions
	featureWaiting            // waiting tokens of others, in thousands
	featureUtilisation        // running requests by slot
	features
)

// Vector holds a value for each feature.
type Vector [features]float64

const (
	tokensPerFeature = 1000.0
	// minCoefficientShare bounds the fitted coefficients from below, as a share of the
	// prior ones. Features that rarely differ leave their coefficients undetermined.
	minCoefficientShare = 0.05
	// relativeNoise is the assumed standard deviation of a time relative to its
	// prediction. It weighs the prior coefficients against measured times.
	relativeNoise = 0.5
	// maxTimeFactor is the multiple of the prediction to which measured times are cut for
	// the fit, so that an instance that hangs does not change the model of its service.
	maxTimeFactor = 4.0
	// fitTime is the time constant with which old times lose weight.
	fitTime = 20 * time.Second
	// minFitSamples is the weight of times below which the model is not used for picks.
	minFitSamples = 30
)

// priorModel holds for a service before it is measured, in seconds per feature. Its
// uncertainty is its own size, so that few measured times outweigh it.
var priorModel = Model{Vector{0.02, 0.05, 0.012, 0.0036, 0.006, 0.0002, 0.006, 0.02}}

// vector returns the features of the work.
func (w Work) vector() Vector {
	v := Vector{featureWaiting: float64(w.WaitingTokens) / tokensPerFeature, featureUtilisation: w.Utilisation}
	if w.Whole || w.OwnTokens+w.SharedTokens == 0 {
		v[featurePlain] = 1
	} else {
		v[featureBase] = 1
	}
	own, shared := float64(w.OwnTokens)/tokensPerFeature, float64(w.SharedTokens)/tokensPerFeature
	v[featureOwn] = own
	// Attention takes time for each token before; in prompts of some ten thousand tokens
	// it is a large part.
	v[featurePairs] = own * (shared + own/2)
	if w.Home {
		v[featureHome] = shared
	} else {
		v[featureAway] = shared
	}
	return v
}

// Model predicts times at an instance of speed 1, in seconds per feature.
type Model struct{ Coefficients Vector }

// near reports whether no coefficient differs enough to be told.
func (m *Model) near(other *Model) bool {
	for i, c := range m.Coefficients {
		if math.Abs(c-other.Coefficients[i]) > minModelChange*other.Coefficients[i] {
			return false
		}
	}
	return true
}

// Times are the parts of a predicted time, in seconds, at an instance of speed 1. Only
// Own and Queue depend on the speed of the instance.
type Times struct {
	Base  float64 // transport and other constant parts
	Own   float64 // for the request itself
	Queue float64 // for other requests at the instance
}

// Total returns the predicted time at an instance of the given relative speed, in seconds.
func (t Times) Total(speed float64) float64 { return t.Base + (t.Own+t.Queue)/speed }

// Times predicts the time of a request.
func (m *Model) Times(w Work) Times {
	v, c := w.vector(), &m.Coefficients
	return Times{
		Base:  c[featureBase] * v[featureBase],
		Own:   c[featurePlain]*v[featurePlain] + c[featureOwn]*v[featureOwn] + c[featureHome]*v[featureHome] + c[featureAway]*v[featureAway] + c[featurePairs]*v[featurePairs],
		Queue: c[featureWaiting]*v[featureWaiting] + c[featureUtilisation]*v[featureUtilisation],
	}
}

// TokenTime returns the time by which waiting prompt tokens of others delay a request, in
// seconds.
func (m *Model) TokenTime(tokens float64) float64 {
	return m.Coefficients[featureWaiting] * tokens / tokensPerFeature
}

// Prediction predicts the time of one request at instances of any load.
type Prediction struct {
	base, home, away, waitingToken, utilisation float64
}

// Predict returns the prediction for a request. The load and the home of w don't count.
func (m *Model) Predict(w Work) Prediction {
	w.WaitingTokens, w.Utilisation, w.Home = 0, 0, true
	home := m.Times(w)
	w.Home = false
	return Prediction{
		base: home.Base, home: home.Own, away: m.Times(w).Own,
		waitingToken: m.Coefficients[featureWaiting] / tokensPerFeature, utilisation: m.Coefficients[featureUtilisation],
	}
}

// At returns the times of the request at an instance.
func (p *Prediction) At(home bool, waitingTokens int, utilisation float64) Times {
	own := p.away
	if home {
		own = p.home
	}
	return Times{Base: p.base, Own: own, Queue: p.waitingToken*float64(waitingTokens) + p.utilisation*utilisation}
}

// PrefillTime returns the time that an instance of speed 1 takes to process prompt tokens
// that it hasn't cached, in seconds.
func (m *Model) PrefillTime(tokens int) float64 {
	return m.Coefficients[featureOwn] * float64(tokens) / tokensPerFeature
}

// fitSums is the number of sums of a Fit.
const fitSums = features*(features+1)/2 + features + 1

// Fit holds the weighted sums of a least-squares fit of a Model: the upper triangle of the
// products of features, the products of features with the time, and the weight. Errors
// count relative to the prediction.
type Fit [fitSums]float64

// Weight returns the weight of the times, one for each that hasn't decayed.
func (f *Fit) Weight() float64 { return f[fitSums-1] }

// add adds a time that a request took at an instance of the given speed.
func (f *Fit) add(m *Model, w Work, speed, seconds float64) {
	predicted := m.Times(w).Total(speed)
	seconds = min(seconds, maxTimeFactor*predicted)
	v := w.vector()
	for j := range v {
		v[j] /= predicted
		if j != featureBase {
			v[j] /= speed
		}
	}
	k := 0
	for i := range v {
		for j := i; j < features; j++ {
			f[k] += v[i] * v[j]
			k++
		}
	}
	for i := range v {
		f[k+i] += v[i] * seconds / predicted
	}
	f[fitSums-1]++
}

// merge adds the sums of another fit.
func (f *Fit) merge(other *Fit) {
	for i := range f {
		f[i] += other[i]
	}
}

// decay reduces the weight of the times for the time that has passed.
func (f *Fit) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / fitTime.Seconds())
	for i := range f {
		f[i] *= factor
	}
}

// Model solves the fit, with the prior model as a weak assumption.
func (f *Fit) Model() Model {
	var a [features][features + 1]float64
	k := 0
	for i := range features {
		for j := i; j < features; j++ {
			a[i][j], a[j][i] = f[k], f[k]
			k++
		}
	}
	for i, prior := range priorModel.Coefficients {
		precision := relativeNoise * relativeNoise / (prior * prior)
		a[i][i] += precision
		a[i][features] = f[k+i] + precision*prior
	}
	m := Model{solve(&a)}
	if !m.valid() {
		return priorModel // the sums contradict each other
	}
	return m
}

// solve solves a system of equations with a positive definite matrix by Gaussian
// elimination. The last column is the right side.
func solve(a *[features][features + 1]float64) Vector {
	for i := range features {
		for r := i + 1; r < features; r++ {
			factor := a[r][i] / a[i][i]
			for c := i; c <= features; c++ {
				a[r][c] -= factor * a[i][c]
			}
		}
	}
	var x Vector
	for i := features - 1; i >= 0; i-- {
		x[i] = a[i][features]
		for c := i + 1; c < features; c++ {
			x[i] -= a[i][c] * x[c]
		}
		x[i] /= a[i][i]
	}
	for i := range x {
		x[i] = max(x[i], minCoefficientShare*priorModel.Coefficients[i])
	}
	return x
}
