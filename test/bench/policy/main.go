// Command policy measures the decision packages of the request path on a model
// of engines in virtual time: routing policies on several mixes, the cost of a
// routing decision, retry amplification in an outage and goodput in overload.
// Only picks, queues and service times are modelled; networks and processes are
// not.
//
// The exit status is 1 if a bound is missed. Bounds come from the targets of
// the design page.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	Seed    uint64        `help:"Seed of all random numbers." default:"1"`
	Length  time.Duration `help:"Virtual time measured per run." default:"180s"`
	Warmup  time.Duration `help:"Virtual time before that." default:"40s"`
	JSON    string        `help:"File for the JSON report." placeholder:"FILE"`
	Only    []string      `help:"Sections to run." enum:"mixes,decision,outage,overload" default:"mixes,decision,outage,overload"`
	Details bool          `help:"Also print all figures of each policy." default:"true" negatable:""`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures routing, admission and retry policies."))
	fmt.Printf("seed=%d length=%s warmup=%s\n", o.Seed, o.Length, o.Warmup)
	r := &report{Run: time.Now().UTC().Format(time.RFC3339), Seed: o.Seed}
	sections := map[string]func(*report, options){
		"mixes": runMixes, "decision": runDecisions, "outage": runOutage, "overload": runOverload,
	}
	for _, name := range o.Only {
		sections[name](r, o)
	}
	if o.Details {
		r.printFigures(os.Stdout)
	}
	r.printChecks(os.Stdout)
	if o.JSON != "" {
		if err := r.writeJSON(o.JSON); err != nil {
			fmt.Fprintf(os.Stderr, "writing the report: %v\n", err)
			os.Exit(2)
		}
	}
	if r.missed() {
		os.Exit(1)
	}
}
