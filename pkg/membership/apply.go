package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Request returns the request of a probe to a member. It requests the full state
// if the two lists have differed in fullStateMismatches consecutive probes.
func (l *List) Request(daemonID string) Message {
	l.mu.Lock()
	defer l.unlock()
	c := l.contacts[daemonID]
	full := c != nil && c.mismatches >= fullStateMismatches &&
		l.clock.Since(l.lastFullState) >= l.config.FullStateInterval
	if full {
		c.mismatches = 0
		l.lastFullState = l.clock.Now()
	}
	return l.message(daemonID, full)
}

// JoinRequest returns a request that contains and asks for the full state.
func (l *List) JoinRequest() Message {
	l.mu.Lock()
	defer l.unlock()
	return l.message("", true)
}

func (l *List) message(to string, full bool) Message {
	m := Message{Sender: l.self, Full: full, Hash: l.stateHash()}
	if dead, ok := l.refutedDeaths[to]; ok {
		delete(l.refutedDeaths, to)
		m.Updates = append(m.Updates, dead)
	}
	if full {
		for _, e := range l.entries {
			m.Updates = append(m.Updates, e.Member)
		}
		return m
	}
	if c, ok := l.contacts[to]; ok && c.hash == m.Hash {
		l.countAllSent(to) // the member already has the same list
		return m
	}
	m.Updates = append(m.Updates, l.takeUpdates(to)...)
	return m
}

// Answer merges the request of a probe and returns the reply. The reply corrects
// each record of the request that is older than this list's.
func (l *List) Answer(request Message) Message {
	l.mu.Lock()
	defer l.unlock()
	stale := l.merge(request)
	reply := l.message(request.Sender.DaemonID, request.Full)
	if !request.Full {
		reply.Updates = l.withCorrections(reply.Updates, stale)
	}
	return reply
}

func (l *List) withCorrections(updates []Member, stale []string) []Member {
	present := make(map[string]bool, len(updates))
	for _, m := range updates {
		present[m.DaemonID] = true
	}
	for _, id := range stale {
		if m, ok := l.record(id); ok && !present[id] {
			updates = append(updates, m)
			present[id] = true
		}
	}
	return updates
}

// Merge merges the reply to a probe into the list.
func (l *List) Merge(reply Message) {
	l.mu.Lock()
	defer l.unlock()
	l.merge(reply)
	c, ok := l.contacts[reply.Sender.DaemonID]
	switch {
	case !ok:
	case c.hash == l.stateHash():
		c.mismatches = 0
	default:
		c.mismatches++
	}
}

// merge applies a message and returns the daemon IDs whose records in it are
// older than this list's.
func (l *List) merge(m Message) []string {
	from := m.Sender.DaemonID
	var stale []string
	for _, member := range append([]Member{m.Sender}, m.Updates...) {
		if member.DaemonID == "" || member.State.rank() == 0 {
			continue
		}
		if current := l.apply(member, from); current != "" {
			stale = append(stale, current)
		}
	}
	if e, ok := l.entries[from]; ok {
		e.ConfigRevision = max(e.ConfigRevision, m.Sender.ConfigRevision)
		if !e.State.Gone() {
			l.contact(from).hash = m.Hash
		}
	}
	return stale
}

func (l *List) contact(daemonID string) *contact {
	c, ok := l.contacts[daemonID]
	if !ok {
		c = &contact{}
		l.contacts[daemonID] = c
	}
	return c
}

// apply merges one record. If a known record overrides it, apply returns the
// daemon ID of that record, otherwise an empty string.
func (l *List) apply(m Member, from string) string {
	switch {
	case m.DaemonID == l.self.DaemonID:
		l.applySelf(m)
		return ""
	case m.nodeKey() == l.self.nodeKey():
		return l.applyPredecessor(m)
	}
	old, known := l.entries[m.DaemonID]
	if !known && m.State.Gone() {
		// Storing the record would restart its retention on each member in turn, so
		// that it would never disappear.
		return ""
	}
	if known && !m.overrides(old.Member) {
		if old.overrides(m) {
			return m.DaemonID
		}
		return ""
	}
	if other := l.otherAtNodeKey(m); other != nil && other.supersedes(m) && !m.State.Gone() {
		if known {
			m.State = Dead
			l.setRecord(m, from)
			l.entries[m.DaemonID].superseded = true
		}
		return other.DaemonID
	}
	if known && old.State == Dead && !m.State.Gone() {
		l.refutedDeaths[m.DaemonID] = old.Member
	}
	l.setRecord(m, from)
	return ""
}

// otherAtNodeKey returns the live entry with the same name and peer address as m
// and another daemon ID, or nil.
func (l *List) otherAtNodeKey(m Member) *entry {
	id, ok := l.liveByNodeKey[m.nodeKey()]
	if !ok || id == m.DaemonID {
		return nil
	}
	return l.entries[id]
}

// applySelf handles a record of this daemon from other members. A record that
// declares it dead also matters if it is about an earlier incarnation, because a
// refuted suspicion may have raised the incarnation before that record arrives.
func (l *List) applySelf(m Member) {
	if l.self.State == Left {
		return
	}
	switch {
	case m.State.Gone():
		if m.Incarnation > l.declaredDeadAt {
			l.declaredDead(m.Incarnation)
		}
	case m.Incarnation < l.self.Incarnation:
	case m.State == Suspect || m.Incarnation > l.self.Incarnation:
		l.raiseIncarnation(m.Incarnation)
	}
}

// declaredDead handles that others declared this daemon dead at an incarnation.
func (l *List) declaredDead(incarnation uint64) {
	l.declaredDeadAt = max(l.declaredDeadAt, incarnation)
	l.raiseIncarnation(incarnation)
	if hook := l.config.Hooks.DeclaredDead; hook != nil {
		record := l.self
		l.pendingHooks = append(l.pendingHooks, func() { hook(record) })
	}
}

// applyPredecessor handles the record of another process with the daemon's own
// name and peer address. The daemon answers at that address, so it is the later
// process, and raises its incarnation above the other's.
func (l *List) applyPredecessor(m Member) string {
	if m.State.Gone() {
		return ""
	}
	if m.supersedes(l.self) && l.self.State != Left {
		l.raiseIncarnation(m.Incarnation)
		if hook := l.config.Hooks.Conflict; hook != nil {
			l.pendingHooks = append(l.pendingHooks, func() { hook(m) })
		}
	}
	return l.self.DaemonID
}

// setRecord stores the record m, sets its deadline, gossips it, and marks an
// earlier process with the same name and peer address as dead.
func (l *List) setRecord(m Member, from string) {
	e, known := l.entries[m.DaemonID]
	if !known {
		e = &entry{}
		l.entries[m.DaemonID] = e
	}
	m.ConfigRevision = max(m.ConfigRevision, e.ConfigRevision)
	e.Member = m
	e.deadline = l.deadlineOf(m.State)
	if m.State.Gone() {
		if l.liveByNodeKey[m.nodeKey()] == m.DaemonID {
			delete(l.liveByNodeKey, m.nodeKey())
		}
		delete(l.contacts, m.DaemonID)
	} else {
		e.superseded = false
		l.supersede(m)
		l.liveByNodeKey[m.nodeKey()] = m.DaemonID
	}
	l.enqueue(m.DaemonID, from)
	l.changed()
}

// supersede marks the earlier process with m's name and peer address as dead.
func (l *List) supersede(m Member) {
	old := l.otherAtNodeKey(m)
	if old == nil || old.State.Gone() {
		return
	}
	old.State = Dead
	old.superseded = true
	old.deadline = l.deadlineOf(Dead)
	delete(l.contacts, old.DaemonID)
	delete(l.queue, old.DaemonID) // the other members infer it from the record m
}

func memberHash(m Member) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.DaemonID...)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = append(b, byte(m.State))
	return xxhash.Sum64(b)
}
