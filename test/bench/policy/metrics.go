package main

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// herdWindow is the interval in which picks of one engine are counted; within
// it no load report can correct a daemon.
const herdWindow = time.Second

// metrics collects the figures of one run after its warm-up.
type metrics struct {
	warm   bool
	warmAt time.Duration
	// first holds first-token times in microseconds.
	first map[object.RequestClass]*hdrhistogram.Histogram
	// seen are the blocks that some engine has computed.
	seen                    map[uint64]struct{}
	prompted, missed, again int // prompt tokens: all, computed, computed again
	requests                int
	costAtWarm              float64
	busyAtWarm              map[*engine]time.Duration
	window                  int64
	windowPicks             map[*engine]int
	herding                 *hdrhistogram.Histogram // thousandths of the mean
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func newMetrics() *metrics {
	return &metrics{
		first: map[object.RequestClass]*hdrhistogram.Histogram{
			object.ClassShort: newHistogram(), object.ClassLong: newHistogram(),
		},
		seen: make(map[uint64]struct{}), busyAtWarm: make(map[*engine]time.Duration),
		windowPicks: make(map[*engine]int), herding: newHistogram(),
	}
}

// start ends the warm-up.
func (m *metrics) start(f *fleet) {
	m.warm, m.warmAt = true, f.t.now
	m.costAtWarm = f.cost()
	for _, e := range f.order {
		m.busyAtWarm[e] = e.busyTime
	}
}

func (m *metrics) firstToken(j *job, now time.Duration) {
	if m.warm && j.arrival >= m.warmAt {
		m.requests++
		_ = m.first[j.class].RecordValue(max(1, (now - j.arrival).Microseconds()))
	}
}

// prompt counts the computed tokens of a prompt. Tokens count as recomputed if
// any engine had computed them before.
func (m *metrics) prompt(j *job, _ *engine) {
	start := j.cached / blockTokens
	again := 0
	for _, b := range j.blocks[min(start, len(j.blocks)):] {
		if _, ok := m.seen[b]; ok {
			again += blockTokens
		} else {
			m.seen[b] = struct{}{}
		}
	}
	if m.warm {
		m.prompted += j.prompt
		m.missed += j.prompt - j.cached
		m.again += again
	}
}

// picked feeds the herding figure: picks of the busiest engine in a window
// relative to the mean.
func (m *metrics) picked(e *engine, now time.Duration) {
	if w := int64(now / herdWindow); w != m.window {
		total, most := 0, 0
		for _, n := range m.windowPicks {
			total += n
			most = max(most, n)
		}
		if m.warm && total > 0 {
			_ = m.herding.RecordValue(int64(1000 * float64(most) * engines / float64(total)))
		}
		clear(m.windowPicks)
		m.window = w
	}
	m.windowPicks[e]++
}

// imbalance is the highest prompt utilisation over the mean.
func (m *metrics) imbalance(f *fleet) float64 {
	var sum, most time.Duration
	for _, e := range f.order {
		d := e.busyTime - m.busyAtWarm[e]
		sum += d
		most = max(most, d)
	}
	return float64(most) * engines / math.Max(1, float64(sum))
}

func (f *fleet) cost() float64 {
	sum := 0.0
	for _, e := range f.order {
		sum += e.cost()
	}
	return sum
}
