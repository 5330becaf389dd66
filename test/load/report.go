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

// figure is one measured value. Bound is the maximum allowed value.
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
		out.addClass(&r.scenario.Classes[i], r.stats[i], r.scenario.Duration)
	}
	if len(r.scenario.AppStats) > 0 {
		out.addOrders(r.orders.check(r.after.executions))
	}
	if len(r.scenario.EngineStats) > 0 {
		out.addCount("engines: prompt tokens", int64(r.after.promptTokens-r.before.promptTokens))
		out.addCount("engines: recomputed tokens", int64(r.after.recomputedTokens-r.before.recomputedTokens))
		out.addCount("engines: emitted tokens", int64(r.after.emittedTokens-r.before.emittedTokens))
	}
	return out
}

func (out *report) add(name string, measured float64, unit string, bound *float64) {
	out.Results = append(out.Results, figure{Name: name, Measured: measured, Unit: unit, Bound: bound})
}

func (out *report) addCount(name string, n int64) { out.add(name, float64(n), "count", nil) }

// addViolations adds a count that must be 0.
func (out *report) addViolations(name string, n int64) {
	zero := 0.0
	out.add(name, float64(n), "count", &zero)
	out.violations += n
}

// addClass adds the figures of a class.
func (out *report) addClass(c *Class, t *classStats, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.addCount(c.Name+": sent", t.sent)
	out.addCount(c.Name+": good answers", t.good)
	out.add(c.Name+": goodput", float64(t.good)/duration.Seconds(), "1/s", nil)
	out.addCount(c.Name+": not sent", t.notSent)
	if c.streamed() {
		out.addLatency(c.Name+": first token", t.firstToken, c.FirstTokenBound)
		out.addLatency(c.Name+": inter-token", t.interToken, 0)
		out.addCount(c.Name+": resumptions", t.resumptions)
	}
	out.addLatency(c.Name+": total", t.total, c.TotalBound)
	out.addCodes(c, t)
	for _, f := range allFaults {
		if !c.streamed() && (f == faultLost || f == faultRepeated) {
			continue
		}
		out.addViolations(fmt.Sprintf("%s: answers %s", c.Name, f), t.faults[f])
	}
}

// addCodes adds the counts of the result codes that occurred and of all execution
// states.
func (out *report) addCodes(c *Class, t *classStats) {
	codes := make([]result.Code, 0, len(t.codes))
	for code := range t.codes {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		out.addCount(fmt.Sprintf("%s: code %d %s", c.Name, code, code.Title()), t.codes[code])
	}
	for _, state := range []result.Execution{result.Ran, result.NotRun, result.Unknown} {
		out.addCount(fmt.Sprintf("%s: execution %s", c.Name, state), t.executions[state])
	}
}

// addLatency adds percentiles and the maximum in milliseconds. An empty histogram
// adds no figure.
func (out *report) addLatency(name string, h *hdrhistogram.Histogram, bound time.Duration) {
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

// milliseconds converts a histogram value, in units of latencyUnit.
func milliseconds(value int64) float64 {
	return float64(value) * float64(latencyUnit) / float64(time.Millisecond)
}

// addOrders adds the counts of the order checks.
func (out *report) addOrders(v orderChecks) {
	out.addViolations("orders: executed more than once", v.executedTwice)
	out.addViolations("orders: reported as not run but executed", v.falseNotRun)
	out.addViolations("orders: reported as run but not executed", v.falseRan)
	out.addCount("orders: reported as unknown and executed", v.unknownRan)
	out.addCount("orders: reported as unknown and not executed", v.unknownNoRun)
}
