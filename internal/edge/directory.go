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
	// requestCPU is the processor time of a request with its answer, in core
	// seconds, and requestMegabits its transfers in both directions.
	requestCPU      = 0.0012
	requestMegabits = 0.16
	// plannedShare of a machine's processor and link is planned for requests.
	plannedShare = 0.5
	// similarShare of the largest capacity makes a machine one of the large
	// ones: all of these are listed.
	similarShare = 0.5
	// loadMargin is added to the measured load before capacities are summed up.
	loadMargin = 1.2
	// leastListed daemons are listed if there are so many: callers need others
	// when one fails.
	leastListed = 4
	// rateTime is the time over which requests are counted.
	rateTime = 2 * time.Second
)

// capacity returns the requests a second that a daemon's machine can carry
// without delaying them.
func (m member) capacity() float64 {
	capacity := m.CPUShare * plannedShare / requestCPU
	if m.LinkMbps > 0 {
		capacity = min(capacity, m.LinkMbps*plannedShare/requestMegabits)
	}
	return max(capacity, 1)
}

// listed returns the daemons that callers should use for a load in requests a
// second: all large ones, and smaller ones as far as the load needs them. A
// request takes several times as long through a small machine's link.
func listed(all []member, load float64) []member {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b member) int { return cmp.Compare(b.capacity(), a.capacity()) })
	sum, least := 0.0, math.Inf(1)
	for i, m := range sorted {
		if i == 0 {
			least = m.capacity() * similarShare
		}
		if i >= leastListed && m.capacity() < least && sum >= load*loadMargin {
			return sorted[:i]
		}
		sum += m.capacity()
	}
	return sorted
}

// requestRate counts the requests that reach the daemon.
type requestRate struct {
	count atomic.Int64

	mu    sync.Mutex
	seen  int64
	at    time.Duration
	value float64
}

// update returns the smoothed requests a second.
func (r *requestRate) update(now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := (now - r.at).Seconds()
	if elapsed <= 0 {
		return r.value
	}
	count := r.count.Load()
	gain := min(elapsed/rateTime.Seconds(), 1)
	r.value += gain * (float64(count-r.seen)/elapsed - r.value)
	r.seen, r.at = count, now
	return r.value
}
