package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Request returns the message of a probe to a member. It asks for the full
// state if the lists of the two have differed for some time.
func (l *List) Request(daemonID string) Message {
	l.mu.Lock()
	defer l.unlock()
	c := l.contacts[daemonID]
	full := c != nil && c.mismatches >= mismatchLimit &&
		l.clock.Since(l.lastFullState) >= l.config.FullStateInterval
	if full {
		c.mismatches = 0
		l.lastFullState = l.clock.Now()
	}
	return l.message(daemonID, full)
}

// JoinRequest returns a message that carries and asks for the full state.
func (l *List) JoinRequest() Message {
	l.mu.Lock()
	defer l.unlock()
	return l.message("", true)
}

func (l *List) message(to string, full bool) Message {
	m := Message{Sender: l.self, Full: full, Hash: l.stateHash()}
	if dead, ok := l.revived[to]; ok {
		delete(l.revived, to)
		m.Updates = append(m.Updates, dead)
	}
	if full {
		for _, e := range l.entries {
			m.Updates = append(m.Updates, e.Member)
		}
		return m
	}
	if c, ok := l.contacts[to]; ok && c.hash == m.Hash {
		l.countAsSent(to) // the member has the same list
		return m
	}
	m.Updates = append(m.Updates, l.takeUpdates(to)...)
	return m
}

// Answer merges a probe and returns the reply. The reply corrects every record
// of the probe that is older than the own one.
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

// Merge takes over the reply to a probe.
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
// older than the own ones.
func (l *List) merge(m Message) []string {
	from := m.Sender.DaemonID
	var stale []string
	for _, member := range append([]Member{m.Sender}, m.Updates...) {
		if member.DaemonID == "" || member.State.rank() == 0 {
			continue
		}
		if better := l.apply(member, from); better != "" {
			stale = append(stale, better)
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

// apply merges one record. It returns the daemon ID of a known record that
// overrules it, or an empty string.
func (l *List) apply(m Member, from string) string {
	switch {
	case m.DaemonID == l.self.DaemonID:
		l.applySelf(m)
		return ""
	case m.place() == l.self.place():
		return l.applyPredecessor(m)
	}
	old, known := l.entries[m.DaemonID]
	if !known && m.State.Gone() {
		// Storing it would restart its retention, and it would circulate for ever.
		return ""
	}
	if known && !m.newer(old.Member) {
		if old.newer(m) {
			return m.DaemonID
		}
		return ""
	}
	if holder := l.placeHolder(m); holder != nil && holder.supersedes(m) && !m.State.Gone() {
		if known {
			m.State = Dead
			l.store(m, from)
			l.entries[m.DaemonID].superseded = true
		}
		return holder.DaemonID
	}
	if known && old.State == Dead && !m.State.Gone() {
		l.revived[m.DaemonID] = old.Member
	}
	l.store(m, from)
	return ""
}

func (l *List) placeHolder(m Member) *entry {
	id, ok := l.places[m.place()]
	if !ok || id == m.DaemonID {
		return nil
	}
	return l.entries[id]
}

// applySelf handles what others say about this daemon. That it was declared
// dead counts also for an earlier incarnation: a refuted suspicion raises the
// incarnation before the declaration of others arrives.
func (l *List) applySelf(m Member) {
	if l.self.State == Left {
		return
	}
	switch {
	case m.State.Gone():
		if m.Incarnation > l.deadAt {
			l.givenUp(m.Incarnation)
		}
	case m.Incarnation < l.self.Incarnation:
	case m.State == Suspect || m.Incarnation > l.self.Incarnation:
		l.raise(m.Incarnation)
	}
}

func (l *List) givenUp(incarnation uint64) {
	l.deadAt = max(l.deadAt, incarnation)
	l.raise(incarnation)
	if hook := l.config.Hooks.GivenUp; hook != nil {
		record := l.self
		l.events = append(l.events, func() { hook(record) })
	}
}

// applyPredecessor handles another process at the daemon's own name and
// address. The daemon answers there, so it is the later one and takes the
// higher incarnation.
func (l *List) applyPredecessor(m Member) string {
	if m.State.Gone() {
		return ""
	}
	if m.supersedes(l.self) && l.self.State != Left {
		l.raise(m.Incarnation)
		if hook := l.config.Hooks.Conflict; hook != nil {
			l.events = append(l.events, func() { hook(m) })
		}
	}
	return l.self.DaemonID
}

// store keeps the record m, sets its deadline, gossips it, and marks an
// earlier process at the same place as dead.
func (l *List) store(m Member, from string) {
	e, known := l.entries[m.DaemonID]
	if !known {
		e = &entry{}
		l.entries[m.DaemonID] = e
	}
	m.ConfigRevision = max(m.ConfigRevision, e.ConfigRevision)
	e.Member = m
	e.deadline = l.deadlineOf(m.State)
	if m.State.Gone() {
		if l.places[m.place()] == m.DaemonID {
			delete(l.places, m.place())
		}
		delete(l.contacts, m.DaemonID)
	} else {
		e.superseded = false
		l.supersede(m)
		l.places[m.place()] = m.DaemonID
	}
	l.enqueue(m.DaemonID, from)
	l.changed()
}

func (l *List) supersede(m Member) {
	old := l.placeHolder(m)
	if old == nil || old.State.Gone() {
		return
	}
	old.State = Dead
	old.superseded = true
	old.deadline = l.deadlineOf(Dead)
	delete(l.contacts, old.DaemonID)
	delete(l.queue, old.DaemonID) // the others conclude it from the new record
}

func memberHash(m Member) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.DaemonID...)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = append(b, byte(m.State))
	return xxhash.Sum64(b)
}
