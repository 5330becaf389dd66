package mirror

import (
	"bytes"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// A store that was restored lacks the latest writes and removals until their owners have
// made them again. For that time the copy keeps what it knows of the earlier generation, and
// withholds entries that differ. Then the contents of the store count.

// beginGeneration is called before a list or a delta of another revision is applied. It
// reports whether the copy has to be reconciled with it. The caller holds the lock.
func (m *Mirror) beginGeneration(revision int64, list bool) bool {
	now := m.config.Now()
	if m.config.Contact.observe(revision, now) {
		m.config.Log.Warn("store restored", "prefix", m.config.Prefix, "revision", store.Local(revision), "known", store.Local(m.revision),
			"generation", store.Generation(revision))
	}
	if list && m.revision != 0 && store.Generation(revision) > store.Generation(m.revision) {
		// The other mirror may have listed this generation long before.
		m.config.Contact.settleUntil(now + expiryGrace)
	}
	_, settling := m.config.Contact.settling(now)
	if !settling || m.revision == 0 || m.provisional(now) {
		return false
	}
	if store.Generation(revision) <= store.Generation(m.revision) {
		return list
	}
	clear(m.withheld)
	clear(m.deletedBefore)
	for _, c := range m.changes {
		if _, present := m.items[c.key]; !present {
			m.deletedBefore[c.key] = true
		}
	}
	return true
}

// Provisional reports whether the copy is that of a daemon that starts, and may lack what
// was written before a restore. The copy of another daemon replaces it.
func (m *Mirror) Provisional() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.provisional(m.config.Now())
}

// provisional implements Provisional. The caller holds the lock.
func (m *Mirror) provisional(now time.Duration) bool {
	return !m.replaced && m.config.Contact.starting(now)
}

// Settling reports whether the store may lack what was written before a restore.
func (m *Mirror) Settling() bool {
	_, settling := m.config.Contact.settling(m.config.Now())
	return settling
}

// Confirm records that the store wasn't restored just before this daemon started.
func (m *Mirror) Confirm() {
	m.config.Contact.confirm()
	raise(&m.currentAt, time.Duration(m.answeredAt.Load()))
}

// replace replaces the copy of a daemon that starts by that of another daemon. What was
// written after the revision of that copy stays. The caller holds the lock.
func (m *Mirror) replace(changes []Change, delta Delta) []Change {
	present := make(map[string]bool, len(delta.Keys))
	for _, key := range delta.Keys {
		present[key] = true
	}
	for key, kv := range m.items {
		if !present[key] && kv.ModRevision <= delta.Cursor.Revision {
			changes = m.remove(changes, kv, delta.Cursor.Revision)
		}
	}
	for _, kv := range delta.Entries {
		if old, ok := m.items[kv.Key]; !ok || old.ModRevision <= delta.Cursor.Revision && old.ModRevision != kv.ModRevision {
			m.setItem(kv)
			changes = append(changes, Change{KeyValue: kv})
		}
	}
	// Entries that the other daemon withholds aren't known here.
	m.revision, m.listedGeneration, m.replaced = delta.Cursor.Revision, 0, true
	m.config.Log.Info("copy replaced by that of another daemon", "prefix", m.config.Prefix, "revision", store.Local(m.revision), "changes", len(changes))
	return changes
}

// withhold reports whether an entry may be older than what the copy knows, and records it.
// reconcile is the result of beginGeneration. The caller holds the lock.
func (m *Mirror) withhold(kv store.KeyValue, reconcile bool) bool {
	if m.unreconciled(kv.Key) || m.config.Contact.writtenSince(kv.ModRevision) || m.config.Now() >= m.withholdUntil(kv.Key) {
		return false
	}
	old, present := m.items[kv.Key]
	switch {
	case m.withheld[kv.Key] == kv.ModRevision:
	case !present && m.deletedBefore[kv.Key]:
	case present && reconcile && m.differs(old, kv):
	default:
		return false
	}
	m.withheld[kv.Key] = kv.ModRevision
	delete(m.pendingRemovals, kv.Key)
	return true
}

// differs reports whether a restored entry differs from the known one and isn't newer by its
// contents.
func (m *Mirror) differs(known, restored store.KeyValue) bool {
	switch {
	case store.Generation(known.ModRevision) == store.Generation(restored.ModRevision):
		return false
	case bytes.Equal(known.Value, restored.Value):
		return false
	}
	return m.config.Newer == nil || !m.config.Newer(known.Key, known.Value, restored.Value)
}

// withholdUntil returns until when a restored entry of a key is withheld. The entry of an owner
// that is gone is removed when it has been silent.
func (m *Mirror) withholdUntil(key string) time.Duration {
	until, _ := m.config.Contact.settling(m.config.Now())
	if m.config.DelayRemoval != nil && m.config.DelayRemoval(key) {
		until += silenceTime
	}
	return until
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

// accept ends the withholding of an entry that was written or deleted since. The caller
// holds the lock.
func (m *Mirror) accept(key string, revision int64) {
	if withheld, ok := m.withheld[key]; ok && revision > withheld {
		delete(m.withheld, key)
	}
}

// behindGeneration reports whether the copy came into its generation through another daemon,
// which may withhold entries that this copy lacks. Then it has to be listed before a poll.
func (m *Mirror) behindGeneration() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return store.Generation(m.revision) > m.listedGeneration
}

// withheldTooLong reports whether the store has to be listed again because it still has an
// entry that was withheld long enough.
func (m *Mirror) withheldTooLong() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.config.Now()
	for key := range m.withheld {
		if now >= m.withholdUntil(key) {
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
