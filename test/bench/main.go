// Command bench runs the benchmark programs below this directory, prints their
// results in one table and compares them with the bounds. It exits with status
// 1 if a bound is missed that KNOWN-RED.txt does not list.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dogwoodrudder/dogwoodrudder/test/knownred"
)

type options struct {
	Out  string   `help:"Directory for the JSON of each program and of the whole run." default:"bench-out"`
	Only []string `help:"Programs to run." default:"policy,moves,relay"`
}

// result is one row of the table. "rudderctl bench report" reads the same JSON.
type result struct {
	Name     string   `json:"name"`
	Measured float64  `json:"measured"`
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	AtLeast  bool     `json:"atLeast,omitempty"`
	Baseline *float64 `json:"baseline"`
}

// resultFile is the JSON of a whole run.
type resultFile struct {
	Run     string   `json:"run"`
	Results []result `json:"results"`
}

func (r result) missed() bool {
	return r.Bound != nil && (r.AtLeast && r.Measured < *r.Bound || !r.AtLeast && r.Measured > *r.Bound)
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs all benchmark programs."))
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		exit(err)
	}
	all := resultFile{Run: time.Now().UTC().Format(time.RFC3339)}
	for _, name := range o.Only {
		results, err := runProgram(name, filepath.Join(o.Out, name+".json"))
		if err != nil {
			exit(fmt.Errorf("program %s: %w", name, err))
		}
		all.Results = append(all.Results, results...)
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(o.Out, "bench.json"), append(data, '\n'), 0o644)
	}
	if err != nil {
		exit(err)
	}
	if missed := printTable(all.Results); missed > 0 {
		exit(fmt.Errorf("%d bounds missed", missed))
	}
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "bench:", err)
	os.Exit(1)
}

// runProgram runs one program and returns its results. Exit status 1 of the
// program means a missed bound and is no error here, because printTable checks the
// bounds.
func runProgram(name, output string) ([]result, error) {
	fmt.Printf("== %s\n", name)
	command := exec.Command("go", "run", "./test/bench/"+name, "--json", output)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	var status *exec.ExitError
	if err := command.Run(); err != nil && (!errors.As(err, &status) || status.ExitCode() != 1) {
		return nil, err
	}
	data, err := os.ReadFile(output)
	if err != nil {
		return nil, err
	}
	var f struct {
		Results []result `json:"results"`
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	if len(f.Results) == 0 {
		return nil, errors.New("the program wrote no results")
	}
	return f.Results, nil
}

// printTable writes the table and returns the number of missed bounds that
// KNOWN-RED.txt does not list.
func printTable(results []result) int {
	missed := 0
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nNAME\tMEASURED\tBOUND\tRATIO TO BASELINE\tRESULT")
	for _, r := range results {
		verdict := "ok"
		if r.missed() {
			verdict = "MISSED"
			if entry := knownred.EntryInCI(knownred.File, "bench "+r.Name); entry != "" {
				verdict = "known red: " + entry
			} else {
				missed++
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%.4g %s\t%s\t%s\t%s\n", r.Name, r.Measured, r.Unit, bound(r), ratio(r), verdict)
	}
	_ = w.Flush()
	return missed
}

func bound(r result) string {
	switch {
	case r.Bound == nil:
		return "-"
	case r.AtLeast:
		return fmt.Sprintf(">= %.4g", *r.Bound)
	}
	return fmt.Sprintf("<= %.4g", *r.Bound)
}

func ratio(r result) string {
	if r.Baseline == nil || *r.Baseline == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", r.Measured / *r.Baseline)
}
