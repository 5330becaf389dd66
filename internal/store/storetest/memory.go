// Package storetest provides an in-memory store for tests.
package storetest

import (
	"context"
	"maps"
	"sync"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// Memory is an in-memory store. It implements only Get and Txn; a call of another
// method panics. Txn supports puts but no deletes, and on failure returns only the
// entry of the first condition that doesn't hold.
type Memory struct {
	store.Store

	mu       sync.Mutex
	revision int64 // of the latest change
	items    map[string]store.KeyValue
	// loseNextReply makes the next successful transaction return ErrOutcomeUnknown.
	loseNextReply bool
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{revision: store.InGeneration(1, 1), items: map[string]store.KeyValue{}}
}

// LoseNextReply makes the next write take effect but return ErrOutcomeUnknown, as
// if its reply were lost.
func (m *Memory) LoseNextReply() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseNextReply = true
}

// Value returns the value of a key, nil if it doesn't exist.
func (m *Memory) Value(key string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key].Value
}

// Snapshot is a copy of the contents of a Memory.
type Snapshot struct {
	revision int64
	items    map[string]store.KeyValue
}

// Snapshot returns a copy of the contents.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{revision: m.revision, items: maps.Clone(m.items)}
}

// Restore replaces the contents with a copy. All revisions are of the next generation.
func (m *Memory) Restore(from Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	generation := store.Generation(m.revision) + 1
	m.revision = store.InGeneration(generation, store.Local(from.revision))
	m.items = map[string]store.KeyValue{}
	for key, kv := range from.items {
		kv.ModRevision = store.InGeneration(generation, store.Local(kv.ModRevision))
		m.items[key] = kv
	}
}

// Get implements store.Store.
func (m *Memory) Get(_ context.Context, key string) (store.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key], nil
}

// Txn implements store.Store.
func (m *Memory) Txn(_ context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range conditions {
		if m.items[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{Current: []store.KeyValue{m.items[c.Key]}}, nil
		}
	}
	m.revision++
	for _, op := range ops {
		m.items[op.Key] = store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: m.revision}
	}
	if m.loseNextReply {
		m.loseNextReply = false
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return store.TxnResult{Succeeded: true, Revision: m.revision}, nil
}
