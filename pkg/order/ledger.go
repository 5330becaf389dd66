package order

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// Ledger records the orders of one daemon incarnation and their outcomes. It
// also holds the ledgers that the daemon took over. It is safe for concurrent
// use.
type Ledger struct {
	self   string
	clock  clockwork.Clock
	limits Limits
	chart  *statechart.Chart

	mu        sync.Mutex
	now       time.Time // never decreases, so a dropped key stays expired
	keySets   map[string]*keySet
	expiry    expiryHeap
	bytes     int64  // size of all entries
	count     int    // number of entries
	frozen    bool   // orders are no longer started or sent, because the daemon stops
	successor string // set before the successor can execute a key
	late      []lateEntry
}

// keySet holds the keys of one daemon incarnation.
type keySet struct {
	executor string // ID of the incarnation
	sender   string // daemon that sent the keys; empty for this daemon's own keys
	// complete means that entries has every key that was ever started and that
	// expires after completeAfter, and that no other daemon can start one.
	complete      bool
	completeAfter time.Time
	entries       map[string]*entry
}

type entry struct {
	keySet   *keySet
	key      string
	account  string
	hash     [32]byte
	expires  time.Time
	machine  *statechart.Machine
	current  *attempt // nil unless pending or sent
	outcome  Outcome
	imported bool  // the current state came from another daemon
	size     int64 // in bytes
	index    int   // in the expiry heap, -1 if not in it
}

// lateEntry is an entry that was settled after the freeze and must be sent to
// the successor.
type lateEntry struct {
	executor string
	entry    Entry
}

// attempt is one execution of an entry. Waiters keep a reference to it, because
// the entry may be started again.
type attempt struct {
	done    chan struct{}
	outcome Outcome // valid after done is closed
}

func (e *entry) state() State { return State(e.machine.State()) }

// NewLedger returns the empty ledger of the daemon incarnation with the ID self.
func NewLedger(self string, clock clockwork.Clock, limits Limits) (*Ledger, error) {
	chart, err := statechart.Load(charts.Files, "order")
	if err != nil {
		return nil, errors.Wrap(err, "load the order chart")
	}
	l := &Ledger{
		self: self, clock: clock, limits: limits, chart: chart,
		keySets: make(map[string]*keySet), now: clock.Now().Round(0),
	}
	l.keySets[self] = newKeySet(self, "")
	l.keySets[self].complete = true
	return l, nil
}

func newKeySet(executor, sender string) *keySet {
	return &keySet{executor: executor, sender: sender, entries: make(map[string]*entry)}
}

// Begin decides what to do with an order. account and hash identify the request
// that the key belongs to; another request with the same key is an error.
func (l *Ledger) Begin(key Key, account string, hash [32]byte) (Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.advance().Before(key.Expires) {
		return Ticket{}, result.New(result.OrderKeyExpired, result.Unknown,
			"the order token expired at %s", key.Expires.UTC().Format(time.RFC3339Nano))
	}
	set := l.keySets[key.DaemonID]
	if set == nil {
		return Ticket{Decision: NotOwner}, nil
	}
	e := set.entries[key.Text]
	if e == nil {
		return l.beginNew(set, key, account, hash)
	}
	if e.account != account || e.hash != hash {
		return Ticket{}, result.New(result.OrderKeyReused, result.NotRun,
			"the Idempotency-Key belongs to another request")
	}
	switch state := e.state(); {
	case !set.complete && state != StateRan:
		return Ticket{Decision: NotOwner}, nil
	case state == StatePending || state == StateSent:
		return Ticket{Decision: Wait, entry: e, attempt: e.current}, nil
	case state == StateNotRun:
		return l.beginAgain(set, e)
	}
	return Ticket{Decision: Replay, Outcome: e.outcome}, nil
}

func (l *Ledger) beginNew(set *keySet, key Key, account string, hash [32]byte) (Ticket, error) {
	if set.complete && !key.Expires.After(set.completeAfter) {
		return Ticket{}, result.New(result.OrderKeyExpired, result.Unknown,
			"the order token had expired on the daemon that issued it")
	}
	if t, refused, err := l.refuseStart(set); refused {
		return t, err
	}
	e := &entry{
		keySet: set, key: key.Text, account: account, hash: hash, expires: key.Expires,
		machine: l.chart.Machine(), index: -1,
	}
	if err := l.reserve(e); err != nil {
		return Ticket{}, err
	}
	l.add(e)
	return l.start(e), nil
}

func (l *Ledger) beginAgain(set *keySet, e *entry) (Ticket, error) {
	if t, refused, err := l.refuseStart(set); refused {
		return t, err
	}
	if err := l.reserve(e); err != nil {
		return Ticket{}, err
	}
	_ = e.machine.Fire("restart")
	return l.start(e), nil
}

// refuseStart reports whether no execution of the key set's keys may start here,
// and returns the ticket or the error for the caller.
func (l *Ledger) refuseStart(set *keySet) (t Ticket, refused bool, err error) {
	switch {
	case !set.complete:
		return Ticket{Decision: NotOwner}, true, nil
	case l.successor != "":
		return Ticket{Decision: Forward, Successor: l.successor}, true, nil
	case l.frozen:
		return Ticket{}, true, result.New(result.OrderFrozen, result.NotRun,
			"the daemon is stopping and did not start the order")
	}
	return Ticket{}, false, nil
}

func (l *Ledger) start(e *entry) Ticket {
	e.current = &attempt{done: make(chan struct{})}
	e.imported = false
	e.outcome = Outcome{}
	return Ticket{Decision: Start, entry: e, attempt: e.current}
}

// MarkSent records that the order is about to be sent. It must succeed before
// the first byte of the order is written to an upstream. The deadline is checked
// in the critical section that records the send, so a process that was paused
// before this call doesn't send late. With a zero deadline only the token's
// expiry bounds the order.
func (l *Ledger) MarkSent(t Ticket, deadline time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.advance()
	e := t.entry
	switch {
	case e == nil || t.Decision != Start:
		return result.New(result.Internal, result.NotRun, "the ticket does not allow an execution")
	case l.frozen:
		return l.adjustForSuccessor(Outcome{
			Execution: result.NotRun, Code: result.OrderFrozen,
			Detail: "the daemon is stopping and did not send the order",
		}).Err()
	case e.current != t.attempt || e.state() != StatePending:
		return result.New(result.Internal, result.NotRun, "the attempt has already ended or been sent")
	case !deadline.IsZero() && !now.Before(deadline):
		return result.New(result.DeadlineExceeded, result.NotRun,
			"the deadline passed before the order was sent")
	case !now.Before(e.expires):
		return result.New(result.OrderKeyExpired, result.NotRun,
			"the order token expired before the order was sent")
	}
	return e.machine.Fire("mark_sent")
}

// Finish records the outcome of an attempt and wakes its waiters. It returns
// the outcome to report to the caller. An order that the freeze stopped before it
// was sent ends with the code OrderFrozen; its execution is result.Unknown if a
// successor already decides about it.
func (l *Ledger) Finish(t Ticket, outcome Outcome) (Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	e := t.entry
	if e == nil || t.Decision != Start {
		return outcome, errors.New("the ticket does not allow an execution")
	}
	if e.current != t.attempt {
		if outcome.Execution != result.NotRun {
			return outcome, errors.Errorf("the order ended as %q after its attempt had been closed", outcome.Execution)
		}
		return l.adjustForSuccessor(t.attempt.outcome), nil
	}
	if outcome.Execution == result.NotRun && outcome.Code == result.OK {
		outcome.Code = result.Internal
	}
	l.settle(e, outcome)
	return outcome, nil
}

// adjustForSuccessor changes the outcome of an order that the freeze stopped
// from not run to unknown once a successor is committed, because the successor
// may have executed the order.
func (l *Ledger) adjustForSuccessor(outcome Outcome) Outcome {
	if outcome.Code == result.OrderFrozen && outcome.Execution == result.NotRun && l.successor != "" {
		outcome.Execution = result.Unknown
		outcome.Detail = "the daemon is stopping; its successor decides about the order"
	}
	return outcome
}

// settle ends the current attempt of e with the given outcome.
func (l *Ledger) settle(e *entry, outcome Outcome) {
	_ = e.machine.Fire(eventOf(outcome.Execution))
	waiters := e.current
	e.current = nil
	if waiters != nil {
		waiters.outcome = outcome
		close(waiters.done)
	}
	if outcome.Response.size() > l.limits.MaxResponseBytes {
		outcome = Outcome{
			Execution: outcome.Execution, Code: result.UpstreamIncomplete,
			Detail: "the order ran; its response was too large to be stored",
		}
	}
	e.outcome = outcome
	l.resize(e, e.baseSize()+outcome.Response.size())
	if l.frozen {
		l.late = append(l.late, lateEntry{executor: e.keySet.executor, entry: e.export()})
	}
	if e.index < 0 {
		l.remove(e) // it expired while it was in progress
	}
}

func eventOf(x result.Execution) string {
	switch x {
	case result.Ran:
		return "ran"
	case result.NotRun:
		return "not_run"
	}
	return "unknown"
}

// Wait returns the outcome of an order that is in progress. If ctx ends first,
// the order may still be executed.
func (l *Ledger) Wait(ctx context.Context, t Ticket) (Outcome, error) {
	if t.attempt == nil {
		return Outcome{}, errors.New("the order of the ticket is not in progress")
	}
	select {
	case <-t.attempt.done:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.adjustForSuccessor(t.attempt.outcome), nil
	case <-ctx.Done():
		return Outcome{}, result.Wrap(ctx.Err(), result.OrderInProgress, result.Unknown,
			"the order is still being executed")
	}
}

// Stats returns the ledger's current size and state.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Entries: l.count, Bytes: l.bytes, Frozen: l.frozen}
}
