package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

// result is one row of the result table.
type result struct {
	Name     string   `json:"name"`
	Measured float64  `json:"measured"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound,omitempty"`
	// AtLeast means that Bound is the smallest allowed value.
	AtLeast  bool   `json:"atLeast,omitempty"`
	Baseline string `json:"baselineName,omitempty"`
}

func (r result) missed() bool {
	return r.Bound != nil && (r.AtLeast && r.Measured < *r.Bound || !r.AtLeast && r.Measured > *r.Bound)
}

type run struct {
	Name   string    `json:"name"`
	Seed   uint64    `json:"seed"`
	Trials int       `json:"trials"`
	Rates  []float64 `json:"rates"`
	Policy string    `json:"policy"`
}

type report struct {
	Run     run      `json:"run"`
	Results []result `json:"results"`
	rows    []figures
}

// figures holds the results of one kind at one rate.
type figures struct {
	kind                      string
	rate                      float64
	takenBack                 float64    // percent
	onTime                    float64    // percent of the trials; for good versions, of those not taken back
	proved                    float64    // percent of trials in which the version was proved good
	unprovedShare             float64    // percent of the requests until the proof or the verdict that went to the new version
	faultShare                float64    // the same from the fault to the verdict
	requests                  [2]float64 // to the bad version: median and p95
	verdictSeconds            [2]float64 // from the first evidence: median and p95
	afterVerdict              int        // requests to the new version, 2 s after the verdict or later
	falseAlarmEvidence        string
	maxDoneTime, moveDuration time.Duration
}

func (r *report) add(k kind, rate float64, outcomes []outcome) {
	f := summarise(k, rate, outcomes)
	r.rows = append(r.rows, f)
	name := fmt.Sprintf("%s, %g/s: ", k.name, rate)
	if !k.bad {
		r.atMost(name+"wrong take-backs", f.takenBack, 1, "%")
		r.atLeast(name+"done by the deadline, if not taken back", f.onTime, 100, "%")
		return
	}
	r.atLeast(name+"taken back", f.takenBack, 99, "%")
	r.atMost(name+"requests 2 s after the verdict", float64(f.afterVerdict), 0, "requests")
	if k.fromStart {
		r.atMost(name+"share until proved good or bad", f.unprovedShare, 5, "%")
	}
	r.info(name+"requests to the bad version, median", f.requests[0], "requests")
	r.info(name+"first evidence to verdict, median", f.verdictSeconds[0], "s")
	r.info(name+"first evidence to verdict, p95", f.verdictSeconds[1], "s")
}

func summarise(k kind, rate float64, outcomes []outcome) figures {
	f := figures{kind: k.name, rate: rate, moveDuration: moveDuration(rate)}
	var takenBack, onTime, proved, unprovedNew, unprovedAll, faultNew, faultAll int
	var requests, seconds []float64
	for _, o := range outcomes {
		unprovedNew += o.unprovedNew
		unprovedAll += o.unprovedAll
		faultNew += o.faultNew
		faultAll += o.faultAll
		f.afterVerdict += o.afterVerdict
		f.maxDoneTime = max(f.maxDoneTime, o.doneAt)
		if o.proved {
			proved++
		}
		if o.onTime && (k.bad || !o.takenBack) {
			onTime++
		}
		if o.takenBack {
			takenBack++
			if !k.bad {
				f.falseAlarmEvidence = o.evidence
			}
			seconds = append(seconds, (o.verdict - o.firstEvidence).Seconds())
		}
		requests = append(requests, float64(o.badRequests))
	}
	f.takenBack, f.onTime = percent(takenBack, len(outcomes)), percent(onTime, len(outcomes)-takenBack)
	if k.bad {
		f.onTime = percent(onTime, len(outcomes))
	}
	f.proved = percent(proved, len(outcomes))
	f.unprovedShare, f.faultShare = percent(unprovedNew, unprovedAll), percent(faultNew, faultAll)
	f.requests = [2]float64{quantile(requests, 0.5), quantile(requests, 0.95)}
	f.verdictSeconds = [2]float64{quantile(seconds, 0.5), quantile(seconds, 0.95)}
	return f
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func (r *report) atMost(name string, measured, bound float64, unit string) {
	r.Results = append(r.Results, result{Name: name, Measured: measured, Unit: unit, Bound: &bound})
}

func (r *report) atLeast(name string, measured, bound float64, unit string) {
	r.Results = append(r.Results, result{Name: name, Measured: measured, Unit: unit, Bound: &bound, AtLeast: true})
}

func (r *report) info(name string, measured float64, unit string) {
	r.Results = append(r.Results, result{Name: name, Measured: measured, Unit: unit})
}

func (r *report) missed() bool { return slices.ContainsFunc(r.Results, result.missed) }

func (r *report) printFigures(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "kind\trate /s\tmove\ttaken back %\tproved %\ton time %\tlatest done\tshare until proved %\tshare until verdict %\trequests p50\tp95\tto verdict s p50\tp95")
	for _, f := range r.rows {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%s\t%.1f\t%.1f\t%.1f\t%s\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%.1f\n", f.kind, f.rate, f.moveDuration,
			f.takenBack, f.proved, f.onTime, f.maxDoneTime, f.unprovedShare, f.faultShare, f.requests[0], f.requests[1],
			f.verdictSeconds[0], f.verdictSeconds[1])
	}
	_ = w.Flush()
	for _, f := range r.rows {
		if f.falseAlarmEvidence != "" {
			_, _ = fmt.Fprintf(out, "wrong take-back of %q at %g/s: %s\n", f.kind, f.rate, f.falseAlarmEvidence)
		}
	}
}

func (r *report) printResults(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "name\tmeasured\tbound\tresult")
	for _, row := range r.Results {
		bound, verdict := "-", "ok"
		if row.Bound != nil {
			sign := "<="
			if row.AtLeast {
				sign = ">="
			}
			bound = fmt.Sprintf("%s %g", sign, *row.Bound)
		}
		if row.missed() {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(w, "%s\t%.4g %s\t%s\t%s\n", row.Name, row.Measured, row.Unit, bound, verdict)
	}
	_ = w.Flush()
}

func (r *report) writeJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
