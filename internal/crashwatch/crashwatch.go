// Package crashwatch tells crashes of instances from other ends of connections, and
// passes the requests that an instance was running when it crashed to a crashguard.Guard.
package crashwatch

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

const (
	// probeTimeout bounds the connection attempt that tells whether an instance is alive.
	// It leaves time for a way through another daemon if this one has lost its links.
	probeTimeout = time.Second
	// settleTime is how long the end of a connection may come before the end of the listener
	// when a process is killed. The system closes the connections first, one after the other.
	settleTime = 5 * time.Millisecond
	// crashRetention is how long a crash applies to further requests that break off at the same
	// incarnation of an instance.
	crashRetention = time.Second
	// maxInvestigations bounds the incarnations that are remembered at a time.
	maxInvestigations = 256
	// maxRequests bounds the requests that are collected for one crash.
	maxRequests = 64
	// maxLoggedParts bounds the parts of prompts in a log line.
	maxLoggedParts = 16
)

// Config holds the parameters of a Watch.
type Config struct {
	Log *slog.Logger
	Now func() time.Duration // monotonic, includes time in suspension
	// Connect returns an error if the instance at address accepts no connection. One that
	// wraps exchange.ErrLinksLost tells nothing about the instance.
	Connect func(ctx context.Context, address string) error
	// Alive is Connect that also reports whether the process of the instance is proved to
	// run. Without a proof, the connection may have been accepted by its system alone. The
	// error wraps exchange.ErrReset if it was reset.
	Alive func(ctx context.Context, address string) (proved bool, err error)
	// Serving reports whether the instance is expected to serve. One that announced its
	// end doesn't crash.
	Serving func(fleet.Description) bool
	// OnCrash is called with the error of Connect when an instance was found to accept no
	// connection, if it isn't nil. It must not block.
	OnCrash func(fleet.Description, error)
	// Guard receives the requests that broke off in crashes, and those that completed.
	Guard *crashguard.Guard
}

// Watch investigates why requests broke off. It is safe for concurrent use.
type Watch struct {
	config Config

	mu             sync.Mutex
	investigations map[subject]*Investigation
	broke          map[incarnation]time.Duration // when a request last broke off
}

// incarnation identifies one start of an instance.
type incarnation struct {
	id      string
	number  int64
	address string
}

// subject is what an investigation is about. An instance that has announced its end doesn't
// crash.
type subject struct {
	incarnation
	leaving bool
}

func incarnationOf(d fleet.Description) incarnation {
	return incarnation{d.ID, d.Incarnation, d.Address}
}

// Investigation is the search for the reason why requests broke off at one incarnation
// of an instance.
type Investigation struct {
	began    time.Duration        // when the first request broke off, or its reply ended
	leaving  bool                 // the instance had announced its end
	requests []crashguard.Request // not yet passed to the Guard
	done     chan struct{}        // closed when the reason is known
	reason   Reason               // valid when done is closed
	ofEnd    bool                 // by investigateEnd; valid when done is closed
	err      error                // of Connect; valid when done is closed
}

// Reason is why requests broke off.
type Reason int

// Reasons.
const (
	// Unknown means that the instance had announced its end, that it was not examined, or
	// that this daemon has lost its links to all instances.
	Unknown Reason = iota
	// Alive means that the instance accepts connections: only the request failed.
	Alive
	// Crashed means that the instance accepts no connection.
	Crashed
)

// unexamined is the investigation of instances that are not examined.
var unexamined = func() *Investigation {
	i := &Investigation{done: make(chan struct{})}
	close(i.done)
	return i
}()

// Wait waits until the reason is known or ctx ends.
func (i *Investigation) Wait(ctx context.Context) Reason {
	select {
	case <-i.done:
		return i.reason
	case <-ctx.Done():
		return Unknown
	}
}

func (i *Investigation) isDone() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// New returns a Watch without investigations.
func New(config Config) *Watch {
	return &Watch{config: config, investigations: map[subject]*Investigation{}, broke: map[incarnation]time.Duration{}}
}

// Refuses reports whether a request must not be sent, as Guard.Refuses does.
func (w *Watch) Refuses(r crashguard.Request, repeat bool) (bool, time.Duration) {
	return w.config.Guard.Refuses(r, repeat)
}

// Completed records a request whose reply has ended without an error. If the reply isn't
// proved to be whole, its end may as well be that of the instance, so that the instance must
// still accept connections.
func (w *Watch) Completed(instance fleet.Description, r crashguard.Request, proved bool) {
	if !r.HasPrompt() {
		return
	}
	if proved {
		w.config.Guard.Completed(r)
		return
	}
	i := w.search(instance, r)
	go func() {
		if i.Wait(context.Background()) == Alive {
			w.config.Guard.Completed(r)
		}
	}()
}

// Broke records that the connection of a request to an instance ended without a
// complete reply, and begins to find out why. An instance that accepts a new connection is
// alive.
func (w *Watch) Broke(instance fleet.Description, r crashguard.Request) *Investigation {
	w.recordBreak(instance)
	return w.search(instance, r)
}

// search begins to find out whether an instance that has ended a connection crashed on the
// request.
func (w *Watch) search(instance fleet.Description, r crashguard.Request) *Investigation {
	if !r.HasPrompt() || !w.config.Serving(instance) {
		return unexamined
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	crashed := func(i *Investigation) bool { return i.reason == Crashed }
	i := w.examine(subject{incarnation: incarnationOf(instance)}, crashed, func(i *Investigation) { w.investigateAgain(instance, i) })
	switch {
	case i == unexamined:
	case i.isDone():
		w.config.Guard.Crashed(crashguard.CrashID(instance.ID, instance.Incarnation), i.began, []crashguard.Request{r})
	case len(i.requests) < maxRequests:
		i.requests = append(i.requests, r)
	}
	return i
}

// recordBreak remembers when a request broke off at an instance.
func (w *Watch) recordBreak(instance fleet.Description) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Now()
	for other, at := range w.broke {
		if now-at > crashRetention {
			delete(w.broke, other)
		}
	}
	if len(w.broke) < maxInvestigations {
		w.broke[incarnationOf(instance)] = now
	}
}

// examine returns the investigation of a subject: the one in progress, the last one if it has
// ended and tells enough, or a new one, which it carries out by find. The caller holds the lock.
func (w *Watch) examine(s subject, tellsEnough func(*Investigation) bool, find func(*Investigation)) *Investigation {
	now := w.config.Now()
	for other, i := range w.investigations {
		if now-i.began > crashRetention {
			delete(w.investigations, other)
		}
	}
	i := w.investigations[s]
	if i != nil && (!i.isDone() || tellsEnough(i)) {
		return i
	}
	if i == nil && len(w.investigations) >= maxInvestigations {
		return unexamined
	}
	i = &Investigation{began: now, leaving: s.leaving, done: make(chan struct{})}
	w.investigations[s] = i
	go find(i)
	return i
}

// investigateAgain connects to an instance at which a request broke off, at once, and once
// more if it accepts the connection.
func (w *Watch) investigateAgain(instance fleet.Description, i *Investigation) {
	if err := w.connect(instance); err != nil {
		w.conclude(instance, i, err)
		return
	}
	w.investigate(instance, i)
}

// investigate connects to an instance when a listener that ends with its connections has
// ended too.
func (w *Watch) investigate(instance fleet.Description, i *Investigation) {
	time.Sleep(settleTime)
	w.conclude(instance, i, w.connect(instance))
}

func (w *Watch) connect(instance fleet.Description) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return w.config.Connect(ctx, instance.Address)
}

// conclude ends an investigation with the result of Connect.
func (w *Watch) conclude(instance fleet.Description, i *Investigation, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(i.done)
	i.err = err
	switch {
	case err == nil:
		i.reason = Alive
	case errors.Is(err, exchange.ErrLinksLost):
		i.reason = Unknown
	default:
		i.reason = Crashed
		if !i.leaving {
			w.recordCrash(instance, i)
		}
	}
}

// recordCrash records the crash that an investigation has found. The caller holds the lock.
func (w *Watch) recordCrash(instance fleet.Description, i *Investigation) {
	if w.config.OnCrash != nil {
		w.config.OnCrash(instance, i.err)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_instance_crashes_total{service=%q}", instance.Service)).Inc()
	w.config.Log.Warn("instance crashed", "instance", instance.ID, "service", instance.Service, "version", instance.Version,
		"requests", len(i.requests), "parts", parts(i.requests), "error", i.err)
	if len(i.requests) > 0 {
		w.config.Guard.Crashed(crashguard.CrashID(instance.ID, instance.Incarnation), i.began, i.requests)
	}
}

// parts returns the parts of the prompts of requests, for the log.
func parts(requests []crashguard.Request) []string {
	var parts []string
	for _, r := range requests {
		parts = append(parts, r.Parts...)
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), maxLoggedParts)]
}
