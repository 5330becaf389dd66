package cli

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the bar chart, which has a group of bars for each row of the table.
const (
	barHeight   = 0.2 * vg.Inch
	groupGap    = 0.15 * vg.Inch
	chartMargin = 1.2 * vg.Inch
	chartWidth  = 9 * vg.Inch
)

// writeChart writes an SVG file with a bar chart. It has one group of bars for
// each row and one bar for each run, relative to the first run.
func (b *benchReport) writeChart(file string) error {
	p := plot.New()
	p.X.Label.Text = "relative to " + b.Runs[0]
	p.X.Min = 0
	p.Legend.Top = true
	for run := range b.Runs {
		bars, err := plotter.NewBarChart(b.ratios(run), barHeight)
		if err != nil {
			return errors.Wrap(err, "create bars")
		}
		bars.Horizontal = true
		bars.Color = plotutil.Color(run) //nolint:misspell // names of the library
		bars.Offset = barHeight * vg.Length(float64(run)-float64(len(b.Runs)-1)/2)
		p.Add(bars)
		p.Legend.Add(b.Runs[run], bars)
	}
	names := make([]string, len(b.Rows))
	for i, row := range b.Rows {
		names[i] = row.Name
	}
	p.NominalY(names...)
	groupHeight := barHeight*vg.Length(len(b.Runs)) + groupGap
	return errors.Wrap(p.Save(chartWidth, chartMargin+groupHeight*vg.Length(len(b.Rows)), file), "write chart")
}

func (b *benchReport) ratios(run int) plotter.Values {
	ratios := make(plotter.Values, len(b.Rows))
	for i, row := range b.Rows {
		ratios[i] = row.ratioToFirst(run)
	}
	return ratios
}
