package order

import (
	"container/heap"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Freeze ends the execution of new orders for good. Orders that were not sent
// become not run; orders that were sent go on and are settled by Finish.
func (l *Ledger) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if l.frozen {
		return
	}
	for _, b := range l.books {
		for _, e := range b.entries {
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
// holds. Last is set on the parts that are complete. Entries that are settled
// later are given by TakeLate.
func (l *Ledger) Export() ([]Part, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.advance()
	if !l.frozen {
		return nil, errors.New("the order ledger is not frozen")
	}
	parts := make([]Part, 0, len(l.books))
	for _, b := range l.books {
		part := Part{From: l.self, Executor: b.executor, CompleteAfter: now, Last: b.complete}
		if b.completeAfter.After(now) {
			part.CompleteAfter = b.completeAfter
		}
		for _, e := range b.entries {
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

// CommitTo names the only daemon that may become the successor. It must
// succeed before a last part is sent, since from then on the successor may
// execute keys, even if its acknowledgement is lost.
func (l *Ledger) CommitTo(successor string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.frozen {
		return errors.New("the order ledger is not frozen")
	}
	if l.successor != "" && l.successor != successor {
		return errors.Errorf("the order ledger was already sent to %s", l.successor)
	}
	l.successor = successor
	return nil
}

// Successor returns the daemon ID given to CommitTo, or "".
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

// PutBackLate returns parts of TakeLate that could not be sent.
func (l *Ledger) PutBackLate(parts []Part) {
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

// Unsettled counts the orders that were sent, or received as sent, and whose
// outcome is still awaited.
func (l *Ledger) Unsettled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.late)
	for _, b := range l.books {
		for _, e := range b.entries {
			if e.state() == StateSent {
				n++
			}
		}
	}
	return n
}

// Import takes a part of another daemon's frozen ledger, all entries of one
// transfer at once. After a part with Last, this ledger decides about the
// executor's keys. Without Last it only replays responses. Repeated parts of
// the same sender do no harm. A frozen ledger only takes outcomes of entries
// that it has.
func (l *Ledger) Import(p Part) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if p.Executor == l.self {
		return errors.New("a daemon does not take over its own order ledger")
	}
	b := l.books[p.Executor]
	if b != nil && b.complete {
		return l.importOutcomes(b, p)
	}
	if l.frozen {
		return result.New(result.OrderFrozen, result.NotRun, "the daemon is stopping and takes over no order ledger")
	}
	return l.importBook(b, p)
}

// importOutcomes refines a complete book. Only the daemon that sent the book
// may do so: another one may hold an older state of a key that was started
// again since.
func (l *Ledger) importOutcomes(b *book, p Part) error {
	if p.From != b.sender {
		return errors.Errorf("the order ledger of %s was taken over from %s", p.Executor, b.sender)
	}
	for i := range p.Entries {
		if e := b.entries[p.Entries[i].Key]; e != nil {
			l.refine(e, &p.Entries[i])
		}
	}
	return nil
}

// importBook replaces an incomplete book, whose keys were never started here.
// The entries of an earlier sender could be older than those of this one.
func (l *Ledger) importBook(old *book, p Part) error {
	if old != nil {
		l.drop(old)
	}
	b := newBook(p.Executor, p.From)
	l.books[p.Executor] = b
	for i := range p.Entries {
		if err := l.insert(b, &p.Entries[i]); err != nil {
			l.drop(b)
			return err
		}
	}
	b.complete = p.Last
	b.completeAfter = p.CompleteAfter
	return nil
}

func (l *Ledger) drop(b *book) {
	for _, e := range b.entries {
		heap.Remove(&l.expiry, e.index)
		l.remove(e)
	}
	delete(l.books, b.executor)
}

// insert adds one imported entry.
func (l *Ledger) insert(b *book, in *Entry) error {
	if !l.now.Before(in.Expires) || b.entries[in.Key] != nil {
		return nil
	}
	e := &entry{
		book: b, key: in.Key, account: in.Account, hash: in.Hash, expires: in.Expires,
		machine: l.chart.Machine(), foreign: true, index: -1,
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

// refine applies a later report of the executor. A state that was reached in
// this process is never changed.
func (l *Ledger) refine(e *entry, in *Entry) {
	settled := in.State == StateRan || in.State == StateNotRun || in.State == StateUnknown
	open := e.state() == StateSent || (e.state() == StateUnknown && in.State != StateUnknown)
	if e.foreign && settled && open {
		l.settle(e, in.Outcome)
	}
}

// Abandon settles as unknown the orders whose outcome was awaited from a
// daemon that died. A late report of that daemon still replaces the unknown.
func (l *Ledger) Abandon(daemonID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	for _, b := range l.books {
		if b.sender != daemonID {
			continue
		}
		for _, e := range b.entries {
			if e.foreign && e.state() == StateSent {
				l.settle(e, Outcome{
					Execution: result.Unknown, Code: result.OrderOutcomeUnknown,
					Detail: "the daemon that sent the order died before it reported an outcome",
				})
			}
		}
	}
}
