package main

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// memStore is an in-memory store that counts calls. It supports no watches and
// no leases.
type memStore struct {
	store.Store

	mu       sync.Mutex
	revision int64
	data     map[string]store.KeyValue
	reads    int
	writes   int
	sent     int // bytes of written values
}

// newMemStore returns a store that holds a configuration at revision 1.
func newMemStore(objects []*object.Object) (*memStore, error) {
	s := &memStore{data: make(map[string]store.KeyValue), revision: 1}
	put := func(key string, value []byte) {
		s.data[key] = store.KeyValue{Key: key, Value: value, ModRevision: 1}
	}
	for _, o := range objects {
		value, err := json.Marshal(o)
		if err != nil {
			return nil, err
		}
		put("/rudder/config/objects/"+o.Ref().String(), value)
	}
	put("/rudder/config/head", []byte(`{"revision":1,"changeId":"c1"}`))
	return s, nil
}

// Get implements store.Store.
func (s *memStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	kv := s.data[key]
	kv.Key = key
	return kv, nil
}

// List implements store.Store.
func (s *memStore) List(_ context.Context, prefix string) ([]store.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var list []store.KeyValue
	for key, kv := range s.data {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, s.revision, nil
}

// Txn implements store.Store.
func (s *memStore) Txn(_ context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	result := store.TxnResult{Succeeded: true, Revision: s.revision}
	for _, c := range conditions {
		kv := s.data[c.Key]
		kv.Key = c.Key
		result.Current = append(result.Current, kv)
		result.Succeeded = result.Succeeded && kv.ModRevision == c.ModRevision
	}
	if !result.Succeeded {
		return result, nil
	}
	s.revision++
	for _, op := range ops {
		s.sent += len(op.Key) + len(op.Value)
		if op.Delete {
			delete(s.data, op.Key)
			continue
		}
		s.data[op.Key] = store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: s.revision}
	}
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// Close implements store.Store.
func (s *memStore) Close() error { return nil }
