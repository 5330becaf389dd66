package admission

import (
	"math"
	"time"
)

const (
	// estimateSmoothing is the weight of a new service time.
	estimateSmoothing = 0.05
	// drainWindow is the time over which the admitted cost is averaged.
	drainWindow = 2 * time.Second
	// maxRetryAfter bounds the hint, because an overload may end at any time.
	maxRetryAfter = 30
)

// estimator learns the time to the first byte per cost unit.
type estimator struct{ perCost float64 }

func (e *estimator) observe(cost float64, elapsed time.Duration) {
	sample := elapsed.Seconds() / math.Max(cost, minCost)
	if e.perCost == 0 {
		e.perCost = sample
		return
	}
	e.perCost += estimateSmoothing * (sample - e.perCost)
}

func (e *estimator) estimate(cost float64, fallback func(float64) time.Duration) time.Duration {
	if e.perCost == 0 {
		return fallback(cost)
	}
	return time.Duration(e.perCost * math.Max(cost, minCost) * float64(time.Second))
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
func (c *Controller) serviceTime(cost float64) time.Duration {
	return c.service.estimate(cost, c.config.Service)
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
