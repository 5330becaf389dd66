// Command relay measures the latency that one daemon adds to a stream, and the
// prompt tokens that are recomputed when an upstream leaves. The daemon uses
// stand-ins of the store and the engines in the same process, on loopback.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	JSON    string `help:"File for the JSON report." placeholder:"FILE"`
	Streams int    `help:"Streams of each kind." default:"60"`
	Tokens  int    `help:"Tokens of a stream." default:"100"`
}

// The targets for 95% of the requests are 1.2 s to the first token and 28 ms
// between two tokens. The latency that a daemon adds is bounded by maxDaemonShare
// of each.
const (
	firstTokenTarget    = 1200 * time.Millisecond
	betweenTokensTarget = 28 * time.Millisecond
	maxDaemonShare      = 0.05
)

type result struct {
	Name     string   `json:"name"`
	Measured float64  `json:"measured"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound,omitempty"`
	Baseline *float64 `json:"baseline,omitempty"`
}

type report struct {
	Run     string   `json:"run"`
	Results []result `json:"results"`
}

// add adds and prints a row. A negative bound means that there is no target, and
// a baseline of 0 that there is none.
func (r *report) add(name string, measured float64, unit string, bound, baseline float64) {
	row := result{Name: name, Measured: measured, Unit: unit}
	if bound >= 0 {
		row.Bound = &bound
	}
	if baseline > 0 {
		row.Baseline = &baseline
	}
	r.Results = append(r.Results, row)
	fmt.Printf("%s: %.4g %s (bound %.4g, baseline %.4g)\n", name, measured, unit, bound, baseline)
}

func (r *report) missed() bool {
	for _, row := range r.Results {
		if row.Bound != nil && row.Measured > *row.Bound {
			return true
		}
	}
	return false
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures the overhead of one daemon."))
	r := &report{Run: time.Now().UTC().Format(time.RFC3339)}
	if err := measure(o, r); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(2)
	}
	if o.JSON != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err == nil {
			err = os.WriteFile(o.JSON, append(data, '\n'), 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "relay:", err)
			os.Exit(2)
		}
	}
	if r.missed() {
		os.Exit(1)
	}
}
