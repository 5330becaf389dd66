// Command membership measures the membership of daemons: bytes, messages, CPU
// time, memory and convergence times. With -way real, members in this process
// talk over loopback gRPC. With -way sim, the decision code runs on a fake
// clock and an in-memory transport. With -way store, a member list in a
// key-value store is simulated.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type options struct {
	Way        string `enum:"real,sim,store" default:"real" help:"What to measure: real, sim or store."`
	Size       int    `default:"7" help:"Number of members."`
	Neighbours int    `default:"3" help:"Probe targets of each member; size-1 gives full mesh heartbeats."`
	Seconds    int    `default:"15" help:"Length of the steady-state measurement in seconds."`
	Settle     int    `default:"30" help:"Simulated seconds between the start and the steady state; used by sim."`
	Overhead   int    `default:"0" help:"Bytes of gRPC framing for each call, from a real run; used by sim and store."`
}

func main() {
	var o options
	kong.Parse(&o)
	run := map[string]func(options) error{"real": measureReal, "sim": measureSim, "store": measureStore}[o.Way]
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func report(name string, format string, args ...any) {
	fmt.Printf("%-32s %s\n", name, fmt.Sprintf(format, args...))
}
