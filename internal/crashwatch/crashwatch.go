// Package crashwatch tells crashes of instances from other ends of connections, and
// collects the requests that an instance was running when it crashed.
package crashwatch

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

const (
	// probeTimeout bounds the connection attempt that tells whether an instance is alive.
	probeTimeout = 300 * time.Millisecond
	// memory is how long the result of a probe applies to further requests that break off
	// at the same incarnation of an instance.
	memory = time.Second
	// maxInvestigations bounds the incarnations that are remembered at a time.
	maxInvestigations = 256
	// maxRequests bounds the requests that are collected for one crash.
	maxRequests = 64
	// maxLoggedParts bounds the parts of prompts in a log line.
	maxLoggedParts = 16
)

// Request is a request that broke off at an instance.
type Request struct {
	ID      string
	Account string   // empty if the route is public
	Parts   []string // IDs of the parts of its prompt that other requests may share
}

// Crash is the end of one incarnation of an instance that did not announce it.
type Crash struct {
	Instance fleet.Description
	// At is the time at which the first request broke off.
	At       time.Duration
	Requests []Request
}

// Config holds the parameters of a Watch.
type Config struct {
	Log *slog.Logger
	Now func() time.Duration // monotonic, includes time in suspension
	// Connect returns an error if the instance at address accepts no connection.
	Connect func(ctx context.Context, address string) error
	// Serving reports whether the instance is expected to serve. One that announced its
	// end doesn't crash.
	Serving func(fleet.Description) bool
	// OnCrash is called with each crash, and again with requests that turn out later to
	// have broken off in it.
	OnCrash func(Crash)
}

// Watch investigates why requests broke off. It is safe for concurrent use.
type Watch struct {
	config Config

	mu             sync.Mutex
	investigations map[incarnation]*investigation
}

// incarnation identifies one start of an instance.
type incarnation struct {
	id      string
	number  int64
	address string
}

// investigation is the search for the reason why requests broke off at an incarnation.
type investigation struct {
	began    time.Duration
	requests []Request     // not yet passed to OnCrash
	done     chan struct{} // closed when the reason is known
	crashed  bool          // valid when done is closed
}

// New returns a Watch without investigations.
func New(config Config) *Watch {
	return &Watch{config: config, investigations: map[incarnation]*investigation{}}
}

// Broke records that the connection of a request to an instance ended without a
// complete reply. The channel is closed when it is known whether the instance crashed.
func (w *Watch) Broke(instance fleet.Description, request Request) <-chan struct{} {
	if !w.config.Serving(instance) {
		return closed
	}
	key := incarnation{instance.ID, instance.Incarnation, instance.Address}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Now()
	for other, i := range w.investigations {
		if now-i.began > memory {
			delete(w.investigations, other)
		}
	}
	i := w.investigations[key]
	if i == nil {
		if len(w.investigations) >= maxInvestigations {
			return closed
		}
		i = &investigation{began: now, done: make(chan struct{})}
		w.investigations[key] = i
		go w.investigate(instance, i)
	}
	select {
	case <-i.done:
		if i.crashed {
			w.config.OnCrash(Crash{Instance: instance, At: i.began, Requests: []Request{request}})
		}
	default:
		if len(i.requests) < maxRequests {
			i.requests = append(i.requests, request)
		}
	}
	return i.done
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// investigate connects to an instance at which a request broke off. One that accepts
// the connection is alive, so that only the request failed.
func (w *Watch) investigate(instance fleet.Description, i *investigation) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := w.config.Connect(ctx, instance.Address)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(i.done)
	if i.crashed = err != nil && w.config.Serving(instance); !i.crashed {
		return
	}
	crash := Crash{Instance: instance, At: i.began, Requests: i.requests}
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_instance_crashes_total{service=%q}", instance.Service)).Inc()
	w.config.Log.Warn("instance crashed", "instance", instance.ID, "service", instance.Service, "version", instance.Version,
		"requests", len(crash.Requests), "parts", crash.parts(), "error", err)
	w.config.OnCrash(crash)
}

// parts returns the parts of the prompts of the requests.
func (c Crash) parts() []string {
	var parts []string
	for _, r := range c.Requests {
		parts = append(parts, r.Parts...)
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), maxLoggedParts)]
}
