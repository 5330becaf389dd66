// Command relay measures what one daemon adds to the latency of a stream, and
// how many prompt tokens an upstream that leaves costs, on loopback against
// stand-ins in the same process.
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

// Bounds. The targets for 95 of 100 requests are 1.2 s to the first token and 28 ms
// between two tokens; a daemon may use up a twentieth of each.
const (
	firstTokenTarget = 1200 * time.Millisecond
	tokenGapTarget   = 28 * time.Millisecond
	daemonShare      = 0.05
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
