package mirror

import (
	"bytes"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// A store that was restored lacks the latest writes and removals until their owners have
// made them again. For that time the copy keeps what it knows of the earlier generation, and
// withholds entries that differ. Then the contents of the store count.

// beginGeneration is called before a list or a delta of another revision is applied. It
// returns the keys that the copy had and that were deleted, if the revision is of a later
// generation than the copy. The caller holds the lock.
func (m *Mirror) beginGeneration(revision int64) (deleted map[string]bool) {
	now := m.config.Now()
	if m.config.Contact.observe(revision, now) {
		m.config.Log.Warn("store restored", "prefix", m.config.Prefix, "revision", store.Local(revision), "known", store.Local(m.revision),
			"generation", store.Generation(revision))
	}
	if m.revision == 0 || store.Generation(revision) <= store.Generation(m.revision) {
		return nil
	}
	if _, settling := m.config.Contact.settling(now); !settling {
		return nil
	}
	clear(m.withheld)
	deleted = map[string]bool{}
	for _, c := range m.changes {
		if _, present := m.items[c.key]; !present {
			deleted[c.key] = true
		}
	}
	return deleted
}

// withhold reports whether a listed entry may be older than what the copy knows, and records
// it. deleted are the keys that were deleted before a restore. The caller holds the lock.
func (m *Mirror) withhold(kv store.KeyValue, deleted map[string]bool) bool {
	now := m.config.Now()
	if revision, withheld := m.withheld[kv.Key]; withheld && revision == kv.ModRevision {
		// The owner of a live entry would have written it by now.
		if _, settling := m.config.Contact.settling(now); settling || m.ownerWritesOften(kv.Key) {
			return true
		}
	}
	if deleted == nil || m.unreconciled(kv.Key) || m.config.Contact.writtenSince(kv.ModRevision) {
		return false
	}
	old, present := m.items[kv.Key]
	if present && store.Generation(old.ModRevision) == store.Generation(kv.ModRevision) {
		return false
	}
	switch {
	case !present && !deleted[kv.Key]:
		return false
	case present && bytes.Equal(old.Value, kv.Value):
		return false
	case present && m.config.Newer != nil && m.config.Newer(kv.Key, old.Value, kv.Value):
		return false
	}
	m.withheld[kv.Key] = kv.ModRevision
	delete(m.pendingRemovals, kv.Key)
	return true
}

// removeUnlisted removes an entry that isn't listed at a revision. If the entry is of an
// earlier generation, its owner may write it again. The caller holds the lock.
func (m *Mirror) removeUnlisted(changes []Change, kv store.KeyValue, revision int64) []Change {
	until, settling := m.config.Contact.settling(m.config.Now())
	if !settling || m.unreconciled(kv.Key) || store.Generation(kv.ModRevision) == store.Generation(revision) {
		return m.removeOrDelay(changes, kv.Key, revision)
	}
	m.pendingRemovals[kv.Key] = pendingRemoval{due: until, revision: revision}
	return changes
}

func (m *Mirror) unreconciled(key string) bool {
	return m.config.Unreconciled != nil && m.config.Unreconciled(key)
}

func (m *Mirror) ownerWritesOften(key string) bool {
	return m.config.DelayRemoval != nil && m.config.DelayRemoval(key)
}

// accept ends the withholding of an entry that was written or deleted since. The caller
// holds the lock.
func (m *Mirror) accept(key string, revision int64) {
	if withheld, ok := m.withheld[key]; ok && revision > withheld {
		delete(m.withheld, key)
	}
}

// needsList reports whether the store has to be listed again: its settling time is over and
// entries are withheld, or the copy came into this generation through another daemon, which
// may withhold entries that this copy lacks.
func (m *Mirror) needsList() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if store.Generation(m.revision) > m.listedGeneration {
		return true
	}
	if _, settling := m.config.Contact.settling(m.config.Now()); settling {
		return false
	}
	for key := range m.withheld {
		if !m.ownerWritesOften(key) {
			return true
		}
	}
	return false
}

// logReconciled logs how many entries of a restored store are withheld, and how many are
// kept that it lacks. The caller holds the lock.
func (m *Mirror) logReconciled(revision int64) {
	kept := 0
	for key, r := range m.pendingRemovals {
		if store.Generation(m.items[key].ModRevision) < store.Generation(r.revision) {
			kept++
		}
	}
	m.config.Log.Warn("entries kept after a restore of the store", "prefix", m.config.Prefix, "revision", store.Local(revision),
		"kept", kept, "withheld", len(m.withheld))
}
