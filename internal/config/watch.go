package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// headCheckInterval is the interval between reads of the head during a watch.
	// They detect a store that was restored with old data; 40 watching daemons
	// make 4 reads/s.
	headCheckInterval = 10 * time.Second
	// watchCheckInterval is the interval between calls of Options.ShouldWatch.
	watchCheckInterval = time.Second
	// Bounds of the backoff before a watch is started again. It is randomised, so
	// that the daemons do not reconnect at the same time.
	minWatchBackoff = 500 * time.Millisecond
	maxWatchBackoff = 20 * time.Second
)

// WatchStore runs until ctx ends and returns its error. While Options.ShouldWatch
// returns true, it watches the store and applies its changes.
func (m *Manager) WatchStore(ctx context.Context) error {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		wait := watchCheckInterval
		if m.opts.ShouldWatch() {
			started := m.opts.Clock.Now()
			err := m.watchOnce(ctx)
			if ctx.Err() != nil {
				break
			}
			if err != nil {
				m.opts.Logger.Warn("store watch ended", "code", int(result.CodeOf(err)), "error", err)
			}
			if m.opts.Clock.Since(started) > maxWatchBackoff {
				backoff = minWatchBackoff
			}
			wait = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxWatchBackoff)
		}
		select {
		case <-m.opts.Clock.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// watchOnce reads the missing changes and watches the store until the watch fails
// or Options.ShouldWatch returns false.
func (m *Manager) watchOnce(ctx context.Context) error {
	after, err := m.syncHead(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := m.opts.Store.Watch(ctx, audit.ChangePrefix, after)
	headTicker := m.opts.Clock.NewTicker(headCheckInterval)
	defer headTicker.Stop()
	watchTicker := m.opts.Clock.NewTicker(watchCheckInterval)
	defer watchTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch, ok := <-batches:
			if !ok {
				return storeError(store.ErrUnavailable, "continue the watch")
			}
			if err := m.handleBatch(ctx, batch); err != nil {
				return err
			}
		case <-headTicker.Chan():
			if _, err := m.syncHead(ctx); err != nil {
				return err
			}
		case <-watchTicker.Chan():
			if !m.opts.ShouldWatch() {
				return nil
			}
		}
	}
}

// syncHead reads the head, applies missing changes and returns the store's
// own revision at which the head was read.
func (m *Manager) syncHead(ctx context.Context) (int64, error) {
	before := m.localState()
	kvs, storeRevision, err := m.opts.Store.List(ctx, headKey)
	if err != nil {
		return 0, storeError(err, "read the head")
	}
	var h head
	for _, kv := range kvs {
		if kv.Key != headKey {
			continue
		}
		if h, err = decodeHead(kv); err != nil {
			return 0, result.Wrap(err, result.Internal, result.NotRun, "the store's head cannot be decoded")
		}
	}
	if err := m.checkHead(h, before); err != nil {
		return 0, err
	}
	return storeRevision, m.catchUp(ctx, h)
}

// handleBatch applies the changes in a batch of watch events.
func (m *Manager) handleBatch(ctx context.Context, batch store.WatchBatch) error {
	if batch.Err != nil {
		return storeError(batch.Err, "continue the watch")
	}
	for _, event := range batch.Events {
		if event.Deleted {
			continue // old records are deleted when the audit trail is trimmed
		}
		if err := m.applyStored(event.KeyValue); err != nil {
			return err
		}
	}
	m.recordWatchContact()
	if m.hasPending() {
		_, err := m.syncHead(ctx)
		return err
	}
	return nil
}

// recordWatchContact records that the watch has delivered events.
func (m *Manager) recordWatchContact() {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.store.LastContact = m.opts.Clock.Now()
	m.store.Revision = max(m.store.Revision, m.Current().Revision)
}

// hasPending reports whether changes are pending because others are missing.
func (m *Manager) hasPending() bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return len(m.pending) > 0
}
