package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/decisionlog"
	"github.com/dogwoodrudder/dogwoodrudder/internal/edge"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/platform"
)

// edgeCmd runs the daemon of deployments on the users' platform.
type edgeCmd struct {
	Settings string `required:"" env:"DOGWOODRUDDER_CONFIG" help:"INI file with the daemon's settings." type:"existingfile"`
}

const (
	// gcPercent trades processor time for memory on small machines.
	gcPercent = 60
	// memoryShare of the machine's memory is the soft limit of the heap.
	memoryShare = 0.6
)

// Run serves until SIGTERM.
func (c *edgeCmd) Run() error {
	s, err := settings.LoadEdge(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return err
	}
	lines := decisionlog.New(os.Stdout)
	logCtx, endLog := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = lines.Run(logCtx) // ends with its context
	}()
	defer func() {
		endLog()
		<-written
	}()
	log := lines.Logger(level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go logReloads(ctx, log)
	return edge.New(s, platformOf(s), log).Run(ctx)
}

// logReloads notes SIGHUP. All settings of a running daemon hold until its end:
// what operators change while it runs is in the store.
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

func platformOf(s *settings.Edge) edge.Platform {
	return edge.Platform{
		Store: platform.NewStore(s.StoreAddress), Cloud: platform.NewCloud(s.CloudAddress, s.Name),
		Reader: platform.Reader{}, Headers: platform.Headers{},
		Ready: platform.ReadyHandler,
		Directory: func(addresses func(string, int) []string, ttl time.Duration) http.Handler {
			return platform.DirectoryHandler(addresses, ttl)
		},
	}
}

type edgeCheckCmd struct {
	File string `arg:"" help:"INI file." type:"existingfile"`
}

// Run checks the file.
func (c *edgeCheckCmd) Run() error {
	if _, err := settings.LoadEdge(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.File)
	return nil
}
