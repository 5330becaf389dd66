package admission

import (
	"math"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// LimiterConfig configures a Limiter. Zero values mean the defaults.
type LimiterConfig struct {
	// Min, Max and Initial are limits of concurrent requests.
	Min, Max, Initial int
	// Tolerance is the ratio of the latency to its baseline up to which the
	// limit grows. Slack is added to the tolerated latency, so that a small
	// request that waits behind one large request doesn't count as congestion.
	Tolerance float64
	Slack     time.Duration
}

const (
	defaultMin       = 1
	defaultMax       = 256
	defaultInitial   = 8
	defaultTolerance = 2.0
	// defaultSlack is half of the target for the time to the first token, which
	// is 1.2 s at the 95th percentile. With 300 ms, cached prompts that waited
	// behind one uncached prompt reduced the limit to its minimum at half load.
	defaultSlack = 600 * time.Millisecond
	// limitSmoothing is the weight of each reply's latency ratio in the
	// average, and the part of the way that the limit moves to its target with
	// each reply.
	limitSmoothing = 0.1
	// baselineRise is the weight of a sample above the latency baseline. It is
	// small enough that at ten replies per second, a queue that lasts for a
	// minute doesn't become the baseline.
	baselineRise = 0.001
	// baselineFall is the weight of a sample below the latency baseline. It is
	// below 1 so that a single sample doesn't set the baseline.
	baselineFall = 0.2
	// dropFactor is the multiplicative decrease after a refusal or timeout.
	dropFactor = 0.9
	// minCost is the lowest cost, in work units, by which a latency is divided,
	// because fixed overhead dominates the latency of small requests.
	minCost = 256
)

// Limiter adapts the concurrency limit of one upstream to its latency: the
// limit grows towards its value plus its square root while the latency is
// tolerated for the cost, shrinks in proportion to the excess above that, and
// shrinks by dropFactor on each refusal or timeout.
// It is safe for concurrent use.
type Limiter struct {
	config LimiterConfig

	mu           sync.Mutex
	limit        float64
	baseline     float64 // latency in seconds per work unit without queueing
	latencyRatio float64 // smoothed ratio of the latency to the tolerated latency
}

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(config LimiterConfig) *Limiter {
	if config.Min <= 0 {
		config.Min = defaultMin
	}
	if config.Max <= 0 {
		config.Max = defaultMax
	}
	config.Max = max(config.Min, config.Max)
	if config.Initial <= 0 {
		config.Initial = defaultInitial
	}
	if config.Tolerance <= 1 {
		config.Tolerance = defaultTolerance
	}
	if config.Slack <= 0 {
		config.Slack = defaultSlack
	}
	initial := min(max(config.Initial, config.Min), config.Max)
	return &Limiter{config: config, limit: float64(initial)}
}

// Limit returns the current limit of concurrent requests.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Observe records the time to the first byte of a request with the given cost
// in work units. inFlight is the concurrency when it was sent; the limit only
// grows while at least half of it is used.
func (l *Limiter) Observe(latency time.Duration, cost float64, inFlight int) {
	seconds, cost := latency.Seconds(), math.Max(cost, minCost)
	if seconds <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateBaseline(seconds / cost)
	tolerated := l.config.Slack.Seconds() + l.config.Tolerance*l.baseline*cost
	l.latencyRatio += limitSmoothing * (seconds/tolerated - l.latencyRatio)
	target := l.limit + math.Sqrt(l.limit)
	if l.latencyRatio > 1 {
		target = l.limit * math.Max(0.5, 1/l.latencyRatio) // at least half of the limit
	} else if float64(inFlight)*2 < l.limit {
		return
	}
	l.set(l.limit + limitSmoothing*(target-l.limit))
}

// updateBaseline moves the baseline towards a sample in seconds per work unit.
func (l *Limiter) updateBaseline(sample float64) {
	if l.baseline == 0 {
		l.baseline = sample
		return
	}
	rate := baselineRise
	if sample < l.baseline {
		rate = baselineFall
	}
	l.baseline += rate * (sample - l.baseline)
}

// Drop records a refusal for overload or a timeout.
func (l *Limiter) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(l.limit * dropFactor)
}

func (l *Limiter) set(limit float64) {
	l.limit = math.Min(float64(l.config.Max), math.Max(float64(l.config.Min), limit))
}

// Limits holds the two limiters of one upstream. Engines serve short requests
// first, so a growing queue affects only the latency of long requests; these
// therefore have a separate limit within the total.
type Limits struct{ short, long *Limiter }

// NewLimits returns limiters with the same configuration.
func NewLimits(config LimiterConfig) *Limits {
	return &Limits{short: NewLimiter(config), long: NewLimiter(config)}
}

// Total returns the limit of all concurrent requests.
func (l *Limits) Total() int { return l.short.Limit() + l.long.Limit() }

// Long returns the limit of concurrent requests of class long.
func (l *Limits) Long() int { return l.long.Limit() }

// Observe is Limiter.Observe for a class; inFlight counts that class.
func (l *Limits) Observe(class object.RequestClass, latency time.Duration, cost float64, inFlight int) {
	l.of(class).Observe(latency, cost, inFlight)
}

// Drop is Limiter.Drop for a class.
func (l *Limits) Drop(class object.RequestClass) { l.of(class).Drop() }

func (l *Limits) of(class object.RequestClass) *Limiter {
	if class == object.ClassLong {
		return l.long
	}
	return l.short
}
