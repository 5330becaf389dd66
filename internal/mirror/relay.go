package mirror

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// relayLimit is the time without a relayed proof after which the mirror asks
// the store itself.
const relayLimit = 1500 * time.Millisecond

// keptChanges bounds the changes that are kept for followers. It is several
// times the number of instances and daemons of a large deployment.
const keptChanges = 4096

// applied names a changed key.
type applied struct {
	index int64
	key   string
}

// record numbers a change. The caller holds the lock.
func (m *Mirror) record(key string) {
	m.index++
	m.changes = append(m.changes, applied{m.index, key})
	if len(m.changes) > 2*keptChanges {
		m.changes = append([]applied{}, m.changes[keptChanges:]...)
	}
}

// Cursor is a position in a mirror.
type Cursor struct {
	Index    int64 // number of changes applied; 0 asks for everything
	Revision int64 // store revision of the follower's copy
}

// Delta is what a mirror has beyond a cursor.
type Delta struct {
	Cursor  Cursor
	Entries []store.KeyValue
	Deleted []string
	// Whole means that all keys which are not in Keys are gone.
	Whole bool
	Keys  []string
}

// Since returns what a follower at the cursor lacks.
func (m *Mirror) Since(c Cursor) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	delta := Delta{Cursor: Cursor{Index: m.index, Revision: m.revision}}
	first := int64(1)
	if len(m.changes) > 0 {
		first = m.changes[0].index
	}
	if c.Index == 0 || c.Index+1 < first {
		return m.everything(delta, c.Revision)
	}
	seen := map[string]bool{}
	for i := len(m.changes) - 1; i >= 0 && m.changes[i].index > c.Index; i-- {
		key := m.changes[i].key
		if seen[key] {
			continue
		}
		seen[key] = true
		if kv, ok := m.items[key]; ok {
			delta.Entries = append(delta.Entries, kv)
		} else {
			delta.Deleted = append(delta.Deleted, key)
		}
	}
	return delta
}

// everything adds all keys, and the entries that are newer than a revision.
func (m *Mirror) everything(delta Delta, revision int64) Delta {
	delta.Whole = true
	for key, kv := range m.items {
		delta.Keys = append(delta.Keys, key)
		if kv.ModRevision > revision {
			delta.Entries = append(delta.Entries, kv)
		}
	}
	return delta
}

// Follow takes over what another daemon's mirror has. proof is the time at
// which that mirror was current, contact the time of the request for the delta.
// Entries never become older.
func (m *Mirror) Follow(delta Delta, proof, contact time.Duration) {
	var changes []Change
	m.mu.Lock()
	for _, kv := range delta.Entries {
		changes = m.put(changes, kv)
	}
	for _, key := range delta.Deleted {
		changes = m.removeRelayed(changes, key, delta.Cursor.Revision)
	}
	if delta.Whole {
		present := make(map[string]bool, len(delta.Keys))
		for _, key := range delta.Keys {
			present[key] = true
		}
		for key := range m.items {
			if !present[key] {
				changes = m.removeRelayed(changes, key, delta.Cursor.Revision)
			}
		}
	}
	m.revision = max(m.revision, delta.Cursor.Revision)
	m.mu.Unlock()
	m.publish(changes)
	m.ProveRelayed(proof, contact)
}

// removeRelayed deletes an entry at once: the other daemon has waited for its return.
func (m *Mirror) removeRelayed(changes []Change, key string, revision int64) []Change {
	kv, ok := m.items[key]
	if !ok || kv.ModRevision > revision {
		return changes
	}
	delete(m.items, key)
	delete(m.removals, key)
	m.record(key)
	return append(changes, Change{KeyValue: store.KeyValue{Key: key, ModRevision: revision}, Deleted: true})
}

// ProveRelayed records that another daemon's mirror with the same or an older
// revision was current at the time proof. The mirror doesn't ask the store
// itself for some time from relayed on.
func (m *Mirror) ProveRelayed(proof, relayed time.Duration) {
	if int64(relayed) > m.relayed.Load() {
		m.relayed.Store(int64(relayed))
	}
	if int64(proof) > m.proof.Load() {
		m.proof.Store(int64(proof))
	}
}

// Relayed reports whether proofs come through another daemon at present.
func (m *Mirror) Relayed() bool {
	relayed := time.Duration(m.relayed.Load())
	return relayed != 0 && m.config.Now()-relayed < relayLimit
}

// StopRelay makes the mirror ask the store itself, at once.
func (m *Mirror) StopRelay() { m.relayed.Store(0) }
