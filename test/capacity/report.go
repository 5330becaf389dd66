package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// figure is one entry of slopes.json.
type figure struct {
	Name     string   `json:"name"`
	Measured float64  `json:"measured"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound,omitempty"`
	Baseline *float64 `json:"baseline,omitempty"`
}

type document struct {
	Run     string   `json:"run"`
	Results []figure `json:"results"`
}

func (r *run) document() document {
	d := document{Run: r.started.UTC().Format(time.RFC3339)}
	for _, s := range r.series {
		for i, size := range s.sizes {
			d.Results = append(d.Results, figure{
				Name: fmt.Sprintf("%s at %s %s", s.name, formatNumber(size), s.per), Measured: s.values[i], Unit: s.unit,
			})
		}
		if slope := s.fit().slope; !math.IsNaN(slope) {
			d.Results = append(d.Results, figure{
				Name: s.name + " slope", Measured: slope, Unit: s.unit + " per " + s.per,
			})
		}
	}
	for _, l := range r.limits {
		bound := l.bound
		d.Results = append(d.Results, figure{Name: l.name, Measured: l.measured, Unit: l.unit, Bound: &bound})
	}
	return d
}

// finish prints the results and writes them to a directory unless it is empty.
func (r *run) finish(out io.Writer, directory string) error {
	r.printSeries(out)
	r.printLimits(out)
	_, _ = fmt.Fprintf(out, "total %.0f s\n", time.Since(r.started).Seconds())
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create the output directory")
	}
	data, err := json.MarshalIndent(r.document(), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(filepath.Join(directory, "slopes.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write results")
	}
	err = os.WriteFile(filepath.Join(directory, "slopes.md"), []byte(r.markdown()), 0o644)
	return errors.Wrap(err, "write the table of slopes")
}

func (r *run) printSeries(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "name\tper\tsizes\tmeasured\tslope\tfit")
	for _, s := range r.series {
		f := s.fit()
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s %s\t%s\t%s\n", s.name, s.per, formatNumbers(s.sizes), formatNumbers(s.values), s.unit, formatNumber(f.slope), f.kind())
	}
	_ = w.Flush()
}

func (r *run) printLimits(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "limit\tmeasured\tbound\tresult")
	for _, l := range r.limits {
		_, _ = fmt.Fprintf(w, "%s\t%s %s\t%s\t%s\n", l.name, formatNumber(l.measured), l.unit, formatNumber(l.bound), l.result())
	}
	_ = w.Flush()
}

func (l limit) result() string {
	if l.measured > l.bound {
		return "MISSED"
	}
	return "ok"
}

func (r *run) markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Slopes\n\nWritten by `make capacity` on %s: %s, %d CPUs, %s/%s. The machine was shared with\n"+
		"other work while the figures were taken. Processor time is that of the whole\nprocess (getrusage), so it includes garbage collection.\n\n"+
		"The slope is that of the least-squares line over all sizes. The fit names the\ngrowth between the two largest sizes.\n\n",
		r.started.UTC().Format(time.DateOnly), runtime.Version(), runtime.NumCPU(), runtime.GOOS, runtime.GOARCH)
	b.WriteString("| name | sizes | measured | unit | slope per unit of size | fit | command |\n|---|---|---|---|---|---|---|\n")
	for _, s := range r.series {
		f := s.fit()
		fmt.Fprintf(&b, "| %s | %s %s | %s | %s | %s | %s | `go run ./test/capacity --only %s` |\n",
			s.name, formatNumbers(s.sizes), s.per, formatNumbers(s.values), s.unit, formatNumber(f.slope), f.kind(), s.section)
	}
	b.WriteString("\n## Bounds\n\n| figure | measured | bound | unit | result |\n|---|---|---|---|---|\n")
	for _, l := range r.limits {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", l.name, formatNumber(l.measured), formatNumber(l.bound), l.unit, l.result())
	}
	for _, failure := range r.failures {
		fmt.Fprintf(&b, "\nIncomplete: %s\n", failure)
	}
	return b.String()
}

func formatNumbers(values []float64) string {
	parts := make([]string, len(values))
	for i, v := range values {
		parts[i] = formatNumber(v)
	}
	return strings.Join(parts, " / ")
}

// formatNumber formats a number with fewer decimals the larger it is, and with an
// exponent only below 0.001. NaN becomes "-".
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case a >= 1000 || a == math.Trunc(a):
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.3g", v)
	case a >= 1e-3:
		return fmt.Sprintf("%.4f", v)
	}
	return fmt.Sprintf("%.2e", v)
}
