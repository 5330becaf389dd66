package order

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

func secret(b byte) []byte { return []byte(strings.Repeat(string(b), MinSecretBytes)) }

// Guards against keys that are accepted without a valid signature, and against
// reporting "not run" for a key that another daemon may have accepted.
func TestParseKey(t *testing.T) {
	oldSigner, _ := NewSigner(SecretKey{"k1", secret('a')})
	signer, err := NewSigner(SecretKey{"k2", secret('b')}, SecretKey{"k1", secret('a')})
	if err != nil {
		t.Fatal(err)
	}
	expires := time.UnixMilli(1_800_000_000_123)
	token, _ := oldSigner.Issue("daemon-7", expires)
	key, err := signer.ParseKey(JoinKey(token, "reserve.42"))
	if err != nil || key.DaemonID != "daemon-7" || !key.Expires.Equal(expires) {
		t.Fatalf("rotated key: %+v, %v", key, err)
	}
	newToken, _ := signer.Issue("daemon-7", expires)
	cases := map[string]struct {
		key       string
		execution result.Execution
	}{
		"no part":      {token, result.NotRun},
		"empty part":   {token + ".", result.NotRun},
		"long part":    {token + "." + strings.Repeat("x", MaxCallerPartBytes+1), result.NotRun},
		"control char": {token + ".a\nb", result.NotRun},
		"not base64":   {"*" + token[1:] + ".a", result.NotRun},
		"short":        {token[:20] + ".a", result.NotRun},
		"forged":       {token[:10] + "AAAA" + token[14:] + ".a", result.NotRun},
		"unknown key":  {newToken + ".a", result.Unknown},
	}
	for name, c := range cases {
		_, err := oldSigner.ParseKey(c.key)
		if e := result.From(err); err == nil || e.Code != result.OrderKeyInvalid || e.Execution != c.execution {
			t.Errorf("%s: %v", name, err)
		}
	}
}

type ledgerFixture struct {
	clock  *clockwork.FakeClock
	ledger *Ledger
}

func newLedgerFixture(tb testing.TB, name string, limits Limits) ledgerFixture {
	tb.Helper()
	clock := clockwork.NewFakeClockAt(epoch)
	l, err := NewLedger(name, clock, limits)
	if err != nil {
		tb.Fatal(err)
	}
	return ledgerFixture{clock, l}
}

func testKey(daemon string, i int) Key {
	return Key{Token: Token{DaemonID: daemon, Expires: epoch.Add(time.Minute)}, Text: fmt.Sprintf("%s.%d", daemon, i)}
}

func run(tb testing.TB, l *Ledger, key Key, body string) {
	tb.Helper()
	ticket, err := l.Begin(key, "a", [32]byte{})
	if err != nil || ticket.Decision != Start {
		tb.Fatalf("%s: %+v, %v", key.Text, ticket, err)
	}
	if err := l.MarkSent(ticket, time.Time{}); err != nil {
		tb.Fatal(err)
	}
	outcome := Outcome{Execution: result.Ran, Response: &Response{Status: 200, Body: []byte(body)}}
	if _, err := l.Finish(ticket, outcome); err != nil {
		tb.Fatal(err)
	}
}

// Guards against a successor that loses a stored response, executes a key again
// that was sent, or refuses a key that the frozen daemon can no longer execute.
func TestSuccessorServesKeysOfFrozenLedger(t *testing.T) {
	old, next := newLedgerFixture(t, "old", DefaultLimits()), newLedgerFixture(t, "next", DefaultLimits())
	run(t, old.ledger, testKey("old", 1), "receipt")
	sent, _ := old.ledger.Begin(testKey("old", 2), "a", [32]byte{})
	_ = old.ledger.MarkSent(sent, time.Time{})
	old.ledger.Freeze()
	parts, err := old.ledger.Export()
	if err != nil || old.ledger.CommitSuccessor("next") != nil || old.ledger.CommitSuccessor("other") == nil {
		t.Fatal("the hand-over is not limited to one successor", err)
	}
	for _, p := range parts {
		if err := next.ledger.Import(p); err != nil {
			t.Fatal(err)
		}
	}
	replay, err := next.ledger.Begin(testKey("old", 1), "a", [32]byte{})
	if err != nil || replay.Decision != Replay || string(replay.Outcome.Response.Body) != "receipt" {
		t.Errorf("replay: %+v, %v", replay, err)
	}
	wait, _ := next.ledger.Begin(testKey("old", 2), "a", [32]byte{})
	if wait.Decision != Wait {
		t.Fatalf("sent order: decision %d, want Wait", wait.Decision)
	}
	run(t, next.ledger, testKey("old", 3), "new")
	if moved, _ := old.ledger.Begin(testKey("old", 3), "a", [32]byte{}); moved.Decision != Forward || moved.Successor != "next" {
		t.Errorf("old daemon after the hand-over: %+v", moved)
	}
	_, _ = old.ledger.Finish(sent, Outcome{Execution: result.Ran, Response: &Response{Status: 201}})
	for _, p := range old.ledger.TakeLate() {
		_ = next.ledger.Import(p)
	}
	if o, err := next.ledger.Wait(context.Background(), wait); err != nil || o.Response.Status != 201 {
		t.Errorf("late result: %+v, %v", o, err)
	}
}

// Guards against a ledger that grows without bound, against a full ledger that
// refuses an order with an execution other than not run, and against storing a
// response that is larger than its reservation.
func TestLedgerBounds(t *testing.T) {
	r := newLedgerFixture(t, "d", Limits{MaxEntries: 2, MaxBytes: 1 << 20, MaxResponseBytes: 10})
	run(t, r.ledger, testKey("d", 1), "0123456789A")
	run(t, r.ledger, testKey("d", 2), "0123456789")
	_, err := r.ledger.Begin(testKey("d", 3), "a", [32]byte{})
	if e := result.From(err); e.Code != result.Overloaded || e.Execution != result.NotRun {
		t.Errorf("full ledger: %v", err)
	}
	big, _ := r.ledger.Begin(testKey("d", 1), "a", [32]byte{})
	if big.Outcome.Response != nil || big.Outcome.Execution != result.Ran {
		t.Errorf("oversized response: %+v", big.Outcome)
	}
	_, err = r.ledger.Begin(testKey("d", 2), "a", [32]byte{9})
	if e := result.From(err); e.Code != result.OrderKeyReused {
		t.Errorf("another request: %v", err)
	}
	r.clock.Advance(time.Minute)
	_, err = r.ledger.Begin(testKey("d", 1), "a", [32]byte{})
	if e := result.From(err); e.Code != result.OrderKeyExpired || e.Execution != result.Unknown {
		t.Errorf("expired key: %v", err)
	}
	if s := r.ledger.Stats(); s.Entries != 0 || s.Bytes != 0 {
		t.Errorf("expired entries are kept: %+v", s)
	}
}

func BenchmarkLedgerOrder(b *testing.B) {
	clock := clockwork.NewFakeClockAt(epoch)
	l, _ := NewLedger("d", clock, Limits{MaxEntries: 1 << 30, MaxBytes: 1 << 40, MaxResponseBytes: 1 << 10})
	keys := make([]Key, 100_000)
	for i := range keys {
		keys[i] = testKey("d", i)
	}
	response := &Response{Status: 200, Body: make([]byte, 512)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := keys[i%len(keys)]
		// Once all keys are used, they expire, which empties the ledger.
		key.Expires = epoch.Add(time.Duration(i/len(keys)+1) * time.Minute)
		if i%len(keys) == 0 && i > 0 {
			clock.Advance(time.Minute)
		}
		t, err := l.Begin(key, "account", [32]byte{})
		if err != nil {
			b.Fatal(err)
		}
		_ = l.MarkSent(t, key.Expires)
		_, _ = l.Finish(t, Outcome{Execution: result.Ran, Response: response})
	}
}

func BenchmarkParseKey(b *testing.B) {
	signer, _ := NewSigner(SecretKey{"k1", secret('a')})
	token, _ := signer.Issue("daemon-7", epoch)
	key := JoinKey(token, "reserve-42")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := signer.ParseKey(key); err != nil {
			b.Fatal(err)
		}
	}
}

// Reports the heap bytes that one settled key uses without its response.
func BenchmarkLedgerBytes(b *testing.B) {
	const keys = 50_000
	part := strings.Repeat("k", 150) // a token with a caller's part has about 150 bytes
	for b.Loop() {
		r := newLedgerFixture(b, "d", Limits{MaxEntries: keys, MaxBytes: 1 << 40, MaxResponseBytes: 1 << 10})
		before := heapBytes()
		for i := range keys {
			key := testKey("d", i)
			key.Text += part
			run(b, r.ledger, key, "")
		}
		b.ReportMetric(float64(heapBytes()-before)/keys, "heap-B/key")
		b.ReportMetric(float64(r.ledger.Stats().Bytes)/keys, "accounted-B/key")
		runtime.KeepAlive(r)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
