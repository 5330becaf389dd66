// Package mirror keeps a copy of a part of the platform's store in memory
// through one list and one long poll. The copy carries the time at which it was last
// proved to be current, so that readers can stop trusting it.
package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// minRetry and maxRetry bound the wait after a failed call.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// relayCheck is the time between two looks at the proofs that come through
	// another daemon.
	relayCheck = 100 * time.Millisecond
	// listTimeout bounds a list, which may have several pages.
	listTimeout = 2 * time.Second
	// pollSlack is how long the answer of a poll may come after its wait ended.
	pollSlack = 700 * time.Millisecond
	// lapseGrace is how long entries that vanished around an outage stay: their
	// owners write them again within about 2 s after the store's return.
	lapseGrace = 2300 * time.Millisecond
	// leastOutage is the shortest outage in which an entry can lapse: owners
	// write about every second, and an entry lapses after three missed writes.
	leastOutage = 1500 * time.Millisecond
)

// Poller asks for changes with a bounded wait.
type Poller interface {
	store.Store
	// Poll returns the changes below prefix after a revision, waiting up to
	// wait for the first one, and the revision to go on from. It returns
	// store.ErrCompacted if the history has gone.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error)
}

// Change is one change of a key.
type Change struct {
	store.KeyValue
	Deleted bool
}

// Config holds the parameters of a Mirror.
type Config struct {
	Store Poller
	Log   *slog.Logger
	// Prefix selects the keys of the copy. Keys that change often and that no
	// reader needs stay outside, because each change ends every daemon's poll.
	Prefix string
	// Wait returns the longest wait of a poll. A proof is at most that old while
	// the store answers.
	Wait func() time.Duration
	// Pause returns the wait between two polls, so that a burst of changes costs few calls.
	Pause func() time.Duration
	// Now returns the time since some fixed moment, counting suspensions.
	Now func() time.Duration
	// Lenient reports whether the removal of a key is applied late when it may
	// be a consequence of an outage.
	Lenient func(key string) bool
	// OnContactChange is called when a call fails, and when the first one after it
	// succeeds: polls that were sent in between may never be answered. It must
	// not block.
	OnContactChange func()
	// OnChange is called for each change in revision order. It must not block.
	OnChange func(Change)
}

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	config Config

	mu       sync.RWMutex
	changes  []applied // the newest changes, oldest first
	index    int64     // number of changes applied so far
	items    map[string]store.KeyValue
	removals map[string]removal
	revision int64

	proof  atomic.Int64 // Now() at which the copy was current; 0 means never
	outage atomic.Int64 // Now() of the latest failed call
	// outageFrom is Now() of the first failed call of the latest outage.
	outageFrom atomic.Int64
	synced     atomic.Bool
	// failing tells that the latest call got no answer.
	failing atomic.Bool
	// relayed is Now() of the latest proof that came through another daemon.
	relayed atomic.Int64
	// interrupts ends the poll that waits.
	interrupts chan struct{}
}

// removal is a deletion that waits for the entry to come back.
type removal struct {
	due      time.Duration
	revision int64
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	return &Mirror{
		config: config, items: map[string]store.KeyValue{}, removals: map[string]removal{},
		interrupts: make(chan struct{}, 1),
	}
}

// Age returns how long ago the copy was proved current, and false if it never was.
func (m *Mirror) Age() (time.Duration, bool) {
	proof := time.Duration(m.proof.Load())
	if proof == 0 {
		return 0, false
	}
	return m.config.Now() - proof, true
}

// Synced reports whether the first list was read.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Revision returns the store revision of the copy.
func (m *Mirror) Revision() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// LastChange returns the highest revision of an entry of the copy.
func (m *Mirror) LastChange() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var last int64
	for _, kv := range m.items {
		last = max(last, kv.ModRevision)
	}
	return last
}

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (store.KeyValue, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	kv, ok := m.items[key]
	return kv, ok
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	retry := minRetry
	listed := false
	for ctx.Err() == nil {
		if listed && m.Relayed() {
			duty.Sleep(ctx, relayCheck)
			m.applyRemovals()
			continue
		}
		var err error
		if !listed {
			err = m.list(ctx)
			listed = err == nil
		} else {
			err = m.poll(ctx)
			if errors.Is(err, store.ErrCompacted) {
				m.config.Log.Warn("store history lost, list again", "revision", m.Revision())
				listed = false
				err = nil
			}
		}
		pause := m.config.Pause()
		if err != nil && ctx.Err() == nil {
			if m.outage.Load() <= m.proof.Load() {
				m.config.Log.Warn("dependency lost", "dependency", "store", "prefix", m.config.Prefix, "error", err)
				m.outageFrom.Store(int64(m.config.Now()))
			}
			m.outage.Store(int64(m.config.Now()))
			m.failing.Store(true)
			if m.config.OnContactChange != nil {
				m.config.OnContactChange()
			}
			pause = retry + rand.N(retry)
			retry = min(retry*2, maxRetry)
		} else {
			retry = minRetry
		}
		duty.Sleep(ctx, pause)
		m.applyRemovals()
	}
	return ctx.Err()
}

// list replaces the copy. Entries that are absent from the list are deleted.
// Pages aren't a snapshot, so that the poll goes on from the revision of the
// first page, and an entry is never replaced by an older one.
func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := m.config.Now()
	entries, revision, err := m.config.Store.List(ctx, m.config.Prefix)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	var changes []Change
	m.mu.Lock()
	for _, kv := range entries {
		present[kv.Key] = true
		changes = m.put(changes, kv)
	}
	for key, kv := range m.items {
		if !present[key] && kv.ModRevision <= revision {
			changes = m.remove(changes, key, revision)
		}
	}
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	m.publish(changes)
	m.prove(sent)
	m.synced.Store(true)
	return nil
}

// poll waits for changes and applies them.
func (m *Mirror) poll(ctx context.Context) error {
	wait := m.config.Wait()
	if due, pending := m.nextRemoval(); pending {
		wait = min(wait, max(due-m.config.Now(), m.config.Pause()))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	after := m.Revision()
	sent := m.config.Now()
	finished := make(chan struct{})
	defer close(finished)
	go m.interruptible(cancel, finished)
	events, revision, err := m.config.Store.Poll(ctx, m.config.Prefix, after, wait)
	if err != nil {
		return err
	}
	var changes []Change
	m.mu.Lock()
	for _, event := range events {
		if event.Deleted {
			changes = m.remove(changes, event.Key, event.ModRevision)
		} else {
			changes = m.put(changes, event.KeyValue)
		}
	}
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	m.publish(changes)
	m.prove(provedAt(sent, m.config.Now(), wait, len(events)))
	return nil
}

// provedAt returns the time at which a poll has shown the copy to be current.
// An answer without changes was made when the wait was over, as the store
// answers at once when there is one; the wait began after the call was sent.
func provedAt(sent, answered, wait time.Duration, events int) time.Duration {
	if events == 0 && answered-sent >= wait {
		return sent + wait
	}
	return sent
}

// Interrupt ends the poll that waits, because its connection may be dead.
func (m *Mirror) Interrupt() {
	select {
	case m.interrupts <- struct{}{}:
	default:
	}
}

// interruptible calls cancel at an interrupt, until the poll has finished.
func (m *Mirror) interruptible(cancel context.CancelFunc, finished <-chan struct{}) {
	select {
	case <-m.interrupts:
		cancel()
	case <-finished:
	}
}

func (m *Mirror) prove(sent time.Duration) {
	regained := m.outage.Load() > m.proof.Load()
	m.proof.Store(int64(sent))
	m.failing.Store(false)
	if !regained {
		return
	}
	m.config.Log.Info("dependency regained", "dependency", "store", "revision", m.Revision())
	if m.config.OnContactChange != nil {
		m.config.OnContactChange()
	}
}

// Failing reports whether the latest call to the store got no answer.
func (m *Mirror) Failing() bool { return m.failing.Load() }

func (m *Mirror) put(changes []Change, kv store.KeyValue) []Change {
	delete(m.removals, kv.Key)
	if old, ok := m.items[kv.Key]; ok && old.ModRevision >= kv.ModRevision {
		return changes
	}
	m.items[kv.Key] = kv
	m.record(kv.Key)
	return append(changes, Change{KeyValue: kv})
}

func (m *Mirror) remove(changes []Change, key string, revision int64) []Change {
	kv, ok := m.items[key]
	if !ok || kv.ModRevision > revision {
		return changes
	}
	if m.config.Lenient != nil && m.config.Lenient(key) && m.afterOutage() {
		if _, waiting := m.removals[key]; !waiting {
			m.removals[key] = removal{due: time.Duration(m.outage.Load()) + lapseGrace, revision: revision}
		}
		return changes
	}
	delete(m.items, key)
	delete(m.removals, key)
	m.record(key)
	return append(changes, Change{KeyValue: store.KeyValue{Key: key, ModRevision: revision}, Deleted: true})
}

// afterOutage reports whether the store failed shortly before, for long enough
// that entries may have lapsed. The caller need not hold the lock.
func (m *Mirror) afterOutage() bool {
	outage, from := time.Duration(m.outage.Load()), time.Duration(m.outageFrom.Load())
	return outage != 0 && m.config.Now()-outage < lapseGrace && m.config.Now()-from > leastOutage
}

func (m *Mirror) nextRemoval() (time.Duration, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var next time.Duration
	for _, r := range m.removals {
		if next == 0 || r.due < next {
			next = r.due
		}
	}
	return next, len(m.removals) > 0
}

// applyRemovals deletes the entries that didn't come back.
func (m *Mirror) applyRemovals() {
	now := m.config.Now()
	var changes []Change
	m.mu.Lock()
	for key, r := range m.removals {
		if now < r.due {
			continue
		}
		delete(m.removals, key)
		if kv, ok := m.items[key]; ok && kv.ModRevision <= r.revision {
			delete(m.items, key)
			m.record(key)
			changes = append(changes, Change{KeyValue: store.KeyValue{Key: key, ModRevision: r.revision}, Deleted: true})
		}
	}
	m.mu.Unlock()
	m.publish(changes)
}

func (m *Mirror) publish(changes []Change) {
	for _, c := range changes {
		m.config.OnChange(c)
	}
}
