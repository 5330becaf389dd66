package main

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// herdingWindow is the interval in which the picks of each engine are counted.
// It is shorter than reportAge, so no load report can show the effect of these
// picks to a daemon within it.
const herdingWindow = time.Second

// metrics collects the figures of one run after its warm-up.
type metrics struct {
	measuring bool
	warmupEnd time.Duration
	// firstTokens holds times to the first token in microseconds.
	firstTokens map[object.RequestClass]*hdrhistogram.Histogram
	// computedBlocks are the blocks that any engine has computed.
	computedBlocks map[uint64]struct{}
	// Prompt tokens: all, those not found in a cache, and those of them that any
	// engine had computed before.
	promptTokens, computedTokens, recomputedTokens int
	requests                                       int
	costAtStart                                    float64
	busyAtStart                                    map[*engine]time.Duration
	window                                         int64
	windowPicks                                    map[*engine]int
	herding                                        *hdrhistogram.Histogram // thousandths of the mean
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func newMetrics() *metrics {
	return &metrics{
		firstTokens: map[object.RequestClass]*hdrhistogram.Histogram{
			object.ClassShort: newHistogram(), object.ClassLong: newHistogram(),
		},
		computedBlocks: make(map[uint64]struct{}), busyAtStart: make(map[*engine]time.Duration),
		windowPicks: make(map[*engine]int), herding: newHistogram(),
	}
}

// start ends the warm-up.
func (m *metrics) start(f *fleet) {
	m.measuring, m.warmupEnd = true, f.sim.now
	m.costAtStart = f.cost()
	for _, e := range f.order {
		m.busyAtStart[e] = e.busyTime
	}
}

func (m *metrics) firstToken(j *job, now time.Duration) {
	if m.measuring && j.arrival >= m.warmupEnd {
		m.requests++
		_ = m.firstTokens[j.class].RecordValue(max(1, (now - j.arrival).Microseconds()))
	}
}

// prompt counts the computed tokens of a prompt. Tokens count as recomputed if
// any engine had computed them before.
func (m *metrics) prompt(j *job, _ *engine) {
	start := j.cached / blockTokens
	recomputedTokens := 0
	for _, b := range j.blocks[min(start, len(j.blocks)):] {
		if _, ok := m.computedBlocks[b]; ok {
			recomputedTokens += blockTokens
		} else {
			m.computedBlocks[b] = struct{}{}
		}
	}
	if m.measuring {
		m.promptTokens += j.prompt
		m.computedTokens += j.prompt - j.cached
		m.recomputedTokens += recomputedTokens
	}
}

// picked counts a pick for the herding figure: the picks of the engine picked
// most often in a window, relative to the mean.
func (m *metrics) picked(e *engine, now time.Duration) {
	if w := int64(now / herdingWindow); w != m.window {
		total, maxPicks := 0, 0
		for _, n := range m.windowPicks {
			total += n
			maxPicks = max(maxPicks, n)
		}
		if m.measuring && total > 0 {
			_ = m.herding.RecordValue(int64(1000 * float64(maxPicks) * engines / float64(total)))
		}
		clear(m.windowPicks)
		m.window = w
	}
	m.windowPicks[e]++
}

// imbalance returns the highest prompt-processing time of an engine, relative to
// the mean.
func (m *metrics) imbalance(f *fleet) float64 {
	var sum, maxBusy time.Duration
	for _, e := range f.order {
		d := e.busyTime - m.busyAtStart[e]
		sum += d
		maxBusy = max(maxBusy, d)
	}
	return float64(maxBusy) * engines / math.Max(1, float64(sum))
}

func (f *fleet) cost() float64 {
	sum := 0.0
	for _, e := range f.order {
		sum += e.cost()
	}
	return sum
}
