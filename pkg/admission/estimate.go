package admission

import (
	"math"
	"time"
)

const (
	// estimateSmoothing is the weight of a new service time.
	estimateSmoothing = 0.05
	estimateHalfLife  = time.Second
	// drainWindow is the time over which the admitted cost is averaged.
	drainWindow = 2 * time.Second
	// maxRetryAfter bounds the hint, because an overload may end at any time.
	maxRetryAfter = 30
)

// estimator learns the time to the first byte per cost unit, as the mean plus
// one mean deviation, because about half of the requests exceed the mean. The estimate
// halves with every estimateHalfLife without a sample: if it exceeded all
// deadlines, nothing would be admitted and it could never fall again.
type estimator struct {
	perCost   float64
	deviation float64 // smoothed absolute difference from perCost
	at        time.Time
}

func (e *estimator) observe(cost float64, elapsed time.Duration, now time.Time) {
	sample := elapsed.Seconds() / math.Max(cost, minCost)
	e.decay(now)
	e.at = now
	if e.perCost == 0 {
		e.perCost = sample
		return
	}
	e.deviation += estimateSmoothing * (math.Abs(sample-e.perCost) - e.deviation)
	e.perCost += estimateSmoothing * (sample - e.perCost)
}

func (e *estimator) decay(now time.Time) {
	if idle := now.Sub(e.at) - estimateHalfLife; e.perCost > 0 && idle > 0 {
		factor := math.Exp2(-float64(idle) / float64(estimateHalfLife))
		e.perCost *= factor
		e.deviation *= factor
		e.at = now.Add(-estimateHalfLife)
	}
}

func (e *estimator) estimate(r Request, now time.Time, fallback func(float64) time.Duration) time.Duration {
	e.decay(now)
	if e.perCost == 0 {
		return fallback(r.Cost)
	}
	return time.Duration((e.perCost + e.deviation) * math.Max(r.Cost, minCost) * float64(time.Second))
}

// drainRate measures the admitted cost per second.
type drainRate struct {
	rate float64
	at   time.Time
}

func (d *drainRate) add(cost float64, now time.Time) {
	d.decay(now)
	d.rate += cost / drainWindow.Seconds()
}

func (d *drainRate) decay(now time.Time) {
	if dt := now.Sub(d.at).Seconds(); dt > 0 {
		d.rate *= math.Exp(-dt / drainWindow.Seconds())
		d.at = now
	}
}

// serviceTime returns the expected time from admission to the first byte.
// The classes are measured separately, because cached prefixes and priorities
// in the engine make the time per cost unit differ several times over.
func (c *Controller) serviceTime(r Request, now time.Time) time.Duration {
	return c.service[classIndex(r.Class)].estimate(r, now, c.config.Service)
}

// queueTime returns the expected wait for cost units ahead.
func (c *Controller) queueTime(ahead float64, now time.Time) time.Duration {
	c.drain.decay(now)
	if ahead <= 0 || c.drain.rate <= 1 {
		return 0
	}
	return time.Duration(ahead / c.drain.rate * float64(time.Second))
}

// retryAfter returns the time in seconds in which the present queue drains.
func (c *Controller) retryAfter() int {
	ahead := 0.0
	for _, a := range c.accounts {
		ahead += a.queued()
	}
	wait := c.queueTime(ahead, c.config.Clock.Now())
	return min(maxRetryAfter, max(1, int(math.Ceil(wait.Seconds()))))
}
