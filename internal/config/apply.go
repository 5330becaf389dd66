package config

import (
	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Limits of the changes kept in memory. The log of applied changes serves peers
// that fetch missing changes.
const (
	maxPendingChanges = 256
	maxLogChanges     = 2048
	maxLogBytes       = 4 << 20
)

// pendingChange is a change that arrived before its predecessor and waits for it.
type pendingChange struct {
	record  *audit.Record
	message *peerv1.Change // as received
}

// changeLog holds the latest applied changes in revision order without gaps.
type changeLog struct {
	changes []*peerv1.Change
	bytes   int
}

// add appends the change of the next revision and drops the oldest changes above
// the limits.
func (l *changeLog) add(c *peerv1.Change) {
	l.changes = append(l.changes, c)
	l.bytes += len(c.GetRecord())
	for len(l.changes) > 1 && (len(l.changes) > maxLogChanges || l.bytes > maxLogBytes) {
		l.bytes -= len(l.changes[0].GetRecord())
		l.changes[0] = nil
		l.changes = l.changes[1:]
	}
}

func (l *changeLog) clear() { *l = changeLog{} }

// after returns the changes after a revision, or false if the log no longer holds
// all of them.
func (l *changeLog) after(revision int64) ([]*peerv1.Change, bool) {
	if len(l.changes) == 0 {
		return nil, false
	}
	skip := revision + 1 - l.changes[0].GetRevision()
	if skip < 0 || skip > int64(len(l.changes)) {
		return nil, false
	}
	return append([]*peerv1.Change(nil), l.changes[skip:]...), true
}

// changeID returns the ID of the change that made a revision, or "" if the log
// does not hold it.
func (l *changeLog) changeID(revision int64) string {
	if len(l.changes) == 0 {
		return ""
	}
	i := revision - l.changes[0].GetRevision()
	if i < 0 || i >= int64(len(l.changes)) {
		return ""
	}
	return l.changes[i].GetChangeId()
}

// HandleItem handles an item that a peer sent. If it is a change, the next
// revision is applied, a later one is kept as pending and triggers a fetch, and
// an older one is ignored. Other items are ignored.
func (m *Manager) HandleItem(item *peerv1.Item) {
	change := item.GetChange()
	if change == nil || change.GetRevision() <= m.Current().Revision {
		return
	}
	record, err := decodeChange(change)
	if err != nil {
		m.opts.Logger.Error("configuration change from a peer is invalid", "revision", change.GetRevision(), "error", err)
		return
	}
	if err := m.apply(record, change); err != nil {
		m.opts.Logger.Warn("configuration change from a peer was not applied", "revision", change.GetRevision(), "error", err)
	}
}

// decodeChange returns the record in a change and checks that both agree.
func decodeChange(change *peerv1.Change) (*audit.Record, error) {
	record, err := audit.DecodeRecord(change.GetRecord())
	if err != nil {
		return nil, err
	}
	if record.Revision != change.GetRevision() || record.ChangeID != change.GetChangeId() {
		return nil, errors.Errorf("message of revision %d, change %s, contains the record of revision %d, change %s",
			change.GetRevision(), change.GetChangeId(), record.Revision, record.ChangeID)
	}
	return record, nil
}

// apply puts a change in force if it has the next revision. Older changes are
// ignored, later ones kept as pending. It returns an error if the change was not
// made on top of the configuration in force.
func (m *Manager) apply(record *audit.Record, message *peerv1.Change) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	current := m.Current()
	switch {
	case record.Revision <= current.Revision:
		return nil
	case record.Revision > current.Revision+1:
		m.addPending(record, message)
		return nil
	}
	if err := m.applyNext(current, record, message); err != nil {
		return err
	}
	return m.applyPending()
}

// applyNext puts the change of the next revision in force. applyMu must be held.
func (m *Manager) applyNext(current *Snapshot, record *audit.Record, message *peerv1.Change) error {
	if record.ParentID != current.ChangeID {
		return result.New(result.StaleRevision, result.NotRun,
			"change %s of revision %d was made on top of change %q, but change %q is in force",
			record.ChangeID, record.Revision, record.ParentID, current.ChangeID)
	}
	m.changeLog.add(message)
	m.publish(current.withRecord(record))
	return nil
}

// addPending keeps a change whose predecessors are missing and requests them. If
// too many changes are pending, it is dropped and fetched later.
func (m *Manager) addPending(record *audit.Record, message *peerv1.Change) {
	if len(m.pending) < maxPendingChanges {
		m.pending[record.Revision] = &pendingChange{record, message}
	}
	m.requestRevision(record.Revision)
}

// applyPending applies the pending changes whose predecessors are now in force
// and drops those whose revision has been reached otherwise.
func (m *Manager) applyPending() error {
	for {
		current := m.Current()
		next, ok := m.pending[current.Revision+1]
		if !ok {
			break
		}
		delete(m.pending, current.Revision+1)
		if err := m.applyNext(current, next.record, next.message); err != nil {
			return err
		}
	}
	for revision := range m.pending {
		if revision <= m.Current().Revision {
			delete(m.pending, revision)
		}
	}
	return nil
}

// applySnapshot replaces the configuration if the snapshot is newer.
func (m *Manager) applySnapshot(snapshot *Snapshot) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if snapshot.Revision <= m.Current().Revision {
		return
	}
	m.changeLog.clear()
	m.publish(snapshot)
	if err := m.applyPending(); err != nil {
		m.opts.Logger.Warn("pending configuration change was not applied", "error", err)
	}
}

// publish puts a snapshot in force and passes it to the subscribers. applyMu must
// be held.
func (m *Manager) publish(snapshot *Snapshot) {
	m.current.Store(snapshot)
	for _, f := range m.subscribers {
		f(snapshot)
	}
}

// ObserveRevision records the revision that a peer has in force. If it is higher
// than the one of this daemon, RunFetch fetches the missing changes.
func (m *Manager) ObserveRevision(revision int64) {
	if revision <= m.Current().Revision {
		return
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.requestRevision(revision)
}

// requestRevision wakes RunFetch to fetch the changes up to a revision. applyMu
// must be held.
func (m *Manager) requestRevision(revision int64) {
	m.wantedRevision = max(m.wantedRevision, revision)
	select {
	case m.fetchRequested <- struct{}{}:
	default: // a fetch is already requested
	}
}
