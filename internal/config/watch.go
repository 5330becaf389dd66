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
	// headCheckInterval is the pause between reads of the head during a watch.
	// They find a store that came back with old data; 40 watching daemons make
	// 4 reads/s.
	headCheckInterval = 10 * time.Second
	// watchCheckInterval is the pause between questions whether this daemon
	// watches.
	watchCheckInterval = time.Second
	// Pauses before a watch is started again, random to spread reconnects.
	minWatchPause = 500 * time.Millisecond
	maxWatchPause = 20 * time.Second
)

// WatchStore follows the store until ctx ends, whenever Options.Watches tells
// that this daemon watches. It returns the error of ctx.
func (m *Manager) WatchStore(ctx context.Context) error {
	pause := minWatchPause
	for ctx.Err() == nil {
		wait := watchCheckInterval
		if m.opts.Watches() {
			started := m.opts.Clock.Now()
			err := m.watchOnce(ctx)
			if ctx.Err() != nil {
				break
			}
			if err != nil {
				m.opts.Logger.Warn("store watch ended", "code", int(result.CodeOf(err)), "error", err)
			}
			if m.opts.Clock.Since(started) > maxWatchPause {
				pause = minWatchPause
			}
			wait = pause/2 + rand.N(pause)
			pause = min(2*pause, maxWatchPause)
		}
		select {
		case <-m.opts.Clock.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// watchOnce reads the missing changes and follows the store until the watch
// fails or this daemon no longer watches.
func (m *Manager) watchOnce(ctx context.Context) error {
	after, err := m.syncHead(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := m.opts.Store.Watch(ctx, audit.ChangePrefix, after)
	checkHead := m.opts.Clock.NewTicker(headCheckInterval)
	defer checkHead.Stop()
	checkDuty := m.opts.Clock.NewTicker(watchCheckInterval)
	defer checkDuty.Stop()
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
		case <-checkHead.Chan():
			if _, err := m.syncHead(ctx); err != nil {
				return err
			}
		case <-checkDuty.Chan():
			if !m.opts.Watches() {
				return nil
			}
		}
	}
}

// syncHead reads the head, applies missing changes and returns the store's
// revision at which the head was read.
func (m *Manager) syncHead(ctx context.Context) (int64, error) {
	before := m.known()
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
			return 0, result.Wrap(err, result.Internal, result.NotRun, "the store's head is unreadable")
		}
	}
	if err := m.checkHead(h, before); err != nil {
		return 0, err
	}
	return storeRevision, m.catchUp(ctx, h)
}

func (m *Manager) handleBatch(ctx context.Context, batch store.WatchBatch) error {
	if batch.Err != nil {
		return storeError(batch.Err, "continue the watch")
	}
	for _, event := range batch.Events {
		if event.Deleted {
			continue // records are deleted when they are trimmed
		}
		if err := m.applyStored(event.KeyValue); err != nil {
			return err
		}
	}
	m.noteWatched()
	if m.hasGap() {
		_, err := m.syncHead(ctx)
		return err
	}
	return nil
}

func (m *Manager) noteWatched() {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.store.LastContact = m.opts.Clock.Now()
	m.store.Revision = max(m.store.Revision, m.Current().Revision)
}

// hasGap reports whether changes are held because others are missing.
func (m *Manager) hasGap() bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return len(m.held) > 0
}
