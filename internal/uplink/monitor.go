// Package uplink finds out whether a daemon has lost its links to all instances, while the
// instances themselves may be well.
package uplink

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
)

const (
	// sampleSize is the number of instances that are examined at a time.
	sampleSize = 5
	// resultLifetime is the time from the start of an examination for which its result is
	// used again.
	resultLifetime = 400 * time.Millisecond
	// recheckInterval is the pause between two examinations while the links are lost.
	recheckInterval = 500 * time.Millisecond
)

// Config holds the parameters of a Monitor.
type Config struct {
	Log *slog.Logger
	// Connect connects to an instance directly and closes the connection.
	Connect func(ctx context.Context, address string) error
	// Sample returns the addresses of up to n instances of different services.
	Sample func(n int) []string
	// OnChange is called after the links were lost, and after they were restored. It must not
	// block; nil means nothing.
	OnChange func()
}

// Monitor tracks whether instances can be reached. It examines them only after a
// connection to one has failed. It is safe for concurrent use.
type Monitor struct {
	config Config
	lost   atomic.Bool
	// hanging tells that connections to instances got no answer when the links were lost.
	hanging atomic.Bool

	mu          sync.Mutex
	connected   time.Time    // start of the latest attempt to connect that succeeded
	examination *examination // the latest one; nil if there was none
}

// examination is an attempt to connect to some instances.
type examination struct {
	began   time.Time
	done    chan struct{} // closed when reached is known
	reached bool
	refused int
	// addresses are those of the instances that are tried.
	addresses []string
}

// New returns a monitor that assumes that instances can be reached.
func New(config Config) *Monitor { return &Monitor{config: config} }

// Lost reports whether no instance can be reached.
func (m *Monitor) Lost() bool { return m.lost.Load() }

// Hanging reports whether connections to instances get no answer, so that those made
// before are probably unusable too.
func (m *Monitor) Hanging() bool { return m.lost.Load() && m.hanging.Load() }

// Connected records that an attempt to connect to an instance, begun at a time, succeeded.
func (m *Monitor) Connected(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.After(m.connected) {
		m.connected = began
	}
}

// Confirm reports whether the links are lost, after an attempt to connect to the instance at
// address, begun at a time, has failed. It examines other instances and waits for the result,
// unless a later attempt shows it. Without other instances, the links don't count as lost.
func (m *Monitor) Confirm(ctx context.Context, address string, began time.Time) bool {
	if m.lost.Load() {
		return true
	}
	e := m.examine(address, began)
	if e == nil {
		return false
	}
	select {
	case <-e.done:
		return !e.reached
	case <-ctx.Done():
		return false
	}
}

// examine returns the examination that applies to a failure, or nil if a later attempt to
// connect has succeeded.
func (m *Monitor) examine(address string, began time.Time) *examination {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.connected.After(began) {
		return nil
	}
	if e := m.examination; e != nil && now.Sub(e.began) < resultLifetime {
		return e
	}
	others := slices.DeleteFunc(m.config.Sample(sampleSize+1), func(other string) bool { return other == address })
	if len(others) == 0 {
		return nil
	}
	m.examination = &examination{began: now, addresses: others[:min(len(others), sampleSize)], done: make(chan struct{})}
	go m.run(m.examination)
	return m.examination
}

// run carries out an examination. If it reaches no instance, the links are lost until
// another one does.
func (m *Monitor) run(e *examination) {
	if m.try(e); m.connectedSince(e.began) {
		e.reached = true
	}
	if e.reached {
		m.Connected(e.began)
	} else {
		m.hanging.Store(e.refused < len(e.addresses))
		if m.lost.CompareAndSwap(false, true) {
			m.config.Log.Warn("links to instances lost", "tried", len(e.addresses), "refused", e.refused)
			m.changed()
			go m.awaitRestoration(e.began)
		}
	}
	close(e.done)
}

// connectedSince reports whether an attempt to connect that began after a time succeeded.
func (m *Monitor) connectedSince(began time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected.After(began)
}

func (m *Monitor) changed() {
	if m.config.OnChange != nil {
		m.config.OnChange()
	}
}

// awaitRestoration examines instances until one is reached.
func (m *Monitor) awaitRestoration(since time.Time) {
	for {
		time.Sleep(recheckInterval)
		e := &examination{began: time.Now(), addresses: m.config.Sample(sampleSize)}
		if m.try(e); !e.reached {
			m.hanging.Store(e.refused < len(e.addresses))
			continue
		}
		m.Connected(e.began)
		m.mu.Lock()
		m.examination = nil
		m.mu.Unlock()
		m.lost.Store(false)
		m.config.Log.Info("links to instances restored", "age", time.Since(since))
		m.changed()
		return
	}
}

// try connects to the instances of an examination at once. It returns when one is reached, or
// when none is.
func (m *Monitor) try(e *examination) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan error, len(e.addresses))
	for _, address := range e.addresses {
		go func() { results <- m.config.Connect(ctx, address) }()
	}
	for range e.addresses {
		err := <-results
		if err == nil {
			e.reached = true
			return
		}
		if errors.Is(err, exchange.ErrRefused) {
			e.refused++
		}
	}
}
