package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// update refers to a record that must still be gossiped.
type update struct {
	daemonID string
	from     string // member that sent the record and therefore has it
	sent     int    // number of times the update was sent
}

func (l *List) enqueue(daemonID, from string) {
	l.queue[daemonID] = &update{daemonID: daemonID, from: from}
}

// deadlineOf returns the time at which a record that now gets the state must be
// changed or deleted, zero if never.
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

// maxTransmits is the number of times an update is sent: RetransmitFactor *
// ceil(log2(members+1)), with which it reaches all members with high probability.
func (l *List) maxTransmits() int {
	return l.config.RetransmitFactor * bits.Len(uint(len(l.entries)+1))
}

// takeUpdates returns the updates for the member to, those sent the fewest times
// first, up to UpdateBytes. If the receiver itself is suspect or gone, its record
// always comes first, so that it can refute it.
func (l *List) takeUpdates(to string) []Member {
	var updates []Member
	remainingBytes := l.config.UpdateBytes
	if e, ok := l.entries[to]; ok && (e.State == Suspect || e.State.Gone()) {
		updates = append(updates, e.Member)
		remainingBytes -= e.encodedBytes()
	}
	for _, u := range l.dueUpdates(to) {
		m, ok := l.record(u.daemonID)
		if size := m.encodedBytes(); !ok || size > remainingBytes {
			continue
		}
		remainingBytes -= m.encodedBytes()
		updates = append(updates, m)
		l.countSent(u)
	}
	return updates
}

// countSent counts one transmission of u and removes it after the last one.
func (l *List) countSent(u *update) {
	u.sent++
	if u.sent >= l.maxTransmits() {
		delete(l.queue, u.daemonID)
	}
}

// countAllSent counts all updates as sent once to a member that already has them.
func (l *List) countAllSent(to string) {
	for _, u := range l.queue {
		if u.daemonID != to {
			l.countSent(u)
		}
	}
}

// dueUpdates returns the queued updates that the member to may not have yet,
// those sent the fewest times first.
func (l *List) dueUpdates(to string) []*update {
	due := make([]*update, 0, len(l.queue))
	for _, u := range l.queue {
		// A receiver needs no updates that it sent, and none about itself: its own
		// record is the Sender of each of its messages.
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
