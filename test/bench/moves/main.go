// Command moves measures the decisions of pkg/move in virtual time: for each
// kind of new version and each request rate it runs trials of a whole move,
// split over 7 daemons that report to three evaluators, with lost and late
// reports. Only counters and decisions are modelled; daemons and upstreams
// are not.
//
// The exit status is 1 if a bound is missed. Bounds come from the targets of
// the design page.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	Seed   uint64    `help:"Seed of all random numbers." default:"1"`
	Trials int       `help:"Trials of each kind and rate." default:"1000"`
	Rates  []float64 `help:"Requests a second." default:"1,10,100"`
	Kinds  []string  `help:"Kinds of versions; all if empty."`
	Policy string    `help:"Policy to measure." enum:"pooled,own,threshold" default:"pooled"`
	JSON   string    `help:"File for the JSON report." placeholder:"FILE"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures ramps, verdicts and proofs of moves."))
	fmt.Printf("seed=%d trials=%d rates=%v policy=%s\n", o.Seed, o.Trials, o.Rates, o.Policy)
	started := time.Now()
	r := &report{Run: run{Name: "moves", Seed: o.Seed, Trials: o.Trials, Rates: o.Rates, Policy: o.Policy}}
	for _, k := range kinds {
		if len(o.Kinds) > 0 && !slices.Contains(o.Kinds, k.name) {
			continue
		}
		for _, rate := range o.Rates {
			r.add(k, rate, runTrials(o, k, rate))
		}
	}
	r.printFigures(os.Stdout)
	r.printResults(os.Stdout)
	fmt.Printf("elapsed=%s\n", time.Since(started).Round(time.Second))
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

// runTrials runs the trials of one kind at one rate on all cores.
func runTrials(o options, k kind, rate float64) []outcome {
	outcomes := make([]outcome, o.Trials)
	next := make(chan int)
	var wait sync.WaitGroup
	for range runtime.NumCPU() {
		wait.Go(func() {
			for i := range next {
				outcomes[i] = newTrial(o.Policy, o.Seed, uint64(i), k, rate).run()
			}
		})
	}
	for i := range outcomes {
		next <- i
	}
	close(next)
	wait.Wait()
	return outcomes
}
