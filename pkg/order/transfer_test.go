package order

import (
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

func importAll(tb testing.TB, to *Ledger, parts []Part) {
	tb.Helper()
	for _, p := range parts {
		if err := to.Import(p); err != nil {
			tb.Fatal(err)
		}
	}
}

func frozenParts(tb testing.TB, l *Ledger) []Part {
	tb.Helper()
	l.Freeze()
	parts, err := l.Export()
	if err != nil {
		tb.Fatal(err)
	}
	return parts
}

// Guards against a second execution of a key that ran, and that its executor has
// dropped as expired because its clock is ahead of the successor's.
func TestSuccessorRefusesKeysThatTheOldLedgerDropped(t *testing.T) {
	old, next := newLedgerFixture(t, "old", DefaultLimits()), newLedgerFixture(t, "next", DefaultLimits())
	run(t, old.ledger, testKey("old", 1), "")
	old.clock.Advance(time.Minute)
	importAll(t, next.ledger, frozenParts(t, old.ledger))
	_, err := next.ledger.Begin(testKey("old", 1), "a", [32]byte{})
	if e := result.From(err); e.Code != result.OrderKeyExpired || e.Execution != result.Unknown {
		t.Errorf("dropped key: %v", err)
	}
}

// Guards against restarting a key because an earlier owner of the ledger reports
// it as not run, when a later owner has sent it since.
func TestReportOfAnEarlierOwnerIsRefused(t *testing.T) {
	first, second, third := newLedgerFixture(t, "first", DefaultLimits()), newLedgerFixture(t, "second", DefaultLimits()), newLedgerFixture(t, "third", DefaultLimits())
	key := testKey("first", 1)
	refused, _ := first.ledger.Begin(key, "a", [32]byte{})
	_ = first.ledger.MarkSent(refused, time.Time{})
	importAll(t, second.ledger, frozenParts(t, first.ledger))
	_, _ = first.ledger.Finish(refused, Outcome{Execution: result.NotRun, Code: result.UpstreamRefused})
	late := first.ledger.TakeLate()
	importAll(t, second.ledger, late)
	again, err := second.ledger.Begin(key, "a", [32]byte{})
	if err != nil || again.Decision != Start || second.ledger.MarkSent(again, time.Time{}) != nil {
		t.Fatalf("refused order: %+v, %v", again, err)
	}
	importAll(t, third.ledger, frozenParts(t, second.ledger))
	if err := third.ledger.Import(late[0]); err == nil {
		t.Error("the report of an earlier owner was accepted")
	}
	if got, _ := third.ledger.Begin(key, "a", [32]byte{}); got.Decision != Wait {
		t.Errorf("decision %d, want Wait", got.Decision)
	}
}

// Guards against merging an incomplete transfer from one owner of the ledger with
// the complete one from a later owner.
func TestCompleteTransferReplacesAnIncompleteOne(t *testing.T) {
	first, second, third := newLedgerFixture(t, "first", DefaultLimits()), newLedgerFixture(t, "second", DefaultLimits()), newLedgerFixture(t, "third", DefaultLimits())
	key := testKey("first", 1)
	_, _ = first.ledger.Begin(key, "a", [32]byte{}) // not run after the freeze
	parts := frozenParts(t, first.ledger)
	incomplete := parts[0]
	incomplete.Last = false
	importAll(t, third.ledger, []Part{incomplete})
	if got, _ := third.ledger.Begin(key, "a", [32]byte{}); got.Decision != NotOwner {
		t.Errorf("incomplete ledger: decision %d, want NotOwner", got.Decision)
	}
	importAll(t, second.ledger, parts)
	run(t, second.ledger, key, "receipt")
	importAll(t, third.ledger, frozenParts(t, second.ledger))
	if got, _ := third.ledger.Begin(key, "a", [32]byte{}); got.Decision != Replay {
		t.Errorf("complete ledger: decision %d, want Replay", got.Decision)
	}
}
