package mirror

import (
	"hash/fnv"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// relayTimeout is the time without an update from another daemon after which the
// mirror polls the store itself.
const relayTimeout = 1500 * time.Millisecond

// minLoggedChanges is the number of latest changes that are at least kept for
// followers; up to twice as many are kept. It is several times the number of
// instances and daemons of a large deployment.
const minLoggedChanges = 4096

// loggedChange identifies a change by its index and key.
type loggedChange struct {
	index int64
	key   string
	// revision is the store revision of the change, or a later one for a deletion.
	revision int64
	digest   uint64 // of the copy after the change
}

// emptyDigest is the digest of an empty copy. It isn't 0, which means that a digest isn't
// known. The value is arbitrary, and the same in all daemons.
const emptyDigest = 0xcbf29ce484222325

// entryDigest returns the part of an entry in the digest of a copy, which is the exclusive
// or of emptyDigest and its entries'.
func entryDigest(kv store.KeyValue) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(kv.Key))                             // never fails
	x := h.Sum64() + uint64(kv.ModRevision)*0x9e3779b97f4a7c15 //nolint:gosec // bits
	// Mix the bits with the finaliser of MurmurHash3.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// setItem stores an entry and logs the change. The caller holds the lock.
func (m *Mirror) setItem(kv store.KeyValue) {
	if old, ok := m.items[kv.Key]; ok {
		m.digest ^= entryDigest(old)
	}
	m.digest ^= entryDigest(kv)
	m.items[kv.Key] = kv
	m.logChange(kv.Key, kv.ModRevision)
}

// deleteItem deletes an entry of the copy and logs the change. The caller holds the lock.
func (m *Mirror) deleteItem(kv store.KeyValue, revision int64) {
	m.digest ^= entryDigest(kv)
	delete(m.items, kv.Key)
	m.logChange(kv.Key, revision)
}

// Digest returns a checksum of the keys and revisions of the copy, emptyDigest if it is
// empty. Copies with the same entries have the same digest.
func (m *Mirror) Digest() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.digest
}

// indexOf returns the index of the latest change after which this copy had a digest. The
// caller holds the lock.
func (m *Mirror) indexOf(digest uint64) (int64, bool) {
	if digest == 0 {
		return 0, false
	}
	for i := len(m.changes) - 1; i >= 0; i-- {
		if m.changes[i].digest == digest {
			return m.changes[i].index, true
		}
	}
	return 0, false
}

// logChange assigns the next index to a change and logs it for followers. The
// caller holds the lock.
func (m *Mirror) logChange(key string, revision int64) {
	m.index++
	m.changes = append(m.changes, loggedChange{m.index, key, revision, m.digest})
	if len(m.changes) > 2*minLoggedChanges {
		m.changes = append([]loggedChange{}, m.changes[minLoggedChanges:]...)
	}
}

// Cursor is the position of a follower in the changes of a mirror.
type Cursor struct {
	Index    int64 // index of the last change received; 0 requests a full delta
	Revision int64 // store revision of the follower's copy
	// Digest is that of the follower's copy; 0 if unknown. It is used if the index isn't
	// known any more.
	Digest uint64
}

// Delta holds the changes of a mirror after a cursor.
type Delta struct {
	Cursor  Cursor
	Entries []store.KeyValue
	Deleted []string
	// Whole means that Keys lists all keys: the follower removes all others.
	Whole bool
	Keys  []string
	// Digest, if not 0, is that of the other copy. It is set if deletions may be missing.
	Digest uint64
	// Pending holds all delayed removals of the other mirror. Its revision includes them,
	// so a follower would never learn of them from the store.
	Pending []PendingRemoval
}

// DeltaSince returns the changes that a follower at the cursor has not received. It
// returns a full delta if the changes are no longer kept, and this copy never was like
// the follower's.
func (m *Mirror) DeltaSince(c Cursor) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	delta := Delta{Cursor: Cursor{Index: m.index, Revision: m.revision}, Pending: m.pendingAt(m.config.Now())}
	first := int64(1)
	if len(m.changes) > 0 {
		first = m.changes[0].index
	}
	if c.Index == 0 || c.Index+1 < first {
		index, known := m.indexOf(c.Digest)
		if !known && c.Digest != 0 && c.Revision > m.revision {
			// The follower's copy is newer. This one has been like it once it has caught up.
			delta.Cursor.Index = 0
			return delta
		}
		if !known && c.Digest != 0 && c.Revision > 0 {
			return m.deltaByRevision(delta, c.Revision)
		}
		if !known {
			return m.fullDelta(delta, c.Revision)
		}
		c.Index = index
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

// deltaByRevision adds the entries that are newer than a revision, and the deletions since
// as far as they are logged.
func (m *Mirror) deltaByRevision(delta Delta, revision int64) Delta {
	delta.Digest = m.digest
	for _, kv := range m.items {
		if kv.ModRevision > revision {
			delta.Entries = append(delta.Entries, kv)
		}
	}
	deleted := map[string]bool{}
	for i := len(m.changes) - 1; i >= 0; i-- {
		c := m.changes[i]
		if _, present := m.items[c.key]; !present && c.revision > revision && !deleted[c.key] {
			deleted[c.key] = true
			delta.Deleted = append(delta.Deleted, c.key)
		}
	}
	return delta
}

// fullDelta adds all keys, and the entries that are newer than a revision.
func (m *Mirror) fullDelta(delta Delta, revision int64) Delta {
	delta.Whole = true
	for key, kv := range m.items {
		delta.Keys = append(delta.Keys, key)
		if kv.ModRevision > revision {
			delta.Entries = append(delta.Entries, kv)
		}
	}
	return delta
}

// ApplyDelta applies the changes of another daemon's mirror. currentAt is the time
// at which that mirror was known to be current, requestedAt the time of the request
// for the delta. An entry is never replaced by an older one. It returns false if this copy
// may then still have entries that were deleted: it isn't current, and the next request
// should have no digest. A delta of an earlier generation of the store isn't applied.
func (m *Mirror) ApplyDelta(delta Delta, currentAt, requestedAt time.Duration) bool {
	var changes []Change
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	if store.Generation(delta.Cursor.Revision) < m.config.Contact.generation() {
		m.mu.Unlock()
		return false
	}
	m.config.Contact.answered(currentAt, currentAt, m.config.Now())
	deletedBefore := m.beginGeneration(delta.Cursor.Revision)
	for _, kv := range delta.Entries {
		// An entry of a revision that this copy includes, and does not have, was deleted.
		if _, present := m.items[kv.Key]; !present && kv.ModRevision <= m.revision {
			continue
		}
		if m.withhold(kv, deletedBefore) {
			continue
		}
		changes = m.put(changes, kv)
	}
	for _, key := range delta.Deleted {
		m.accept(key, delta.Cursor.Revision)
		changes = m.removeRelayed(changes, key, delta.Cursor.Revision)
	}
	if delta.Whole {
		present := make(map[string]bool, len(delta.Keys))
		for _, key := range delta.Keys {
			present[key] = true
		}
		for key, kv := range m.items {
			switch {
			case present[key] || kv.ModRevision > delta.Cursor.Revision:
			case store.Generation(kv.ModRevision) < store.Generation(delta.Cursor.Revision):
				changes = m.removeUnlisted(changes, kv, delta.Cursor.Revision)
			default:
				changes = m.removeRelayed(changes, key, delta.Cursor.Revision)
			}
		}
	}
	changes = m.applyPending(changes, delta.Pending)
	if deletedBefore != nil {
		m.logReconciled(delta.Cursor.Revision)
	}
	complete := delta.Digest == 0 || delta.Digest == m.digest
	if complete {
		m.revision = max(m.revision, delta.Cursor.Revision)
	}
	m.mu.Unlock()
	m.publish(changes)
	if complete {
		m.SetRelayedCurrent(currentAt, requestedAt)
	}
	return complete
}

// removeRelayed removes an entry without delay: the other daemon has delayed the
// removal already. The caller holds the lock.
func (m *Mirror) removeRelayed(changes []Change, key string, revision int64) []Change {
	kv, ok := m.items[key]
	if !ok || kv.ModRevision > revision {
		return changes
	}
	return m.remove(changes, kv, revision)
}

// SetRelayedCurrent records that the mirror of another daemon, with the same or an
// older revision, was current at currentAt. This mirror does not poll the store
// until relayTimeout after relayedAt.
func (m *Mirror) SetRelayedCurrent(currentAt, relayedAt time.Duration) {
	m.config.Contact.answered(currentAt, currentAt, m.config.Now())
	if int64(relayedAt) > m.relayedAt.Load() {
		m.relayedAt.Store(int64(relayedAt))
	}
	if int64(currentAt) > m.currentAt.Load() {
		m.currentAt.Store(int64(currentAt))
	}
}

// Relayed reports whether updates currently come from another daemon.
func (m *Mirror) Relayed() bool {
	relayedAt := time.Duration(m.relayedAt.Load())
	return relayedAt != 0 && m.config.Now()-relayedAt < relayTimeout
}

// RelayAge returns the time since the latest update from another daemon.
func (m *Mirror) RelayAge() time.Duration {
	return m.config.Now() - time.Duration(m.relayedAt.Load())
}

// PolledAge returns how long ago a call of this mirror showed the copy to be current.
func (m *Mirror) PolledAge() time.Duration {
	return m.config.Now() - time.Duration(m.polledAt.Load())
}

// RequirePolls makes the mirror poll the store for some time although it gets updates
// from another daemon.
func (m *Mirror) RequirePolls(duration time.Duration) {
	m.pollUntil.Store(int64(m.config.Now() + duration))
}

// PollRequired reports whether RequirePolls applies.
func (m *Mirror) PollRequired() bool { return m.config.Now() < time.Duration(m.pollUntil.Load()) }

// StopRelay makes the mirror poll the store itself, at once.
func (m *Mirror) StopRelay() { m.relayedAt.Store(0) }
