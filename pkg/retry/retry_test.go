package retry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

// Guards against retry storms: in any order of requests and retries, retries
// stay within the ratio plus the floor for the elapsed time, and within the
// ratio alone under steady load.
func TestBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := retry.NewBudget(retry.BudgetConfig{Clock: clock})
		start := clock.Now()
		requests, retries := 0, 0
		busy := rapid.Bool().Draw(t, "busy")
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			gap := rapid.IntRange(0, 2000)
			if busy {
				gap = rapid.IntRange(0, 100) // at least 10 requests per second
			}
			clock.Advance(time.Duration(gap.Draw(t, "gap ms")) * time.Millisecond)
			b.AddRequest()
			requests++
			for range rapid.IntRange(0, 3).Draw(t, "takes") {
				if b.Take() {
					retries++
				}
			}
			bound := retry.MaxRatio * float64(requests)
			if !busy {
				bound += 1 + clock.Since(start).Seconds()
			}
			if float64(retries) > bound+1e-6 {
				t.Fatalf("%d retries for %d requests in %s", retries, requests, clock.Since(start))
			}
		}
		if c := b.Counts(); c.Requests != uint64(requests) || c.Retries != uint64(retries) {
			t.Fatalf("counts %+v", c)
		}
	})
}

// Guards against a service with little load that can never retry.
func TestBudgetFloor(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := retry.NewBudget(retry.BudgetConfig{Clock: clock})
	clock.Advance(10 * time.Second)
	b.AddRequest()
	if !b.Take() || b.Take() {
		t.Error("want exactly one retry from a floor of one per second")
	}
	withoutLoad := retry.NewBudget(retry.BudgetConfig{Clock: clock, NoPriorLoad: true})
	withoutLoad.AddRequest()
	if !withoutLoad.Take() || withoutLoad.Take() {
		t.Error("want exactly one retry for the first request of a service without prior load")
	}
	if retry.NewBudget(retry.BudgetConfig{Clock: clock, Ratio: -1}).Take() {
		t.Error("a retry was allowed although the ratio forbids retries")
	}
}

func policy(t *testing.T, config retry.PolicyConfig) (*retry.Policy, clockwork.Clock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	b := retry.NewBudget(retry.BudgetConfig{Clock: clock})
	for range 10 {
		b.AddRequest()
	}
	config.Clock = clock
	return retry.NewPolicy(config, b), clock
}

// Guards against a second execution of an order and against retries that can't
// succeed. The budget of each case allows two retries.
func TestPolicyNext(t *testing.T) {
	sent := retry.Attempt{Number: 1, BytesWritten: true}
	cases := map[string]struct {
		change func(*retry.Attempt, clockwork.Clock)
		want   result.Code
	}{
		"order that may have run": {func(*retry.Attempt, clockwork.Clock) {}, result.OrderOutcomeUnknown},
		"refused order":           {func(a *retry.Attempt, _ clockwork.Clock) { a.Refused = true }, result.OK},
		"order not sent":          {func(a *retry.Attempt, _ clockwork.Clock) { a.BytesWritten = false }, result.OK},
		"idempotent":              {func(a *retry.Attempt, _ clockwork.Clock) { a.Idempotent = true }, result.OK},
		"broken stream": {func(a *retry.Attempt, _ clockwork.Clock) {
			a.Idempotent, a.Emitted = true, true
		}, result.UpstreamIncomplete},
		"resumable stream": {func(a *retry.Attempt, _ clockwork.Clock) {
			a.Idempotent, a.Emitted, a.Resumable = true, true, true
		}, result.OK},
		"last attempt": {func(a *retry.Attempt, _ clockwork.Clock) {
			a.Idempotent, a.Number = true, 3
		}, result.UpstreamFailed},
		"no time left": {func(a *retry.Attempt, c clockwork.Clock) {
			a.Idempotent, a.Deadline, a.Expected = true, c.Now().Add(time.Second), time.Second
		}, result.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, clock := policy(t, retry.PolicyConfig{})
			a := sent
			c.change(&a, clock)
			wait, err := p.Next(a)
			if result.CodeOf(err) != c.want {
				t.Fatalf("got %v, want code %d", err, c.want)
			}
			if err == nil && (wait < 5*time.Millisecond || wait > 15*time.Millisecond) {
				t.Errorf("backoff %s outside of the jitter", wait)
			}
			if err != nil && result.From(err).Execution != a.Execution() {
				t.Errorf("execution of %v, want %s", err, a.Execution())
			}
		})
	}
}

// Guards against requests refused because an upstream is down: with little
// traffic the budget is empty when connections to it begin to fail.
func TestAttemptNotSentNeedsNoBudget(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetConfig{Ratio: -1})
	p := retry.NewPolicy(retry.PolicyConfig{}, budget)
	if _, err := p.Next(retry.Attempt{Number: 1}); err != nil {
		t.Errorf("not sent: %v", err)
	}
	for name, a := range map[string]retry.Attempt{
		"sent":    {Number: 1, Idempotent: true, BytesWritten: true},
		"refused": {Number: 1, Idempotent: true, Refused: true},
	} {
		if _, err := p.Next(a); result.CodeOf(err) != result.RetryBudgetSpent {
			t.Errorf("%s: got %v, want a spent budget", name, err)
		}
	}
	if n := budget.Counts().Retries; n != 0 {
		t.Errorf("%d retries counted", n)
	}
}

// Guards against hedges beyond the budget and against hedges of requests that
// must not be hedged.
func TestHedge(t *testing.T) {
	p, _ := policy(t, retry.PolicyConfig{HedgeAfter: time.Second})
	ok := retry.Attempt{Number: 1, Idempotent: true, Class: object.ClassShort}
	for _, change := range []func(*retry.Attempt){
		func(a *retry.Attempt) { a.Idempotent = false }, func(a *retry.Attempt) { a.Class = object.ClassLong },
		func(a *retry.Attempt) { a.Number = 2 }, func(a *retry.Attempt) { a.Emitted = true },
	} {
		a := ok
		change(&a)
		if p.Hedge(a) {
			t.Errorf("hedged %+v", a)
		}
	}
	hedges := 0
	for range 5 {
		if p.Hedge(ok) {
			hedges++
		}
	}
	if hedges != 2 {
		t.Errorf("%d hedges, the budget allows 2", hedges)
	}
	sent := ok
	sent.BytesWritten = true
	if _, err := p.Next(sent); result.CodeOf(err) != result.RetryBudgetSpent {
		t.Errorf("got %v after the hedges", err)
	}
}
