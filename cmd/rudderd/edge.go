package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/dogwoodrudder/dogwoodrudder/internal/decisionlog"
	"github.com/dogwoodrudder/dogwoodrudder/internal/edge"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/platform"
)

// edgeCmd is the command that runs the daemon of a deployment on the users'
// platform.
type edgeCmd struct {
	Settings string `required:"" env:"DOGWOODRUDDER_CONFIG" help:"INI file with the daemon's settings." type:"existingfile"`
}

const (
	// gcPercent is the GOGC value. It is below the default of 100, which saves
	// memory on small machines and costs processor time.
	gcPercent = 60
	// memoryLimitShare is the soft memory limit of the Go runtime (GOMEMLIMIT) as
	// a share of the machine's memory.
	memoryLimitShare = 0.6
)

// Run serves until SIGTERM or SIGINT. It then writes the log lines that are still
// queued.
func (c *edgeCmd) Run() error {
	s, err := settings.LoadEdge(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return err
	}
	logWriter := decisionlog.New(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = logWriter.Run(logCtx) // returns only when logCtx ends
	}()
	defer func() {
		stopLog()
		<-written
	}()
	log := logWriter.Logger(level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go logReloads(ctx, log)
	return edge.New(s, platformOf(s), log).Run(ctx)
}

// logReloads logs that a SIGHUP has no effect. The settings of a daemon don't
// change while it runs: what operators can change at run time is in the store.
func logReloads(ctx context.Context, log *slog.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			log.Info("settings unchanged until the next start", "signal", "SIGHUP")
		}
	}
}

// platformOf connects package platform to the interfaces of the edge daemon.
func platformOf(s *settings.Edge) edge.Platform {
	return edge.Platform{
		Store: platform.NewStore(s.StoreAddress), Cloud: platform.NewCloud(s.CloudAddress, s.Name),
		Reader: platform.Reader{}, Headers: platform.Headers{},
		Ready: platform.ReadyHandler, Directory: platform.DirectoryHandler,
	}
}

// edgeCheckCmd is the command that checks the settings of an edge daemon.
type edgeCheckCmd struct {
	File string `arg:"" help:"INI file." type:"existingfile"`
}

// Run checks the settings file.
func (c *edgeCheckCmd) Run() error {
	if _, err := settings.LoadEdge(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.File)
	return nil
}
