package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// update is a record that is due to be gossiped.
type update struct {
	daemonID string
	from     string // member that it came from, which needs no copy
	sent     int
}

func (l *List) enqueue(daemonID, from string) {
	l.queue[daemonID] = &update{daemonID: daemonID, from: from}
}

func (l *List) deadlineOf(state State) time.Time {
	switch state {
	case Suspect:
		return l.clock.Now().Add(l.config.SuspicionTimeout)
	case Dead, Left:
		return l.clock.Now().Add(l.config.Retention)
	default:
		return time.Time{}
	}
}

// retransmits is the number of times an update is sent: factor x
// ceil(log2(n+1)), which covers all members with high probability.
func (l *List) retransmits() int {
	return l.config.RetransmitFactor * bits.Len(uint(len(l.entries)+1))
}

// takeUpdates returns the least sent updates that fit into the bound. A record
// that says that the receiver itself is suspected or gone always comes first,
// so that the receiver can refute it.
func (l *List) takeUpdates(to string) []Member {
	var updates []Member
	room := l.config.UpdateBytes
	if e, ok := l.entries[to]; ok && (e.State == Suspect || e.State.Gone()) {
		updates = append(updates, e.Member)
		room -= e.encodedBytes()
	}
	for _, u := range l.dueUpdates(to) {
		m, ok := l.record(u.daemonID)
		if size := m.encodedBytes(); !ok || size > room {
			continue
		}
		room -= m.encodedBytes()
		updates = append(updates, m)
		l.count(u)
	}
	return updates
}

func (l *List) count(u *update) {
	u.sent++
	if u.sent >= l.retransmits() {
		delete(l.queue, u.daemonID)
	}
}

// countAsSent counts all updates that are due for a member that has them.
func (l *List) countAsSent(to string) {
	for _, u := range l.queue {
		if u.daemonID != to {
			l.count(u)
		}
	}
}

func (l *List) dueUpdates(to string) []*update {
	due := make([]*update, 0, len(l.queue))
	for _, u := range l.queue {
		// The own record travels as the sender of each message.
		if u.from != to && u.daemonID != to {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, func(a, b *update) int {
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(a.daemonID, b.daemonID)
	})
	return due
}
