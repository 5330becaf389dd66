package mirror

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// removeOrDelay removes an entry, or delays the removal if an outage may have caused
// it. The caller holds the lock.
func (m *Mirror) removeOrDelay(changes []Change, key string, revision int64) []Change {
	kv, ok := m.items[key]
	if !ok || kv.ModRevision > revision {
		return changes
	}
	if _, pending := m.pendingRemovals[key]; pending {
		return changes
	}
	if m.config.DelayRemoval != nil && m.config.DelayRemoval(key) {
		if due, delayed := m.config.Contact.removalDue(m.config.Now()); delayed {
			m.delayRemoval(key, pendingRemoval{due: due, revision: revision})
			return changes
		}
	}
	return m.remove(changes, kv, revision)
}

// remove removes an entry. The caller holds the lock.
func (m *Mirror) remove(changes []Change, kv store.KeyValue, revision int64) []Change {
	m.deleteItem(kv, revision)
	delete(m.pendingRemovals, kv.Key)
	return append(changes, Change{KeyValue: store.KeyValue{Key: kv.Key, ModRevision: revision}, Deleted: true})
}

// delayRemoval records a pending removal. The caller holds the lock.
func (m *Mirror) delayRemoval(key string, r pendingRemoval) {
	m.pendingRemovals[key] = r
	m.config.Log.Info("removal delayed", "key", key, "revision", r.revision, "delay", r.due-m.config.Now())
}

// PendingRemovals returns the number of delayed removals.
func (m *Mirror) PendingRemovals() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.pendingRemovals)
}

// nextRemovalDue returns the time of the next pending removal, and false if there
// is none.
func (m *Mirror) nextRemovalDue() (time.Duration, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var next time.Duration
	for _, r := range m.pendingRemovals {
		if next == 0 || r.due < next {
			next = r.due
		}
	}
	return next, len(m.pendingRemovals) > 0
}

// applyDueRemovals removes the entries whose pending removal is due.
func (m *Mirror) applyDueRemovals() {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	changes := m.removeDue(nil)
	m.mu.Unlock()
	m.publish(changes)
}

// removeDue removes the entries whose pending removal is due. The caller holds the lock.
func (m *Mirror) removeDue(changes []Change) []Change {
	now := m.config.Now()
	for key, r := range m.pendingRemovals {
		if now < r.due {
			continue
		}
		delete(m.pendingRemovals, key)
		if kv, ok := m.items[key]; ok && kv.ModRevision <= r.revision {
			m.config.Log.Info("delayed removal applied", "key", key, "revision", r.revision)
			changes = m.remove(changes, kv, r.revision)
		}
	}
	return changes
}

// PendingRemoval is a delayed removal in a delta.
type PendingRemoval struct {
	Key      string
	Revision int64
	Delay    time.Duration // time until the removal
}

// pendingAt returns the pending removals with their delays from now on. The caller
// holds the lock.
func (m *Mirror) pendingAt(now time.Duration) []PendingRemoval {
	var list []PendingRemoval
	for key, r := range m.pendingRemovals {
		list = append(list, PendingRemoval{Key: key, Revision: r.revision, Delay: max(0, r.due-now)})
	}
	return list
}

// applyPending takes over the pending removals of another mirror, and applies those that
// are due. If a removal is pending here already, the earlier time counts: each mirror has
// seen the store return by then. If only the other daemon was cut off from the store, they
// are due at once, but not if a restore of the store is the cause. The caller holds the lock.
func (m *Mirror) applyPending(changes []Change, pending []PendingRemoval) []Change {
	now := m.config.Now()
	steady := m.config.Contact.steady(now)
	for _, p := range pending {
		kv, ok := m.items[p.Key]
		if !ok || kv.ModRevision > p.Revision {
			continue
		}
		r := pendingRemoval{due: now + p.Delay, revision: p.Revision}
		known, pending := m.pendingRemovals[p.Key]
		switch {
		case steady && store.Generation(kv.ModRevision) == store.Generation(p.Revision):
			changes = m.remove(changes, kv, p.Revision)
		case !pending:
			m.delayRemoval(p.Key, r)
		case r.due < known.due:
			m.pendingRemovals[p.Key] = pendingRemoval{due: r.due, revision: max(r.revision, known.revision)}
		}
	}
	return m.removeDue(changes)
}
