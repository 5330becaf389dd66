// Package storetest has a store in memory for tests of what is kept there.
package storetest

import (
	"context"
	"sync"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// Memory is a store of single keys. It serves Get and Txn only.
type Memory struct {
	store.Store

	mu       sync.Mutex
	revision int64
	items    map[string]store.KeyValue
	lose     bool
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{items: map[string]store.KeyValue{}} }

// LoseNext lets the next write take effect without an answer.
func (m *Memory) LoseNext() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = true
}

// Value returns the value of a key, nil if it doesn't exist.
func (m *Memory) Value(key string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key].Value
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
	if m.lose {
		m.lose = false
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return store.TxnResult{Succeeded: true, Revision: m.revision}, nil
}
