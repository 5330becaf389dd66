// Package duty runs the background loops of a daemon, each on one worker of an ants
// goroutine pool.
package duty

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// restartDelay is the pause before a duty is restarted. It keeps a duty that fails
// at once from using a whole core.
const restartDelay = time.Second

// Duty is a named background loop. Run should return only when ctx ends; if it
// returns earlier, the Runner restarts it after restartDelay.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Runner runs duties and restarts those that return early.
type Runner struct {
	pool  *ants.Pool
	clock clockwork.Clock
	log   *slog.Logger
	wait  sync.WaitGroup
}

// NewRunner returns a runner with the given number of workers. Each duty occupies
// one worker until its context ends, so workers is the maximum number of duties.
func NewRunner(workers int, clock clockwork.Clock, log *slog.Logger) (*Runner, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, errors.Wrap(err, "create duty pool")
	}
	return &Runner{pool: pool, clock: clock, log: log}, nil
}

// Start runs a duty in the background until ctx ends. It returns an error if all
// workers are occupied.
func (r *Runner) Start(ctx context.Context, d Duty) error {
	r.wait.Add(1)
	err := r.pool.Submit(func() {
		defer r.wait.Done()
		r.loop(ctx, d)
	})
	if err != nil {
		r.wait.Done()
		return errors.Wrapf(err, "start duty %s", d.Name)
	}
	return nil
}

func (r *Runner) loop(ctx context.Context, d Duty) {
	restarts := metrics.GetOrCreateCounter(`rudder_duty_restarts_total{duty="` + d.Name + `"}`)
	for {
		err := runRecovered(ctx, d)
		if ctx.Err() != nil {
			return
		}
		restarts.Inc()
		r.log.Warn("duty returned early and is restarted after a pause", "duty", d.Name, "error", errorText(err))
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(restartDelay):
		}
	}
}

// runRecovered runs a duty once and returns a panic as an error with its stack. A
// panic in one duty must not end the others.
func runRecovered(ctx context.Context, d Duty) (err error) {
	defer func() {
		if value := recover(); value != nil {
			metrics.GetOrCreateCounter(`rudder_panics_total{where="` + d.Name + `"}`).Inc()
			err = errors.Errorf("panic: %v\n%s", value, debug.Stack())
		}
	}()
	return d.Run(ctx)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Wait waits until all duties have ended, and releases the pool.
func (r *Runner) Wait() {
	r.wait.Wait()
	r.pool.Release()
}
