package order

import (
	"container/heap"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Freeze permanently stops the execution of new orders. Orders that were not
// sent get the state not_run; orders that were sent continue, and Finish settles
// them.
func (l *Ledger) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if l.frozen {
		return
	}
	for _, set := range l.keySets {
		for _, e := range set.entries {
			if e.state() == StatePending {
				l.settle(e, Outcome{
					Execution: result.NotRun, Code: result.OrderFrozen,
					Detail: "the daemon is stopping and did not send the order",
				})
			}
		}
	}
	l.frozen = true
}

// Export returns one part for each incarnation whose keys the frozen ledger
// holds. Last is set on the parts that are complete. TakeLate returns the entries
// that are settled later.
func (l *Ledger) Export() ([]Part, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.advance()
	if !l.frozen {
		return nil, errors.New("the order ledger is not frozen")
	}
	parts := make([]Part, 0, len(l.keySets))
	for _, set := range l.keySets {
		part := Part{From: l.self, Executor: set.executor, CompleteAfter: now, Last: set.complete}
		if set.completeAfter.After(now) {
			part.CompleteAfter = set.completeAfter
		}
		for _, e := range set.entries {
			part.Entries = append(part.Entries, e.export())
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func (e *entry) export() Entry {
	return Entry{
		Key: e.key, Account: e.account, Hash: e.hash, State: e.state(),
		Outcome: e.outcome, Expires: e.expires,
	}
}

// CommitSuccessor sets the only daemon that may become the successor. It must
// succeed before a part with Last is sent, because from then on the successor may
// execute keys, even if its acknowledgement is lost.
func (l *Ledger) CommitSuccessor(successor string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.frozen {
		return errors.New("the order ledger is not frozen")
	}
	if l.successor != "" && l.successor != successor {
		return errors.Errorf("the order ledger was already committed to %s", l.successor)
	}
	l.successor = successor
	return nil
}

// Successor returns the daemon ID that was passed to CommitSuccessor, or "".
func (l *Ledger) Successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// TakeLate removes and returns the entries that were settled after the
// freeze. Import accepts them in any order and more than once.
func (l *Ledger) TakeLate() []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := make([]Part, 0, len(l.late))
	for _, late := range l.late {
		parts = append(parts, Part{From: l.self, Executor: late.executor, Entries: []Entry{late.entry}})
	}
	l.late = nil
	return parts
}

// RequeueLate queues parts from TakeLate again that could not be sent.
func (l *Ledger) RequeueLate(parts []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		for _, e := range p.Entries {
			if l.advance().Before(e.Expires) {
				l.late = append(l.late, lateEntry{executor: p.Executor, entry: e})
			}
		}
	}
}

// Unsettled returns the number of orders that were sent, here or by another
// daemon, and whose outcome hasn't been reported yet, plus the number of late
// entries that must still be sent to the successor.
func (l *Ledger) Unsettled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.late)
	for _, set := range l.keySets {
		for _, e := range set.entries {
			if e.state() == StateSent {
				n++
			}
		}
	}
	return n
}

// Import adds a part of another daemon's frozen ledger; the part must hold all
// entries of a transfer. After a part with Last, this ledger decides about the
// executor's keys. Without Last it only replays responses. Importing a part of
// the same sender again has no further effect. A frozen ledger only accepts
// outcomes of entries that it already has.
func (l *Ledger) Import(p Part) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if p.Executor == l.self {
		return errors.New("a daemon cannot take over its own order ledger")
	}
	set := l.keySets[p.Executor]
	if set != nil && set.complete {
		return l.updateOutcomes(set, p)
	}
	if l.frozen {
		return result.New(result.OrderFrozen, result.NotRun, "the daemon is stopping and does not take over an order ledger")
	}
	return l.importKeySet(set, p)
}

// updateOutcomes updates the outcomes in a complete key set. Only the daemon that
// sent the key set may do so: another one may hold an older state of a key that
// has been started again since.
func (l *Ledger) updateOutcomes(set *keySet, p Part) error {
	if p.From != set.sender {
		return errors.Errorf("the order ledger of %s was taken over from %s", p.Executor, set.sender)
	}
	for i := range p.Entries {
		if e := set.entries[p.Entries[i].Key]; e != nil {
			l.updateOutcome(e, &p.Entries[i])
		}
	}
	return nil
}

// importKeySet replaces an incomplete key set, whose keys were never started
// here. It doesn't merge the two, because the entries of an earlier sender could
// be older than those of this one.
func (l *Ledger) importKeySet(old *keySet, p Part) error {
	if old != nil {
		l.dropKeySet(old)
	}
	set := newKeySet(p.Executor, p.From)
	l.keySets[p.Executor] = set
	for i := range p.Entries {
		if err := l.insertImported(set, &p.Entries[i]); err != nil {
			l.dropKeySet(set)
			return err
		}
	}
	set.complete = p.Last
	set.completeAfter = p.CompleteAfter
	return nil
}

func (l *Ledger) dropKeySet(set *keySet) {
	for _, e := range set.entries {
		heap.Remove(&l.expiry, e.index)
		l.remove(e)
	}
	delete(l.keySets, set.executor)
}

// insertImported adds one imported entry unless it has expired or is a duplicate.
func (l *Ledger) insertImported(set *keySet, in *Entry) error {
	if !l.now.Before(in.Expires) || set.entries[in.Key] != nil {
		return nil
	}
	e := &entry{
		keySet: set, key: in.Key, account: in.Account, hash: in.Hash, expires: in.Expires,
		machine: l.chart.Machine(), imported: true, index: -1,
	}
	size := e.baseSize() + in.Outcome.Response.size()
	if l.count >= l.limits.MaxEntries || l.bytes+size > l.limits.MaxBytes {
		return result.New(result.Overloaded, result.NotRun,
			"the order ledger is full (%d entries, %d bytes)", l.count, l.bytes)
	}
	l.resize(e, size)
	l.add(e)
	_ = e.machine.Fire("mark_sent")
	if in.State == StateSent || in.State == StatePending {
		e.current = &attempt{done: make(chan struct{})}
		return nil
	}
	e.outcome = in.Outcome
	return e.machine.Fire(string(in.State))
}

// updateOutcome applies a later report of the sending daemon. A state that was reached
// in this process is never changed.
func (l *Ledger) updateOutcome(e *entry, in *Entry) {
	settled := in.State == StateRan || in.State == StateNotRun || in.State == StateUnknown
	pending := e.state() == StateSent || (e.state() == StateUnknown && in.State != StateUnknown)
	if e.imported && settled && pending {
		l.settle(e, in.Outcome)
	}
}

// MarkUnknown settles orders as unknown if their outcome was awaited from a
// daemon that died. A late report of that daemon still replaces that outcome.
func (l *Ledger) MarkUnknown(daemonID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	for _, set := range l.keySets {
		if set.sender != daemonID {
			continue
		}
		for _, e := range set.entries {
			if e.imported && e.state() == StateSent {
				l.settle(e, Outcome{
					Execution: result.Unknown, Code: result.OrderOutcomeUnknown,
					Detail: "the daemon that sent the order died before it reported an outcome",
				})
			}
		}
	}
}
