package config

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	mu            sync.Mutex
	revision      int64
	data          map[string]store.KeyValue
	watchers      map[chan store.WatchBatch]string
	txns          int
	maxValueBytes int // size of the largest value that was written

	// before is called before each call ("get", "list", "txn"); if it returns
	// an error, the call has no effect and returns that error.
	before func(call string) error
	// after is called after a transaction took effect; if it returns an error,
	// the caller gets it instead of the reply.
	after func() error
}

func newFakeStore() *fakeStore {
	return &fakeStore{data: map[string]store.KeyValue{}, watchers: map[chan store.WatchBatch]string{}}
}

func (f *fakeStore) setFaults(before func(string) error, after func() error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before, f.after = before, after
}

func (f *fakeStore) fault(call string) error {
	f.mu.Lock()
	before := f.before
	f.mu.Unlock()
	if before == nil {
		return nil
	}
	return before(call)
}

func (f *fakeStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	if err := f.fault("get"); err != nil {
		return store.KeyValue{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kv := f.data[key]
	kv.Key = key
	return kv, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]store.KeyValue, int64, error) {
	if err := f.fault("list"); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []store.KeyValue
	for key, kv := range f.data {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, f.revision, nil
}

func (f *fakeStore) Txn(_ context.Context, conditions []store.Condition, ops []store.Op) (store.TxnResult, error) {
	if err := f.fault("txn"); err != nil {
		return store.TxnResult{}, err
	}
	f.mu.Lock()
	f.txns++
	res := f.apply(conditions, ops)
	after := f.after
	f.mu.Unlock()
	if res.Succeeded && after != nil {
		if err := after(); err != nil {
			return store.TxnResult{}, err
		}
	}
	return res, nil
}

func (f *fakeStore) apply(conditions []store.Condition, ops []store.Op) store.TxnResult {
	res := store.TxnResult{Succeeded: true, Revision: f.revision}
	for _, c := range conditions {
		kv := f.data[c.Key]
		kv.Key = c.Key
		res.Current = append(res.Current, kv)
		res.Succeeded = res.Succeeded && kv.ModRevision == c.ModRevision
	}
	if !res.Succeeded {
		return res
	}
	f.revision++
	batch := store.WatchBatch{Revision: f.revision}
	for _, op := range ops {
		f.maxValueBytes = max(f.maxValueBytes, len(op.Value))
		kv := store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: f.revision}
		if op.Delete {
			delete(f.data, op.Key)
		} else {
			f.data[op.Key] = kv
		}
		batch.Events = append(batch.Events, store.Event{KeyValue: kv, Deleted: op.Delete})
	}
	f.notify(batch)
	return store.TxnResult{Succeeded: true, Revision: f.revision}
}

func (f *fakeStore) notify(batch store.WatchBatch) {
	for ch, prefix := range f.watchers {
		filtered := store.WatchBatch{Revision: batch.Revision}
		for _, e := range batch.Events {
			if strings.HasPrefix(e.Key, prefix) {
				filtered.Events = append(filtered.Events, e)
			}
		}
		if len(filtered.Events) > 0 {
			ch <- filtered
		}
	}
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, after int64) <-chan store.WatchBatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan store.WatchBatch, 4096)
	for _, kv := range f.data {
		if kv.ModRevision > after && strings.HasPrefix(kv.Key, prefix) {
			ch <- store.WatchBatch{Revision: kv.ModRevision, Events: []store.Event{{KeyValue: kv}}}
		}
	}
	f.watchers[ch] = prefix
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watchers, ch)
		close(ch)
	})
	return ch
}

// endWatches ends all watches with an error.
func (f *fakeStore) endWatches(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for ch := range f.watchers {
		ch <- store.WatchBatch{Err: err}
		delete(f.watchers, ch)
	}
}

func (f *fakeStore) snapshot() (map[string]store.KeyValue, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]store.KeyValue, len(f.data))
	for k, v := range f.data {
		out[k] = v
	}
	return out, f.revision
}

func (f *fakeStore) restore(data map[string]store.KeyValue, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data, f.revision = make(map[string]store.KeyValue, len(data)), revision
	for k, v := range data {
		f.data[k] = v
	}
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 1, nil }
func (f *fakeStore) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return time.Second, nil
}
func (f *fakeStore) Revoke(context.Context, store.LeaseID) error { return nil }
func (f *fakeStore) Close() error                                { return nil }
