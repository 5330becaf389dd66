package config

import (
	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Bounds of the changes kept in memory.
const (
	maxHeldChanges = 256
	maxLogChanges  = 2048
	maxLogBytes    = 4 << 20
)

// heldChange is a change that arrived before its predecessor.
type heldChange struct {
	record *audit.Record
	raw    *peerv1.Change
}

// changeLog keeps the latest changes in revision order without gaps.
type changeLog struct {
	changes []*peerv1.Change
	bytes   int
}

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

// after returns the changes after a revision, or false if some are not kept.
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

// changeID returns the ID of the change that made a revision, or "".
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

// HandleItem takes a change from a peer. The next revision is applied; a later
// one is held and triggers a fetch; an older one is ignored. Other items are
// ignored.
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

func decodeChange(change *peerv1.Change) (*audit.Record, error) {
	record, err := audit.DecodeRecord(change.GetRecord())
	if err != nil {
		return nil, err
	}
	if record.Revision != change.GetRevision() || record.ChangeID != change.GetChangeId() {
		return nil, errors.Errorf("change %d %s holds the record of %d %s",
			change.GetRevision(), change.GetChangeId(), record.Revision, record.ChangeID)
	}
	return record, nil
}

// apply puts a change in force if it is the next one. Older changes are
// ignored, later ones held. It returns an error if the change does not follow
// from the configuration in force.
func (m *Manager) apply(record *audit.Record, raw *peerv1.Change) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	current := m.Current()
	switch {
	case record.Revision <= current.Revision:
		return nil
	case record.Revision > current.Revision+1:
		m.hold(record, raw)
		return nil
	}
	if err := m.applyNext(current, record, raw); err != nil {
		return err
	}
	return m.applyHeld()
}

func (m *Manager) applyNext(current *Snapshot, record *audit.Record, raw *peerv1.Change) error {
	if record.ParentID != current.ChangeID {
		return result.New(result.StaleRevision, result.NotRun,
			"change %s of revision %d follows change %q, but change %q is in force",
			record.ChangeID, record.Revision, record.ParentID, current.ChangeID)
	}
	m.log.add(raw)
	m.publish(current.withRecord(record))
	return nil
}

func (m *Manager) hold(record *audit.Record, raw *peerv1.Change) {
	if len(m.held) < maxHeldChanges {
		m.held[record.Revision] = &heldChange{record, raw}
	}
	m.want(record.Revision)
}

// applyHeld applies held changes that have become the next ones and drops
// those that are no longer needed.
func (m *Manager) applyHeld() error {
	for {
		current := m.Current()
		next, ok := m.held[current.Revision+1]
		if !ok {
			break
		}
		delete(m.held, current.Revision+1)
		if err := m.applyNext(current, next.record, next.raw); err != nil {
			return err
		}
	}
	for revision := range m.held {
		if revision <= m.Current().Revision {
			delete(m.held, revision)
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
	m.log.clear()
	m.publish(snapshot)
	if err := m.applyHeld(); err != nil {
		m.opts.Logger.Warn("held configuration change was not applied", "error", err)
	}
}

func (m *Manager) publish(snapshot *Snapshot) {
	m.current.Store(snapshot)
	for _, f := range m.subscribers {
		f(snapshot)
	}
}

// NoteRevision tells the manager that a peer has a revision in force. If it is
// higher than the own one, RunFetch fetches the changes.
func (m *Manager) NoteRevision(revision int64) {
	if revision <= m.Current().Revision {
		return
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.want(revision)
}

func (m *Manager) want(revision int64) {
	m.wanted = max(m.wanted, revision)
	select {
	case m.gap <- struct{}{}:
	default: // a fetch is due already
	}
}
