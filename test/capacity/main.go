// Command capacity measures how the cost of the system grows with its size.
// Each quantity is measured at three sizes or more in this process, against
// in-process stubs, and a line is fitted to it. docs/CAPACITY.md multiplies the
// slopes by the target size.
//
// The exit status is 1 if a figure exceeds its bound and 2 if a section failed.
// Bounds come from the limits of the design page: 14 KB/s of control traffic,
// 128 MB and 4.7% of a core for a daemon, and the calls per second of the store.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	Quick  bool          `help:"Shorter runs with fewer repetitions."`
	Only   []string      `help:"Sections to run; all by default." placeholder:"NAME"`
	Settle time.Duration `help:"Maximum time to wait for the membership updates of a start to end; a fleet that needs longer is not measured at rest. 420 daemons need up to 220s." default:"26s"`
	Out    string        `help:"Directory of slopes.json and slopes.md; not written if only some sections run, unless it is given." placeholder:"DIR"`
}

// section is a group of measurements that share a set-up.
type section struct {
	name string
	run  func(*run) error
}

func sections() []section {
	return []section{
		{"config", measureConfig},
		{"routing", measureRouting},
		{"stream", measureStream},
		{"loopback", measureLoopback},
		{"gossip", measureGossip},
		{"orders", measureOrders},
		{"handover", measureHandover},
		{"checks", measureChecks},
		{"store", measureStore},
		{"moves", measureMoves},
		{"client", measureClient},
	}
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures how the cost of the system grows."))
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	failed := false
	r := &run{quick: o.Quick, maxSettle: o.Settle, started: time.Now()}
	for _, s := range sections() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		r.section = s.name
		start := time.Now()
		if err := s.run(r); err != nil {
			// The other sections still run and are reported.
			fmt.Fprintf(os.Stderr, "capacity: section %s: %v\n", s.name, err)
			r.failures = append(r.failures, fmt.Sprintf("section %s: %v", s.name, err))
			failed = true
		}
		fmt.Printf("section %s took %.1f s\n", s.name, time.Since(start).Seconds())
	}
	if err := r.finish(os.Stdout, outputDirectory(o)); err != nil {
		fmt.Fprintf(os.Stderr, "capacity: %v\n", err)
		os.Exit(2)
	}
	switch {
	case failed:
		os.Exit(2)
	case r.missed():
		os.Exit(1)
	}
}

// outputDirectory keeps a partial run from replacing the results of a full one.
func outputDirectory(o options) string {
	if o.Out == "" && len(o.Only) == 0 && !o.Quick {
		return "docs/capacity"
	}
	return o.Out
}
