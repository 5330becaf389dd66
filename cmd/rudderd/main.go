// Command rudderd is the daemon that runs on each entry instance.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/dogwoodrudder/dogwoodrudder/internal/daemon"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
)

// commands holds the subcommands of rudderd.
type commands struct {
	Run           runCmd       `cmd:"" help:"Run the daemon until SIGTERM."`
	Edge          edgeCmd      `cmd:"" help:"Run the daemon of a deployment on the users' platform until SIGTERM."`
	CheckSettings checkCmd     `cmd:"" help:"Check a settings file and exit."`
	CheckEdge     edgeCheckCmd `cmd:"" help:"Check the settings file of an edge daemon and exit."`
}

// runCmd is the command that runs the daemon.
type runCmd struct {
	Settings string `required:"" help:"INI file with the daemon's settings." type:"existingfile"`
}

// Run runs the daemon until SIGTERM or SIGINT.
func (r *runCmd) Run() error {
	s, err := settings.Load(r.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, logger(s.Log.Level))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

// checkCmd is the command that checks the settings of a daemon.
type checkCmd struct {
	File string `arg:"" help:"INI file." type:"existingfile"`
}

// Run checks the settings file.
func (c *checkCmd) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.File)
	return nil
}

// logger returns a logger to standard error, with level info if the level is not
// valid.
func logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("rudderd"), kong.Description("Daemon of dogwoodrudder.\n\nExample:\n  rudderd run --settings examples/rudderd-a.ini"))
	parsed.FatalIfErrorf(parsed.Run())
}
