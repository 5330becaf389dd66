// Command load sends the requests of a scenario to the daemons as callers do,
// checks every answer, and writes the measured figures as JSON for
// `rudderctl bench report`.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

type flags struct {
	Scenario string        `arg:"" type:"existingfile" help:"YAML file with the scenario."`
	Out      string        `help:"JSON file for the figures; the default is standard output."`
	Run      string        `help:"Name of the run; the default is the name of the scenario."`
	Duration time.Duration `help:"Replaces the duration of the scenario."`
	Seed     uint64        `help:"Replaces the seed of the scenario."`
	Factor   float64       `help:"Multiplies the rates of all classes." default:"1"`
}

const (
	exitViolation = 1 // an answer or an execution count was wrong
	exitError     = 2 // the scenario is invalid or the run failed
)

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Load generator that sends requests as callers do. "+
		"Exits with 1 if an answer was incomplete or not the caller's own, or if an order was executed more than once "+
		"or its execution was reported wrongly."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	violations, err := f.run(ctx)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(exitError)
	}
	if violations > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "load: %d violations\n", violations)
		os.Exit(exitViolation)
	}
}

func (f *flags) run(ctx context.Context) (violations int64, err error) {
	s, err := readScenario(f.Scenario)
	if err != nil {
		return 0, err
	}
	f.applyTo(s)
	r, err := newRunner(s)
	if err != nil {
		return 0, err
	}
	if err := r.run(ctx); err != nil {
		return 0, err
	}
	report := r.report()
	return report.violations, f.write(report)
}

// applyTo overrides values of the scenario.
func (f *flags) applyTo(s *Scenario) {
	if f.Run != "" {
		s.Name = f.Run
	}
	if f.Duration > 0 {
		s.Duration = f.Duration
	}
	if f.Seed != 0 {
		s.Seed = f.Seed
	}
	for i := range s.Classes {
		s.Classes[i].Rate *= f.Factor
	}
}

func (f *flags) write(r *report) error {
	var out io.Writer = os.Stdout
	if f.Out != "" {
		file, err := os.Create(f.Out)
		if err != nil {
			return errors.Wrap(err, "create output file")
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write figures")
}
