// Package cli implements the commands of rudderctl.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Exit codes of rudderctl.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the daemon answered with an error
	ExitUsage       = 2 // bad arguments or an invalid file
	ExitUnreachable = 3 // no daemon answered
	ExitConflict    = 4 // the object was changed in the meantime, or another move conflicts
	ExitUnknown     = 5 // the outcome of the call is unknown
)

// Globals holds the flags that every command has.
type Globals struct {
	Settings string   `help:"INI file with section [client] and keys addresses, key." type:"existingfile" env:"RUDDER_SETTINGS"`
	Address  []string `help:"Daemon address, ip:port; may be repeated." env:"RUDDER_ADDRESS"`
	Key      string   `help:"Key of a client account." env:"RUDDER_KEY"`
	Output   string   `short:"o" help:"Output format: ${enum}." enum:"json,table" default:"table"`
	Timeout  string   `help:"Time limit of a request." default:"10s"`

	out    io.Writer
	errOut io.Writer
}

type commands struct {
	Globals

	Apply    applyCmd    `cmd:"" help:"Create or update the objects of a file."`
	Validate validateCmd `cmd:"" help:"Check the objects of a file against the configuration in force."`
	Get      getCmd      `cmd:"" help:"Show objects."`
	Delete   deleteCmd   `cmd:"" help:"Delete an object."`
	Move     moveCmd     `cmd:"" help:"Shift traffic between versions."`
	Audit    auditCmd    `cmd:"" help:"Show the audit trail, newest first."`
	Status   statusCmd   `cmd:"" help:"Show the state of a daemon, its peers and upstreams."`
	Drain    drainCmd    `cmd:"" help:"Drain a daemon or an upstream."`
	Explain  explainCmd  `cmd:"" help:"Find the cause of a request's outcome in the logs of the daemons."`
	Charts   chartsCmd   `cmd:"" help:"Print the statecharts as DOT graphs."`
	Where    whereCmd    `cmd:"" help:"Ask which daemon addresses to use."`
	Chat     chatCmd     `cmd:"" help:"Send a chat completion request and print the answer."`
	Call     callCmd     `cmd:"" help:"Call an application service."`
	HashKey  hashKeyCmd  `cmd:"" help:"Print the hash of a key read from standard input."`
	Bench    benchCmd    `cmd:"" help:"Work with benchmark results."`
}

const description = `Command line of dogwoodrudder for operators and callers.

Examples:
  rudderctl --address 127.0.1.1:8080 apply -f examples/objects.yaml
  rudderctl get Upstream --selector service=appraisal
  rudderctl move start to-v2 --service appraisal --from v1 --to v2 --within 10m
  rudderctl audit --limit 20 -o json
  rudderctl call shop POST /reservations --data '{"item":"116610"}' --order

Exit codes: 0 success, 1 error from the daemon, 2 bad arguments or file,
3 no daemon reachable, 4 conflict, 5 outcome unknown.`

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c, kong.Name("rudderctl"), kong.Description(description),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exit = code }),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "rudderctl:", err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "rudderctl:", err)
		return ExitUsage
	}
	c.out, c.errOut = out, errOut
	if err := parsed.Run(&c.Globals); err != nil {
		_, _ = fmt.Fprintln(errOut, "rudderctl:", err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode maps the result code and the execution state of an error to an exit
// code.
func exitCode(err error) int {
	e := result.From(err)
	switch {
	case e.Code == result.PeerUnreachable:
		return ExitUnreachable
	case e.Code == result.InvalidObject || e.Code == result.BadRequest || e.Code == result.ReferenceBroken ||
		e.Code == result.SelectorConflict:
		return ExitUsage
	case e.Code == result.Conflict || e.Code == result.MoveConflict:
		return ExitConflict
	case e.Execution == result.Unknown && e.Code != result.Internal:
		return ExitUnknown
	}
	return ExitFailed
}
