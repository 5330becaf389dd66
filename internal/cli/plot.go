package cli

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the bar chart. A group of bars is one figure of the table.
const (
	barHeight   = 0.2 * vg.Inch
	groupGap    = 0.15 * vg.Inch
	chartMargin = 1.2 * vg.Inch
	chartWidth  = 9 * vg.Inch
)

// draw writes a chart with one group of bars for each figure and one bar for
// each run, relative to the first run.
func (b *benchReport) draw(file string) error {
	p := plot.New()
	p.X.Label.Text = "relative to " + b.Runs[0]
	p.X.Min = 0
	p.Legend.Top = true
	for run := range b.Runs {
		bars, err := plotter.NewBarChart(b.values(run), barHeight)
		if err != nil {
			return errors.Wrap(err, "bars")
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
	group := barHeight*vg.Length(len(b.Runs)) + groupGap
	return errors.Wrap(p.Save(chartWidth, chartMargin+group*vg.Length(len(b.Rows)), file), "write chart")
}

func (b *benchReport) values(run int) plotter.Values {
	values := make(plotter.Values, len(b.Rows))
	for i, row := range b.Rows {
		values[i] = row.relative(run)
	}
	return values
}
