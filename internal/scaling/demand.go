// Package scaling plans the number of on-demand and reclaimable instances of
// each service in each data centre. The daemon that holds the lease of the duty
// orders them from the cloud.
package scaling

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWindow is the time over which the offered load is averaged.
	demandWindow = 5 * time.Second
	// minObservationTime is the shortest time since the first request that is
	// assumed when the average is scaled up, so that the first few requests do
	// not give a large estimate.
	minObservationTime = time.Second
	// sampleDecay is the factor by which the weight of all earlier samples falls
	// with each new sample.
	sampleDecay = 0.995
	// minSamples is the total weight of samples below which the fit is not used.
	minSamples = 30
	// defaultPrefillPerToken is the prefill time of a token before it is
	// measured. It is slower than present engines, so that too many rather than
	// too few instances run at first.
	defaultPrefillPerToken = 12 * time.Microsecond
	// minPrefillPerToken and maxPrefillPerToken bound the fitted slope, which is
	// unreliable when all prompts have a similar size.
	minPrefillPerToken = time.Microsecond
	maxPrefillPerToken = 40 * time.Microsecond
	// cachedFraction is the fraction of the shared prompt tokens that is assumed
	// to be cached and to need no prefill.
	cachedFraction = 0.7
)

// PrefillTokens returns the expected number of prompt tokens that an engine has
// to prefill, given the prompt tokens and how many of them are shared.
func PrefillTokens(prompt, shared int) float64 {
	return float64(prompt) - cachedFraction*float64(min(shared, prompt))
}

// Estimator estimates the load that clients offer to each service through one
// daemon. It is safe for concurrent use.
type Estimator struct {
	now func() time.Duration

	mu             sync.Mutex
	firstRequestAt time.Duration // 0 before the first request
	services       map[string]*offeredLoad
}

// Demand is the load that clients offer to a service, calculated with the
// measured prefill time per token.
type Demand struct {
	// BusyInstances is the prefill load in instance-seconds per second.
	BusyInstances float64
	// ResidualPrefill is the mean remaining prefill time of the prompt that an
	// instance processes when another request arrives.
	ResidualPrefill time.Duration
}

// uncontended returns the demand for engines that prefill one prompt at a time.
// At engines with utilisation u, the measured prefill time is longer by the
// factor 1/(1-u), because prompts that arrive meanwhile are interleaved with it.
// The measured load per instance is therefore m = u/(1-u), and 1-u = 1/(1+m).
// instances is the number of instances with which the prefill time was measured.
func (d Demand) uncontended(instances int) Demand {
	if instances <= 0 {
		return d
	}
	factor := 1 / (1 + d.BusyInstances/float64(instances))
	return Demand{BusyInstances: d.BusyInstances * factor, ResidualPrefill: time.Duration(float64(d.ResidualPrefill) * factor)}
}

// offeredLoad is the load offered to one service.
type offeredLoad struct {
	tokensPerSecond        float64 // prefill tokens, moving average
	squaredTokensPerSecond float64 // sum of the squared prefill tokens of each request, moving average
	updatedAt              time.Duration
	latencyFit             latencyFit
}

// NewEstimator returns an estimator without samples.
func NewEstimator(now func() time.Duration) *Estimator {
	return &Estimator{now: now, services: map[string]*offeredLoad{}}
}

func (e *Estimator) loadOf(service string) *offeredLoad {
	o := e.services[service]
	if o == nil {
		o = &offeredLoad{updatedAt: e.now()}
		e.services[service] = o
	}
	return o
}

// Offered records an admitted request, whether or not it is served.
func (e *Estimator) Offered(service string, prompt, shared int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstRequestAt == 0 {
		e.firstRequestAt = e.now()
	}
	o := e.loadOf(service)
	o.decay(e.now())
	tokens := PrefillTokens(prompt, shared)
	o.tokensPerSecond += tokens / demandWindow.Seconds()
	o.squaredTokensPerSecond += tokens * tokens / demandWindow.Seconds()
}

// decay reduces the averages for the time since the last update.
func (o *offeredLoad) decay(now time.Duration) {
	elapsed := (now - o.updatedAt).Seconds()
	o.updatedAt = now
	remaining := max(1-elapsed/demandWindow.Seconds(), 0)
	o.tokensPerSecond *= remaining
	o.squaredTokensPerSecond *= remaining
}

// FirstEvent records the latency of the first event of a request. The caller
// reports only requests that found no prompt waiting at their instance, as far
// as the daemon knows. A waiting prompt that the daemon does not know of delays
// the request independently of its size, so it does not change the slope of the
// fit.
func (e *Estimator) FirstEvent(service string, prompt, shared int, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadOf(service).latencyFit.add(PrefillTokens(prompt, shared), latency.Seconds())
}

// Demands returns the demand for each service that has had requests.
func (e *Estimator) Demands() map[string]Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	demands := map[string]Demand{}
	for service, o := range e.services {
		o.decay(e.now())
		perToken := o.latencyFit.perToken().Seconds()
		d := Demand{BusyInstances: o.tokensPerSecond / e.convergedFraction() * perToken}
		if o.tokensPerSecond > 0 {
			// Mean residual service time, E[x²]/2E[x]: the prompt in progress is more
			// often a long one than an arriving prompt is.
			d.ResidualPrefill = time.Duration(o.squaredTokensPerSecond / (2 * o.tokensPerSecond) * perToken * float64(time.Second))
		}
		demands[service] = d
	}
	return demands
}

// convergedFraction returns the fraction of its steady-state value that the
// average of a constant demand has reached since the first request.
func (e *Estimator) convergedFraction() float64 {
	observed := max(e.now()-e.firstRequestAt, minObservationTime)
	return 1 - math.Exp(-observed.Seconds()/demandWindow.Seconds())
}

// latencyFit is a least-squares fit of latency in seconds (y) over prefill
// tokens (x), with exponentially decaying weights of older samples. It holds the
// weighted sums.
type latencyFit struct {
	n, x, y, xx, xy float64
}

func (f *latencyFit) add(tokens, seconds float64) {
	f.n = f.n*sampleDecay + 1
	f.x = f.x*sampleDecay + tokens
	f.y = f.y*sampleDecay + seconds
	f.xx = f.xx*sampleDecay + tokens*tokens
	f.xy = f.xy*sampleDecay + tokens*seconds
}

// perToken returns the slope of the line, the prefill time per token.
func (f *latencyFit) perToken() time.Duration {
	determinant := f.n*f.xx - f.x*f.x
	if f.n < minSamples || determinant <= 0 {
		return defaultPrefillPerToken
	}
	slope := time.Duration((f.n*f.xy - f.x*f.y) / determinant * float64(time.Second))
	return min(max(slope, minPrefillPerToken), maxPrefillPerToken)
}
