package store

import (
	"bytes"
	"slices"
	"sort"
	"time"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
)

// change is one committed event together with the entry that it replaced, or
// nil if there was none.
type change struct {
	event *etcdpb.Event
	prev  *etcdpb.KeyValue
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// data is the revisioned key space. It is not safe for concurrent use.
type data struct {
	revision   int64
	compacted  int64 // changes up to this revision are no longer in history
	entries    map[string]*etcdpb.KeyValue
	keys       []string // sorted
	history    []change
	maxHistory int // changes kept; the history is trimmed at 1.5 times as many
	leases     map[int64]*lease
	nextLease  int64
}

func newData(maxHistory int) *data {
	return &data{
		revision:   1,
		entries:    make(map[string]*etcdpb.KeyValue),
		maxHistory: maxHistory,
		leases:     make(map[int64]*lease),
	}
}

// inRange follows the etcd conventions: an empty end means the single key, a
// zero byte means all keys from key on.
func inRange(candidate string, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return candidate == string(key)
	case len(end) == 1 && end[0] == 0:
		return candidate >= string(key)
	}
	return candidate >= string(key) && candidate < string(end)
}

func (d *data) find(key, end []byte) []*etcdpb.KeyValue {
	if len(end) == 0 {
		if kv, ok := d.entries[string(key)]; ok {
			return []*etcdpb.KeyValue{kv}
		}
		return nil
	}
	var found []*etcdpb.KeyValue
	for i := sort.SearchStrings(d.keys, string(key)); i < len(d.keys); i++ {
		if !inRange(d.keys[i], key, end) {
			break
		}
		found = append(found, d.entries[d.keys[i]])
	}
	return found
}

// put stores an entry at revision and returns the entry that it replaced.
func (d *data) put(revision int64, r *etcdpb.PutRequest) *etcdpb.KeyValue {
	key := string(r.Key)
	prev := d.entries[key]
	kv := &etcdpb.KeyValue{
		Key: r.Key, Value: r.Value, Lease: r.Lease,
		CreateRevision: revision, ModRevision: revision, Version: 1,
	}
	if prev != nil {
		kv.CreateRevision, kv.Version = prev.CreateRevision, prev.Version+1
	}
	d.set(key, kv)
	d.appendHistory(change{&etcdpb.Event{Type: etcdpb.Event_PUT, Kv: kv, PrevKv: prev}, prev})
	return prev
}

// remove deletes the entries in the range at revision and returns them.
func (d *data) remove(revision int64, key, end []byte) []*etcdpb.KeyValue {
	removed := d.find(key, end)
	for _, prev := range removed {
		d.set(string(prev.Key), nil)
		kv := &etcdpb.KeyValue{Key: prev.Key, ModRevision: revision}
		d.appendHistory(change{&etcdpb.Event{Type: etcdpb.Event_DELETE, Kv: kv, PrevKv: prev}, prev})
	}
	return removed
}

// set replaces or, with nil, removes an entry and updates the sorted
// keys and the keys of its lease.
func (d *data) set(key string, kv *etcdpb.KeyValue) {
	prev := d.entries[key]
	if prev != nil {
		if l := d.leases[prev.Lease]; l != nil {
			delete(l.keys, key)
		}
	}
	i, found := slices.BinarySearch(d.keys, key)
	switch {
	case kv == nil && found:
		d.keys = slices.Delete(d.keys, i, i+1)
		delete(d.entries, key)
	case kv != nil:
		if !found {
			d.keys = slices.Insert(d.keys, i, key)
		}
		d.entries[key] = kv
		if l := d.leases[kv.Lease]; l != nil {
			l.keys[key] = struct{}{}
		}
	}
}

// appendHistory adds a change and discards the oldest ones if there are too many.
func (d *data) appendHistory(c change) {
	d.history = append(d.history, c)
	if excess := len(d.history) - d.maxHistory; excess > d.maxHistory/2 {
		d.compacted = d.history[excess-1].event.Kv.ModRevision
		d.history = slices.Clone(d.history[excess:])
	}
}

// since returns the changes with a revision of at least start.
func (d *data) since(start int64) []change {
	i := sort.Search(len(d.history), func(i int) bool {
		return d.history[i].event.Kv.ModRevision >= start
	})
	return d.history[i:]
}

// rollback undoes all changes after revision. It returns false if some of them
// have been discarded from the history.
func (d *data) rollback(revision int64) bool {
	if revision < d.compacted || revision < 1 {
		return false
	}
	for len(d.history) > 0 {
		last := d.history[len(d.history)-1]
		if last.event.Kv.ModRevision <= revision {
			break
		}
		d.set(string(last.event.Kv.Key), last.prev)
		d.history = d.history[:len(d.history)-1]
	}
	d.revision = min(d.revision, revision)
	return true
}

// expire ends a lease and deletes its keys. It reports whether the lease existed.
func (d *data) expire(id int64) bool {
	l := d.leases[id]
	if l == nil {
		return false
	}
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	if len(keys) > 0 {
		d.revision++
	}
	for _, key := range keys {
		d.remove(d.revision, []byte(key), nil)
	}
	delete(d.leases, id)
	return true
}

// expireDue ends the leases whose time to live has passed, and reports whether
// there were any.
func (d *data) expireDue(now time.Time) bool {
	expired := false
	for id, l := range d.leases {
		if now.After(l.expires) {
			expired = d.expire(id) || expired
		}
	}
	return expired
}

// evaluate returns the result of one comparison. A missing key compares as an entry whose
// numeric fields are 0.
func (d *data) evaluate(c *etcdpb.Compare) bool {
	kv := d.entries[string(c.Key)]
	if kv == nil {
		if c.Target == etcdpb.Compare_VALUE {
			return false
		}
		kv = &etcdpb.KeyValue{}
	}
	order := 0
	switch c.Target {
	case etcdpb.Compare_VERSION:
		order = compareInt(kv.Version, c.GetVersion())
	case etcdpb.Compare_CREATE:
		order = compareInt(kv.CreateRevision, c.GetCreateRevision())
	case etcdpb.Compare_MOD:
		order = compareInt(kv.ModRevision, c.GetModRevision())
	case etcdpb.Compare_LEASE:
		order = compareInt(kv.Lease, c.GetLease())
	case etcdpb.Compare_VALUE:
		order = bytes.Compare(kv.Value, c.GetValue())
	}
	switch c.Result {
	case etcdpb.Compare_EQUAL:
		return order == 0
	case etcdpb.Compare_GREATER:
		return order > 0
	case etcdpb.Compare_LESS:
		return order < 0
	default:
		return order != 0
	}
}

func compareInt(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
