package admission

import (
	"math"
	"time"
)

const (
	// estimateSmoothing is the weight of a new service time in the average.
	estimateSmoothing = 0.05
	// estimateHalfLife is the time without samples in which an estimate halves.
	estimateHalfLife = time.Second
	// admittedRateWindow is the time constant of the average of the admitted
	// cost per second.
	admittedRateWindow = 2 * time.Second
	// maxRetryAfterSeconds bounds the retry hint, because an overload may end at
	// any time.
	maxRetryAfterSeconds = 30
)

// estimator estimates the time to the first byte per work unit of cost, as the
// mean plus one mean deviation, because about half of the requests exceed the
// mean. The estimate halves with every estimateHalfLife without a sample:
// otherwise, once it exceeded all deadlines, nothing would be admitted and it
// would never fall again.
type estimator struct {
	secondsPerCost float64 // smoothed mean; 0 means not measured
	deviation      float64 // smoothed absolute difference from secondsPerCost
	updated        time.Time
}

func (e *estimator) observe(cost float64, elapsed time.Duration, now time.Time) {
	sample := elapsed.Seconds() / math.Max(cost, minCost)
	e.decay(now)
	e.updated = now
	if e.secondsPerCost == 0 {
		e.secondsPerCost = sample
		return
	}
	e.deviation += estimateSmoothing * (math.Abs(sample-e.secondsPerCost) - e.deviation)
	e.secondsPerCost += estimateSmoothing * (sample - e.secondsPerCost)
}

func (e *estimator) decay(now time.Time) {
	if idle := now.Sub(e.updated) - estimateHalfLife; e.secondsPerCost > 0 && idle > 0 {
		factor := math.Exp2(-float64(idle) / float64(estimateHalfLife))
		e.secondsPerCost *= factor
		e.deviation *= factor
		e.updated = now.Add(-estimateHalfLife)
	}
}

// estimate returns the expected time to the first byte of r, or the fallback's
// time if nothing has been measured.
func (e *estimator) estimate(r Request, now time.Time, fallback func(float64) time.Duration) time.Duration {
	e.decay(now)
	if e.secondsPerCost == 0 {
		return fallback(r.Cost)
	}
	return time.Duration((e.secondsPerCost + e.deviation) * math.Max(r.Cost, minCost) * float64(time.Second))
}

// admittedRate measures the admitted cost per second.
type admittedRate struct {
	rate    float64 // work units per second
	updated time.Time
}

func (d *admittedRate) add(cost float64, now time.Time) {
	d.decay(now)
	d.rate += cost / admittedRateWindow.Seconds()
}

func (d *admittedRate) decay(now time.Time) {
	if seconds := now.Sub(d.updated).Seconds(); seconds > 0 {
		d.rate *= math.Exp(-seconds / admittedRateWindow.Seconds())
		d.updated = now
	}
}

// serviceTime returns the expected time from admission to the first byte.
// The classes are measured separately, because cached prefixes and priorities in
// the engine make the time per work unit differ by a multiple.
func (c *Controller) serviceTime(r Request, now time.Time) time.Duration {
	return c.serviceTimes[classIndex(r.Class)].estimate(r, now, c.config.Service)
}

// queueTime returns the expected time until requests with a total cost of
// costAhead have been admitted.
func (c *Controller) queueTime(costAhead float64, now time.Time) time.Duration {
	c.admittedRate.decay(now)
	if costAhead <= 0 || c.admittedRate.rate <= 1 {
		return 0
	}
	return time.Duration(costAhead / c.admittedRate.rate * float64(time.Second))
}

// retryAfter returns the expected time in seconds until all requests that wait
// now have been admitted, from 1 to maxRetryAfterSeconds.
func (c *Controller) retryAfter() int {
	costAhead := 0.0
	for _, a := range c.accounts {
		costAhead += a.queuedCost()
	}
	wait := c.queueTime(costAhead, c.config.Clock.Now())
	return min(maxRetryAfterSeconds, max(1, int(math.Ceil(wait.Seconds()))))
}
