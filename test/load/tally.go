package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// Latencies are kept in microseconds up to maxLatency with three
	// significant digits.
	maxLatency  = 10 * time.Minute
	latencyUnit = time.Microsecond
	digits      = 3
)

// tally counts the outcomes of a class.
type tally struct {
	mu          sync.Mutex
	sent        int64
	skipped     int64
	good        int64
	resumptions int64
	firstToken  *hdrhistogram.Histogram
	gap         *hdrhistogram.Histogram
	total       *hdrhistogram.Histogram // of good answers
	codes       map[result.Code]int64
	executions  map[result.Execution]int64
	faults      map[fault]int64
}

func newTally() *tally {
	return &tally{
		firstToken: newHistogram(), gap: newHistogram(), total: newHistogram(),
		codes: map[result.Code]int64{}, executions: map[result.Execution]int64{}, faults: map[fault]int64{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), digits)
}

// record stores a latency; one above the range counts as the largest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, latencyUnit), maxLatency) / latencyUnit))
}

// skip counts an arrival that was not sent.
func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.resumptions += int64(o.resumptions)
	t.codes[result.CodeOf(o.err)]++
	t.executions[stateOf(o.err)]++
	if o.fault != faultNone {
		t.faults[o.fault]++
	}
	if o.firstToken > 0 {
		record(t.firstToken, o.firstToken)
	}
	for _, gap := range o.gaps {
		record(t.gap, gap)
	}
	if o.err == nil && o.fault == faultNone {
		t.good++
		record(t.total, o.total)
	}
}
