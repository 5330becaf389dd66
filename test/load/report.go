package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// report is the document that `rudderctl bench report` reads.
type report struct {
	Run     string   `json:"run"`
	Results []figure `json:"results"`

	violations int64
}

// figure is one measured value. Bound is the largest acceptable value.
type figure struct {
	Name     string   `json:"name"`
	Measured float64  `json:"measured"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound,omitempty"`
	Baseline *float64 `json:"baseline,omitempty"`
}

// boundPercentile is the percentile to which the bounds of a class apply.
const boundPercentile = 95

var percentiles = []float64{50, boundPercentile, 99}

func (r *runner) report() *report {
	out := &report{Run: r.scenario.Name}
	for i := range r.scenario.Classes {
		out.class(&r.scenario.Classes[i], r.tallies[i], r.scenario.Duration)
	}
	if len(r.scenario.AppStats) > 0 {
		out.orders(r.orders.verdict(r.after.executions))
	}
	if len(r.scenario.EngineStats) > 0 {
		out.count("engines: prompt tokens", int64(r.after.promptTokens-r.before.promptTokens))
		out.count("engines: recomputed tokens", int64(r.after.recomputedTokens-r.before.recomputedTokens))
		out.count("engines: emitted tokens", int64(r.after.emittedTokens-r.before.emittedTokens))
	}
	return out
}

func (out *report) add(name string, measured float64, unit string, bound *float64) {
	out.Results = append(out.Results, figure{Name: name, Measured: measured, Unit: unit, Bound: bound})
}

func (out *report) count(name string, n int64) { out.add(name, float64(n), "count", nil) }

// violation adds a count that must be 0.
func (out *report) violation(name string, n int64) {
	none := 0.0
	out.add(name, float64(n), "count", &none)
	out.violations += n
}

func (out *report) class(c *Class, t *tally, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.count(c.Name+": sent", t.sent)
	out.count(c.Name+": good answers", t.good)
	out.add(c.Name+": goodput", float64(t.good)/duration.Seconds(), "1/s", nil)
	out.count(c.Name+": not sent", t.skipped)
	if c.streamed() {
		out.latency(c.Name+": first token", t.firstToken, c.FirstTokenBound)
		out.latency(c.Name+": inter-token", t.gap, 0)
		out.count(c.Name+": resumptions", t.resumptions)
	}
	out.latency(c.Name+": total", t.total, c.TotalBound)
	out.codes(c, t)
	for _, f := range allFaults {
		if !c.streamed() && (f == faultLost || f == faultRepeated) {
			continue
		}
		out.violation(fmt.Sprintf("%s: answers %s", c.Name, f), t.faults[f])
	}
}

// codes adds the result codes that occurred and all execution states.
func (out *report) codes(c *Class, t *tally) {
	codes := make([]result.Code, 0, len(t.codes))
	for code := range t.codes {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		out.count(fmt.Sprintf("%s: code %d %s", c.Name, code, code.Title()), t.codes[code])
	}
	for _, state := range []result.Execution{result.Ran, result.NotRun, result.Unknown} {
		out.count(fmt.Sprintf("%s: execution %s", c.Name, state), t.executions[state])
	}
}

// latency adds percentiles in milliseconds; without a value it adds none.
func (out *report) latency(name string, h *hdrhistogram.Histogram, bound time.Duration) {
	if h.TotalCount() == 0 {
		return
	}
	for _, p := range percentiles {
		var limit *float64
		if p == boundPercentile && bound > 0 {
			ms := bound.Seconds() * 1000
			limit = &ms
		}
		out.add(fmt.Sprintf("%s p%g", name, p), milliseconds(h.ValueAtPercentile(p)), "ms", limit)
	}
	out.add(name+" max", milliseconds(h.Max()), "ms", nil)
}

func milliseconds(value int64) float64 {
	return float64(value) * float64(latencyUnit) / float64(time.Millisecond)
}

func (out *report) orders(v orderVerdict) {
	out.violation("orders: executed more than once", v.twice)
	out.violation("orders: reported as not run but executed", v.falseNotRun)
	out.violation("orders: reported as run but not executed", v.falseRan)
	out.count("orders: reported as unknown and executed", v.unknownRan)
	out.count("orders: reported as unknown and not executed", v.unknownNoRun)
}
