package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// Latencies are recorded in units of latencyUnit, up to maxLatency.
	maxLatency        = 10 * time.Minute
	latencyUnit       = time.Microsecond
	significantDigits = 3
)

// classStats holds the counts and latencies of a class.
type classStats struct {
	mu          sync.Mutex
	sent        int64
	notSent     int64 // arrivals above maxInFlight
	good        int64 // answers without an error and without a fault
	resumptions int64
	firstToken  *hdrhistogram.Histogram
	interToken  *hdrhistogram.Histogram
	total       *hdrhistogram.Histogram // of good answers
	codes       map[result.Code]int64
	executions  map[result.Execution]int64
	faults      map[fault]int64
}

func newClassStats() *classStats {
	return &classStats{
		firstToken: newHistogram(), interToken: newHistogram(), total: newHistogram(),
		codes: map[result.Code]int64{}, executions: map[result.Execution]int64{}, faults: map[fault]int64{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), significantDigits)
}

// record adds a latency, limited to the range from latencyUnit to maxLatency.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, latencyUnit), maxLatency) / latencyUnit))
}

// addNotSent counts an arrival that was not sent.
func (t *classStats) addNotSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notSent++
}

// add counts the outcome of a request that was sent.
func (t *classStats) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.resumptions += int64(o.resumptions)
	t.codes[result.CodeOf(o.err)]++
	t.executions[executionState(o.err)]++
	if o.fault != faultNone {
		t.faults[o.fault]++
	}
	if o.firstToken > 0 {
		record(t.firstToken, o.firstToken)
	}
	for _, gap := range o.gaps {
		record(t.interToken, gap)
	}
	if o.err == nil && o.fault == faultNone {
		t.good++
		record(t.total, o.total)
	}
}
