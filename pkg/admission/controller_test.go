package admission_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// harness is a controller with a fake clock that records the decisions in order.
type harness struct {
	*admission.Controller
	clock    *clockwork.FakeClock
	admitted []admission.Request
	tickets  []*admission.Ticket
	errs     []error
}

func newHarness(config admission.Config) *harness {
	h := &harness{clock: clockwork.NewFakeClock()}
	config.Clock = h.clock
	h.Controller = admission.New(config)
	return h
}

func (h *harness) submit(r admission.Request) {
	h.Submit(r, func(t *admission.Ticket, err error) {
		if err != nil {
			h.errs = append(h.errs, err)
			return
		}
		h.admitted = append(h.admitted, r)
		h.tickets = append(h.tickets, t)
	})
}

// serve ends the oldest admitted request, which admits the next one.
func (h *harness) serve() {
	t := h.tickets[0]
	h.tickets = h.tickets[1:]
	t.Done()
}

// Guards against an account with much work that starves one with little: while
// both wait, the work served per weight differs by at most one request of each.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(admission.Config{Capacity: 1, QueueLimit: 1000})
		weights := map[string]admission.Account{}
		maxCost, waiting := map[string]float64{}, map[string]int{}
		for i := range rapid.IntRange(2, 5).Draw(t, "accounts") {
			name := fmt.Sprint(i)
			weights[name] = admission.Account{Weight: rapid.IntRange(1, 10).Draw(t, "weight")}
		}
		h.SetAccounts(weights)
		h.submit(admission.Request{Account: "first", Class: object.ClassShort})
		for i := range len(weights) {
			name := fmt.Sprint(i)
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				cost := rapid.Float64Range(1, 1000).Draw(t, "cost")
				maxCost[name] = math.Max(maxCost[name], cost)
				waiting[name]++
				h.submit(admission.Request{Account: name, Class: object.ClassShort, Cost: cost})
			}
		}
		served := map[string]float64{}
		for h.Stats().Waiting > 0 {
			h.serve()
			last := h.admitted[len(h.admitted)-1]
			served[last.Account] += last.Cost / float64(weights[last.Account].Weight)
			waiting[last.Account]--
			for a := range weights {
				for b := range weights {
					slack := maxCost[a]/float64(weights[a].Weight) + maxCost[b]/float64(weights[b].Weight)
					if waiting[a] > 0 && waiting[b] > 0 && served[a]-served[b] > slack+1e-6 {
						t.Fatalf("%s got %v per weight and %s %v", a, served[a], b, served[b])
					}
				}
			}
		}
	})
}

// Guards against long requests that are admitted before short ones, and against
// long requests that starve while short ones keep arriving.
func TestShortFirstLongAges(t *testing.T) {
	h := newHarness(admission.Config{Capacity: 1, LongAgingTime: 2 * time.Second, AgedLongInterval: 4})
	short := admission.Request{Account: "a", Class: object.ClassShort}
	long := admission.Request{Account: "a", Class: object.ClassLong}
	h.submit(short)
	for range 5 {
		h.submit(long)
	}
	longs := 0
	for i := range 24 {
		h.submit(short)
		h.serve()
		h.clock.Advance(500 * time.Millisecond)
		if h.admitted[len(h.admitted)-1].Class == object.ClassLong {
			longs++
			if i < 4 {
				t.Errorf("a long request ran before its aging time, at step %d", i)
			}
		}
	}
	if longs != 5 {
		t.Errorf("%d of 5 long requests ran among 24 admissions", longs)
	}
}

// Guards against long requests that occupy all slots.
func TestLongShare(t *testing.T) {
	h := newHarness(admission.Config{Capacity: 4})
	for range 6 {
		h.submit(admission.Request{Account: "a", Class: object.ClassLong})
	}
	h.submit(admission.Request{Account: "a", Class: object.ClassShort})
	if s := h.Stats(); s.InUse != 4 || s.Waiting != 3 || h.admitted[3].Class != object.ClassShort {
		t.Errorf("stats %+v, last admitted %+v", s, h.admitted[len(h.admitted)-1])
	}
}

// Guards against refusals whose execution state isn't "not run", that have no
// retry hint or that have the wrong code.
func TestRefusals(t *testing.T) {
	short := func(account string) admission.Request {
		return admission.Request{Account: account, Class: object.ClassShort, Cost: 8000}
	}
	cases := map[result.Code]func(*harness){
		result.DeadlineTooShort: func(h *harness) {
			r := short("a")
			r.Deadline = h.clock.Now().Add(500 * time.Millisecond)
			h.submit(r)
		},
		result.Overloaded: func(h *harness) {
			for range 4 {
				h.submit(short("a"))
			}
		},
		result.AccountLimit: func(h *harness) {
			for _, account := range []string{"a", "a", "a", "small"} {
				h.submit(short(account))
			}
		},
	}
	for code, act := range cases {
		t.Run(code.Title(), func(t *testing.T) {
			h := newHarness(admission.Config{Capacity: 1, QueueLimit: 2})
			act(h)
			if len(h.errs) != 1 {
				t.Fatalf("%d refusals", len(h.errs))
			}
			e := result.From(h.errs[0])
			if e.Code != code || e.Execution != result.NotRun || e.RetryAfterSeconds < 1 {
				t.Errorf("refusal %+v", e)
			}
		})
	}
}

// Guards against a limit of requests in flight that is not applied.
func TestMaxInFlight(t *testing.T) {
	h := newHarness(admission.Config{})
	h.SetAccounts(map[string]admission.Account{"a": {MaxInFlight: 1}})
	for range 2 {
		h.submit(admission.Request{Account: "a"})
	}
	if len(h.errs) != 1 || result.CodeOf(h.errs[0]) != result.AccountLimit {
		t.Errorf("refusals %v", h.errs)
	}
}

// Guards against sending a request whose deadline passed in the queue, and
// against a high estimate of the service time that never falls, because it
// causes all requests to be refused.
func TestMissedDeadlines(t *testing.T) {
	h := newHarness(admission.Config{Capacity: 1})
	h.submit(admission.Request{Account: "a"})
	waiting := admission.Request{Account: "a", Deadline: h.clock.Now().Add(time.Second)}
	h.submit(waiting)
	h.clock.Advance(2 * time.Second)
	h.Sweep()
	if len(h.errs) != 1 || result.CodeOf(h.errs[0]) != result.DeadlineTooShort {
		t.Fatalf("refusals %v", h.errs)
	}
	h.clock.Advance(time.Minute)
	h.tickets[0].TimedOut()
	submitAgain := func() int {
		h.submit(admission.Request{Account: "a", Deadline: h.clock.Now().Add(time.Second)})
		return len(h.admitted)
	}
	if n := submitAgain(); n != 1 {
		t.Error("admitted although the last one took a minute")
	}
	h.clock.Advance(30 * time.Second)
	if n := submitAgain(); n != 2 {
		t.Error("still refused after the estimate had time to fall")
	}
}

// Guards against callers that wait after their context or deadline has ended,
// and against data races.
func TestAdmit(t *testing.T) {
	c := admission.New(admission.Config{Capacity: 2})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			ticket, err := c.Admit(context.Background(), fmt.Sprint(i%3), object.ClassShort, 0, time.Time{}, 1)
			if err != nil {
				t.Error(err)
				return
			}
			ticket.FirstByte()
			ticket.Done()
			ticket.Done()
		})
	}
	wg.Wait()
	for range 2 {
		if _, err := c.Admit(ctx, "a", object.ClassShort, 0, time.Time{}, 1); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(20 * time.Millisecond)
	if _, err := c.Admit(ctx, "a", object.ClassShort, 0, deadline, 1); result.CodeOf(err) != result.DeadlineTooShort {
		t.Errorf("got %v", err)
	}
	cancel()
	if _, err := c.Admit(ctx, "a", object.ClassShort, 0, time.Time{}, 1); result.CodeOf(err) != result.DeadlineExceeded {
		t.Errorf("got %v", err)
	}
	if s := c.Stats(); s.InUse != 2 || s.Waiting != 0 {
		t.Errorf("stats %+v", s)
	}
}

// Guards against limits outside of the configured range and against a limit that
// doesn't follow the latency.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := admission.NewLimiter(admission.LimiterConfig{Min: 2, Max: 50})
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			if rapid.IntRange(0, 9).Draw(t, "drop") == 0 {
				l.Drop()
			}
			latency := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond
			l.Observe(latency, rapid.Float64Range(0, 1e5).Draw(t, "cost"), rapid.IntRange(0, 60).Draw(t, "in flight"))
			if n := l.Limit(); n < 2 || n > 50 {
				t.Fatalf("limit %d", n)
			}
		}
	})
	l := admission.NewLimiter(admission.LimiterConfig{})
	observe := func(latency time.Duration) int {
		for range 200 {
			l.Observe(latency, 1000, l.Limit())
		}
		return l.Limit()
	}
	grown := observe(100 * time.Millisecond)
	if shrunk := observe(5 * time.Second); grown <= 8 || shrunk >= grown/4 {
		t.Errorf("limit %d when fast and %d when slow", grown, shrunk)
	}
}
