package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

type benchCmd struct {
	Report benchReportCmd `cmd:"" help:"Compare the results of benchmark runs."`
}

type benchReportCmd struct {
	File []string `arg:"" help:"JSON files with results; the first one is compared with the others."`
	Plot string   `help:"SVG file for a bar chart of the measured values."`
}

// benchRun is the JSON document of one benchmark run.
type benchRun struct {
	Run     string        `json:"run"`
	Results []benchResult `json:"results"`
}

// benchResult is one measured value. Bound and Baseline are nil if the result
// states none.
type benchResult struct {
	Name     string   `json:"name"`
	Measured float64  `json:"measured"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Baseline *float64 `json:"baseline"`
}

// benchRow has the values of one result in all runs. Measured is nil for a run
// that lacks the result.
type benchRow struct {
	Name     string     `json:"name"`
	Unit     string     `json:"unit"`
	Bound    *float64   `json:"bound,omitempty"`
	Baseline *float64   `json:"baseline,omitempty"`
	Measured []*float64 `json:"measured"`
}

// benchReport compares benchmark runs. Rows are in the order in which the files
// first name them.
type benchReport struct {
	Runs []string    `json:"runs"`
	Rows []*benchRow `json:"rows"`
}

func (c *benchReportCmd) Run(g *Globals) error {
	report, err := readReport(c.File)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.plot(c.Plot); err != nil {
			return result.Wrap(err, result.BadRequest, result.NotRun, "plot %s", c.Plot)
		}
	}
	return g.print(report, report.writeTable)
}

func readReport(files []string) (*benchReport, error) {
	report := &benchReport{}
	rows := map[string]*benchRow{}
	for i, file := range files {
		run, err := readRun(file)
		if err != nil {
			return nil, err
		}
		report.Runs = append(report.Runs, run.Run)
		for _, r := range run.Results {
			row := rows[r.Name]
			if row == nil {
				row = &benchRow{Name: r.Name, Unit: r.Unit, Bound: r.Bound, Baseline: r.Baseline, Measured: make([]*float64, len(files))}
				rows[r.Name] = row
				report.Rows = append(report.Rows, row)
			}
			if row.Unit != r.Unit {
				return nil, result.New(result.BadRequest, result.NotRun, "%s: result %q has unit %q, but %q in an earlier file", file, r.Name, r.Unit, row.Unit)
			}
			row.Measured[i] = &r.Measured
		}
	}
	return report, nil
}

func readRun(file string) (*benchRun, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	var run benchRun
	if err := json.Unmarshal(data, &run); err != nil {
		return nil, result.Wrap(err, result.BadRequest, result.NotRun, "%s is not the result of a benchmark run", file)
	}
	seen := map[string]bool{}
	for _, r := range run.Results {
		if r.Name == "" || seen[r.Name] {
			return nil, result.New(result.BadRequest, result.NotRun, "%s: result name %q is empty or appears twice", file, r.Name)
		}
		seen[r.Name] = true
	}
	if run.Run == "" {
		run.Run = filepath.Base(file)
	}
	return &run, nil
}

func (b *benchReport) writeTable(w io.Writer) {
	_, _ = fmt.Fprint(w, "NAME\tUNIT\tBOUND\tBASELINE")
	for i, run := range b.Runs {
		_, _ = fmt.Fprintf(w, "\t%s", run)
		if i > 0 {
			_, _ = fmt.Fprint(w, "\tCHANGE")
		}
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range b.Rows {
		row.write(w)
	}
}

func (r *benchRow) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s", r.Name, r.Unit, formatValue(r.Bound), formatValue(r.Baseline))
	for i, value := range r.Measured {
		_, _ = fmt.Fprintf(w, "\t%s", formatValue(value))
		if i > 0 {
			_, _ = fmt.Fprintf(w, "\t%s", formatChange(r.Measured[0], value))
		}
	}
	_, _ = fmt.Fprintln(w)
}

func formatValue(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.6g", *value)
}

// formatChange returns the difference of two values in percent of the first.
func formatChange(first, later *float64) string {
	if first == nil || later == nil || *first == 0 {
		return "-"
	}
	percent := (*later - *first) / math.Abs(*first) * 100
	return fmt.Sprintf("%+.1f%%", percent)
}

// ratioToFirst returns the value of a run divided by that of the first run, 0 if
// either is missing. Ratios allow one chart for values of different units.
func (r *benchRow) ratioToFirst(run int) float64 {
	first, value := r.Measured[0], r.Measured[run]
	if first == nil || value == nil || *first == 0 {
		return 0
	}
	return *value / *first
}

func (b *benchReport) plot(file string) error {
	if filepath.Ext(file) != ".svg" {
		return errors.Errorf("the file name must end in .svg")
	}
	if len(b.Rows) == 0 {
		return errors.New("the runs have no results")
	}
	return b.writeChart(file)
}
