package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// check is one row of the result table.
type check struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Unit     string  `json:"unit"`
	// Bound is the largest allowed value, or the smallest if AtLeast; nil if
	// no target exists.
	Bound   *float64 `json:"bound,omitempty"`
	AtLeast bool     `json:"atLeast,omitempty"`
	// Ratio is Measured relative to the baseline; 0 if there is none.
	Ratio    float64 `json:"ratio,omitempty"`
	Baseline string  `json:"baselineName,omitempty"`
	// BaselineValue is the baseline's own measurement.
	BaselineValue *float64 `json:"baseline,omitempty"`
	OK            bool     `json:"ok"`
}

// figures are the measurements of one policy on one mix.
type figures struct {
	Mix            string             `json:"mix"`
	Policy         string             `json:"policy"`
	Requests       int                `json:"requests"`
	FirstTokenMs   map[string]float64 `json:"firstTokenMs"`
	RecomputedPct  float64            `json:"recomputedPercent"`
	ComputedPct    float64            `json:"computedPercent"`
	CostPerRequest float64            `json:"costPerRequest"`
	Imbalance      float64            `json:"imbalance"`
	HerdingP99     float64            `json:"herdingP99"`
}

type report struct {
	Run     string    `json:"run"`
	Seed    uint64    `json:"seed"`
	Checks  []check   `json:"results"`
	Figures []figures `json:"figures"`
}

func (r *report) atMost(name string, measured, bound float64, unit string, ratio float64, baseline string) {
	r.Checks = append(r.Checks, check{
		Name: name, Measured: measured, Unit: unit, Bound: &bound,
		Ratio: ratio, Baseline: baseline, OK: measured <= bound,
	})
}

func (r *report) atLeast(name string, measured, bound float64, unit string, ratio float64, baseline string) {
	r.Checks = append(r.Checks, check{
		Name: name, Measured: measured, Unit: unit, Bound: &bound, AtLeast: true,
		Ratio: ratio, Baseline: baseline, OK: measured >= bound,
	})
}

// info adds a row without a target.
func (r *report) info(name string, measured float64, unit string, ratio float64, baseline string) {
	r.Checks = append(r.Checks, check{
		Name: name, Measured: measured, Unit: unit, Ratio: ratio, Baseline: baseline, OK: true,
	})
}

func (r *report) missed() bool {
	for _, c := range r.Checks {
		if !c.OK {
			return true
		}
	}
	return false
}

func (r *report) printChecks(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "name\tmeasured\tbound\tratio to baseline\tresult")
	for _, c := range r.Checks {
		bound, ratio, verdict := "-", "-", "ok"
		if c.Bound != nil {
			sign := "<="
			if c.AtLeast {
				sign = ">="
			}
			bound = fmt.Sprintf("%s %.4g", sign, *c.Bound)
		}
		if c.Baseline != "" {
			ratio = fmt.Sprintf("%.3f of %s", c.Ratio, c.Baseline)
		}
		if !c.OK {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(w, "%s\t%.4g %s\t%s\t%s\t%s\n", c.Name, c.Measured, c.Unit, bound, ratio, verdict)
	}
	_ = w.Flush()
}

func (r *report) printFigures(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "mix\tpolicy\tshort p50 ms\tp95\tp99\tlong p50 ms\tp95\tp99\trecomputed %\tcomputed %\tcost/1000\timbalance\therding p99\t")
	for _, f := range r.Figures {
		_, _ = fmt.Fprintf(w, "%s\t%s", f.Mix, f.Policy)
		for _, class := range []string{"short", "long"} {
			for _, q := range []string{"p50", "p95", "p99"} {
				_, _ = fmt.Fprintf(w, "\t%.0f", f.FirstTokenMs[class+" "+q])
			}
		}
		_, _ = fmt.Fprintf(w, "\t%.2f\t%.2f\t%.4f\t%.2f\t%.2f\t\n", f.RecomputedPct, f.ComputedPct,
			1000*f.CostPerRequest, f.Imbalance, f.HerdingP99)
	}
	_ = w.Flush()
}

func (r *report) writeJSON(path string) error {
	for i := range r.Checks {
		if c := &r.Checks[i]; c.Ratio != 0 {
			value := c.Measured / c.Ratio
			c.BaselineValue = &value
		}
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
