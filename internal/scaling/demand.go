// Package scaling decides how many instances of which kind each service needs
// in each data centre. The lease holder orders them.
package scaling

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWindow is the time over which the offered work is averaged.
	demandWindow = 5 * time.Second
	// leastSeen bounds what a few first requests count for.
	leastSeen = time.Second
	// sampleDecay is the weight that older samples keep with each new one.
	sampleDecay = 0.995
	// minSamples is the number of samples from which on the fit is used.
	minSamples = 30
	// defaultPerToken is the prefill time of a token before it is measured:
	// slower than the engines of today, so that a start errs on the safe side.
	defaultPerToken = 12 * time.Microsecond
	// leastPerToken and mostPerToken bound the fit when samples are all alike.
	leastPerToken = time.Microsecond
	mostPerToken  = 40 * time.Microsecond
	// cachedShare is the part of a shared prompt that needn't be read again.
	cachedShare = 0.7
)

// Work returns the prompt tokens that an engine has to read.
func Work(prompt, shared int) float64 {
	return float64(prompt) - cachedShare*float64(min(shared, prompt))
}

// Estimator measures the work that clients offer to the services, at one
// daemon. It is safe for concurrent use.
type Estimator struct {
	now func() time.Duration

	mu       sync.Mutex
	began    time.Duration // time of the first request; 0 if there was none
	services map[string]*offered
}

// Demand is the load that clients ask of a service, by the measured reading time.
type Demand struct {
	Busy float64 // instance seconds a second
	// Delay is the mean remaining time of the prompt that an instance reads when
	// another request arrives.
	Delay time.Duration
}

// unshared returns the demand for engines that read one prompt at a time. The
// measured reading time is longer by 1/(1-u) at engines that are busy for the
// share u, because prompts that arrive meanwhile are read in turns with it.
func (d Demand) unshared(instances int) Demand {
	if instances <= 0 {
		return d
	}
	factor := 1 / (1 + d.Busy/float64(instances))
	return Demand{Busy: d.Busy * factor, Delay: time.Duration(float64(d.Delay) * factor)}
}

// offered is the work of one service.
type offered struct {
	tokens  float64 // a second, smoothed
	squares float64 // of the tokens of each request, a second, smoothed alike
	updated time.Duration
	fit     fit
}

// NewEstimator returns an estimator without samples.
func NewEstimator(now func() time.Duration) *Estimator {
	return &Estimator{now: now, services: map[string]*offered{}}
}

func (e *Estimator) of(service string) *offered {
	o := e.services[service]
	if o == nil {
		o = &offered{updated: e.now()}
		e.services[service] = o
	}
	return o
}

// Offered records a request that was admitted, whether it is served or not.
func (e *Estimator) Offered(service string, prompt, shared int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.began == 0 {
		e.began = e.now()
	}
	o := e.of(service)
	o.decay(e.now())
	work := Work(prompt, shared)
	o.tokens += work / demandWindow.Seconds()
	o.squares += work * work / demandWindow.Seconds()
}

// decay lets the average fall with time.
func (o *offered) decay(now time.Duration) {
	elapsed := (now - o.updated).Seconds()
	o.updated = now
	left := max(1-elapsed/demandWindow.Seconds(), 0)
	o.tokens *= left
	o.squares *= left
}

// FirstEvent records the latency of a request that found no prompt waiting at
// its instance, as far as known. One that wasn't known delays it whatever its
// own size, which the slope of the fit leaves out.
func (e *Estimator) FirstEvent(service string, prompt, shared int, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.of(service).fit.add(Work(prompt, shared), latency.Seconds())
}

// Demands returns the load of each service that clients asked for.
func (e *Estimator) Demands() map[string]Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	demands := map[string]Demand{}
	for service, o := range e.services {
		o.decay(e.now())
		perToken := o.fit.perToken().Seconds()
		d := Demand{Busy: o.tokens / e.filled() * perToken}
		if o.tokens > 0 {
			// The prompt being read is a long one more often than an arriving one is.
			d.Delay = time.Duration(o.squares / (2 * o.tokens) * perToken * float64(time.Second))
		}
		demands[service] = d
	}
	return demands
}

// filled returns the part of the average's final level that a constant demand
// has reached since the first request.
func (e *Estimator) filled() float64 {
	seen := max(e.now()-e.began, leastSeen)
	return 1 - math.Exp(-seen.Seconds()/demandWindow.Seconds())
}

// fit is a least-squares line of latency over tokens, with older samples fading.
type fit struct {
	n, x, y, xx, xy float64
}

func (f *fit) add(tokens, seconds float64) {
	f.n = f.n*sampleDecay + 1
	f.x = f.x*sampleDecay + tokens
	f.y = f.y*sampleDecay + seconds
	f.xx = f.xx*sampleDecay + tokens*tokens
	f.xy = f.xy*sampleDecay + tokens*seconds
}

// perToken returns the slope of the line.
func (f *fit) perToken() time.Duration {
	spread := f.n*f.xx - f.x*f.x
	if f.n < minSamples || spread <= 0 {
		return defaultPerToken
	}
	slope := time.Duration((f.n*f.xy - f.x*f.y) / spread * float64(time.Second))
	return min(max(slope, leastPerToken), mostPerToken)
}
