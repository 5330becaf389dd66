package cli

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

type chartsCmd struct{}

// Run writes the statecharts as DOT graphs.
func (c *chartsCmd) Run(g *Globals) error {
	loaded, err := statechart.LoadAll(charts.Files)
	if err != nil {
		return errors.Wrap(err, "load statecharts")
	}
	for _, chart := range loaded {
		if _, err := fmt.Fprintf(g.out, "// %s: %s\n%s\n", chart.Name(), chart.Doc(), chart.Diagram()); err != nil {
			return errors.Wrap(err, "write diagram")
		}
	}
	return nil
}
