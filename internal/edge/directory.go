package edge

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestCPUSeconds is the CPU time of a request and its answer, in core
	// seconds. requestMegabits is the data transferred for it in both
	// directions.
	requestCPUSeconds = 0.0012
	requestMegabits   = 0.16
	// plannedFraction is the fraction of a machine's CPU share and link bandwidth
	// that is planned for requests.
	plannedFraction = 0.5
	// largeMachineFraction is the fraction of the largest machine's capacity
	// from which on a machine counts as large. All large machines are listed.
	largeMachineFraction = 0.5
	// loadHeadroom is the factor by which the capacity of the listed machines must
	// exceed the measured load.
	loadHeadroom = 1.2
	// minListed is the minimum number of daemons that are listed, if there are
	// as many: callers need alternatives when one fails.
	minListed = 4
	// rateTimeConstant is the time constant of the smoothed request rate.
	rateTimeConstant = 2 * time.Second
)

// capacity returns the requests per second that the daemon's machine can serve
// without delaying them.
func (m member) capacity() float64 {
	capacity := m.CPUShare * plannedFraction / requestCPUSeconds
	if m.LinkMbps > 0 {
		capacity = min(capacity, m.LinkMbps*plannedFraction/requestMegabits)
	}
	return max(capacity, 1)
}

// selectListed returns the daemons that callers should use, for a load in
// requests per second of the whole fleet: all large ones, and as many smaller
// ones as the load requires. A request takes several times as long through the
// link of a small machine.
func selectListed(all []member, load float64) []member {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b member) int { return cmp.Compare(b.capacity(), a.capacity()) })
	sum, minLarge := 0.0, math.Inf(1)
	for i, m := range sorted {
		if i == 0 {
			minLarge = m.capacity() * largeMachineFraction
		}
		if i >= minListed && m.capacity() < minLarge && sum >= load*loadHeadroom {
			return sorted[:i]
		}
		sum += m.capacity()
	}
	return sorted
}

// requestRate measures the rate of requests that the daemon receives.
type requestRate struct {
	count atomic.Int64

	mu         sync.Mutex
	lastCount  int64         // count at the last update
	lastUpdate time.Duration // time of the last update
	value      float64       // smoothed requests per second
}

// update returns the smoothed rate in requests per second.
func (r *requestRate) update(now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := (now - r.lastUpdate).Seconds()
	if elapsed <= 0 {
		return r.value
	}
	count := r.count.Load()
	gain := min(elapsed/rateTimeConstant.Seconds(), 1)
	r.value += gain * (float64(count-r.lastCount)/elapsed - r.value)
	r.lastCount, r.lastUpdate = count, now
	return r.value
}
