package routing_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

func candidates(n int) []*routing.Candidate {
	list := make([]*routing.Candidate, n)
	for i := range list {
		list[i] = routing.NewCandidate(routing.Upstream{
			Name: fmt.Sprintf("u%02d", i), Service: "s", Version: fmt.Sprintf("v%d", i%2),
			DataCentre: fmt.Sprintf("dc%d", i%3),
		})
	}
	return list
}

func pickers() map[string]routing.Picker {
	return map[string]routing.Picker{
		"affinity": routing.NewAffinity(routing.AffinityConfig{}), "round robin": &routing.RoundRobin{},
		"least outstanding": &routing.LeastOutstanding{}, "prefix hash": &routing.PrefixHash{},
	}
}

// Guards against picking an upstream that a filter removes, and against a
// refusal while an upstream is usable.
func TestPickHonoursFilters(t *testing.T) {
	for name, picker := range pickers() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			s := routing.New(routing.Config{
				Clock: clockwork.NewFakeClock(), Filters: routing.StandardFilters(),
				Scorers: routing.StandardScorers(), Picker: picker, Index: routing.NewPrefixIndex(64),
			})
			list := candidates(rapid.IntRange(0, 12).Draw(t, "n"))
			request := routing.Request{Service: "s", Version: "v0", Work: 1000, BlockWork: 64}
			request.Class = rapid.SampledFrom([]object.RequestClass{object.ClassShort, object.ClassLong}).Draw(t, "class")
			request.Blocks = rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 9).Draw(t, "blocks")
			usable := map[string]bool{}
			for _, c := range list {
				c.SetLeaving(rapid.Bool().Draw(t, "leaving"))
				c.SetHealthWeight(rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "weight"))
				full := rapid.Bool().Draw(t, "full")
				if full {
					c.SetLimit(1)
					c.Begin(object.ClassShort, 10)
				}
				excluded := rapid.Bool().Draw(t, "excluded")
				if excluded {
					request.Excluded = append(request.Excluded, c.Name)
				}
				usable[c.Name] = c.Version == "v0" && !c.Leaving() && c.HealthWeight() > 0 && !full && !excluded
			}
			d, err := s.Pick(context.Background(), request, list)
			possible := slices.ContainsFunc(list, func(c *routing.Candidate) bool { return usable[c.Name] })
			if err == nil && !usable[d.Candidate.Name] {
				t.Fatalf("picked %s, which a filter rules out", d.Candidate.Name)
			}
			if (err == nil) != possible {
				t.Fatalf("possible=%v err=%v", possible, err)
			}
			if err != nil && result.From(err).Execution != result.NotRun {
				t.Fatalf("refusal is not %q: %v", result.NotRun, err)
			}
		}))
	}
}

// Guards against result codes that give the wrong reason why no upstream was
// picked.
func TestPickErrors(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := routing.NewDefault(clock, nil)
	list := candidates(1)
	list[0].SetLimit(1)
	list[0].Begin(object.ClassShort, 1)
	for want, r := range map[result.Code]routing.Request{
		result.Overloaded:       {Service: "s"},
		result.NoUpstream:       {Service: "other"},
		result.DeadlineExceeded: {Service: "s", Deadline: clock.Now()},
	} {
		if _, err := s.Pick(context.Background(), r, list); result.CodeOf(err) != want {
			t.Errorf("got %v, want code %d", err, want)
		}
	}
}

// Guards against requests that don't go to the upstream that holds their prefix,
// and against affinity that ignores load.
func TestAffinity(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := routing.NewDefault(clock, routing.NewPrefixIndex(0))
	list := candidates(20)
	r := routing.Request{
		Service: "s", BlockWork: 64, Work: 64 * 100, Class: object.ClassLong,
		Blocks: routing.BlockHashes("m", make([]byte, 100*16), 16),
	}
	first, err := s.Pick(context.Background(), r, list)
	if err != nil || first.Reason != routing.ReasonPreferred {
		t.Fatalf("first pick: %+v, %v", first, err)
	}
	for range 20 {
		again, _ := s.Pick(context.Background(), r, list)
		if again.Candidate != first.Candidate || again.CachedBlocks != 100 {
			t.Fatalf("affinity lost: %+v", again)
		}
	}
	first.Candidate.Begin(object.ClassLong, 1_000_000)
	if d, _ := s.Pick(context.Background(), r, list); d.Candidate == first.Candidate {
		t.Fatal("picked an upstream far above the load bound")
	}
}

// Guards against a class label that excludes the requests of the other class
// instead of expressing a preference.
func TestClassLabelIsPreference(t *testing.T) {
	label := map[string]string{routing.LabelClass: "short"}
	labelled := routing.NewCandidate(routing.Upstream{Name: "a", Service: "s", Labels: label})
	other := routing.NewCandidate(routing.Upstream{Name: "b", Service: "s"})
	s := routing.NewDefault(clockwork.NewFakeClock(), nil)
	list := []*routing.Candidate{labelled, other}
	for class, want := range map[object.RequestClass]string{object.ClassShort: "a", object.ClassLong: "b"} {
		if d, _ := s.Pick(context.Background(), routing.Request{Class: class}, list); d.Candidate.Name != want {
			t.Errorf("%s went to %s", class, d.Candidate.Name)
		}
	}
	other.SetLeaving(true)
	if d, err := s.Pick(context.Background(), routing.Request{Class: object.ClassLong}, list); err != nil || d.Candidate != labelled {
		t.Errorf("long refused although an upstream is free: %v", err)
	}
}

// Guards against an upstream in slow start that gets its full share of the
// requests while all upstreams are idle.
func TestSlowStartShare(t *testing.T) {
	s := routing.NewDefault(clockwork.NewFakeClock(), nil)
	list := candidates(10)
	list[0].SetHealthWeight(0.1)
	const picks = 10_000
	hits := 0
	for range picks {
		if d, _ := s.Pick(context.Background(), routing.Request{}, list); d.Candidate == list[0] {
			hits++
		}
	}
	// A tenth of the share of 1000, with six standard deviations.
	if hits < 40 || hits > 160 {
		t.Errorf("%d of %d picks, want about 100", hits, picks)
	}
}

// Guards against hints that are used after the upstream evicted the blocks or
// restarted, or after the lifetime of a hint.
func TestPrefixIndexRemove(t *testing.T) {
	clock := clockwork.NewFakeClock()
	x := routing.NewPrefixIndex(0)
	s := routing.NewDefault(clock, x)
	list := candidates(1)
	r := routing.Request{Blocks: []uint64{1, 2, 3, 4, 5, 6, 7, 8}, BlockWork: 64, Work: 600}
	cached := func() int {
		d, _ := s.Pick(context.Background(), r, list)
		return d.CachedBlocks
	}
	x.Add("u00", r.Blocks, clock.Now())
	x.Remove("u00", r.Blocks[5:])
	if n := cached(); n != 4 {
		t.Errorf("%d blocks after a partial drop, want 4", n)
	}
	x.RemoveUpstream("u00")
	if n := cached(); n != 0 {
		t.Errorf("%d blocks after a restart", n)
	}
	clock.Advance(time.Hour)
	if n := cached(); n != 0 {
		t.Errorf("%d blocks from an old hint", n)
	}
}

// Guards against data races and against accounting that doesn't return to 0.
func TestConcurrentPicks(t *testing.T) {
	s := routing.NewDefault(nil, routing.NewPrefixIndex(128))
	list := candidates(8)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 200 {
				blocks := []uint64{uint64(i), uint64(g), 3, 4, 5}
				d, err := s.Pick(context.Background(), routing.Request{Blocks: blocks, BlockWork: 64, Work: 640}, list)
				if err != nil {
					t.Error(err)
					return
				}
				a := d.Candidate.Begin(object.ClassLong, d.Work)
				d.Candidate.SetReplyLoad(routing.Load{Work: float64(i), At: time.Now()})
				d.Candidate.ObserveRate(10, time.Millisecond)
				a.End()
				a.End()
			}
		})
	}
	wg.Wait()
	for _, c := range list {
		if c.InFlight() != 0 || c.InFlightOf(object.ClassLong) != 0 || c.OwnWork() != 0 {
			t.Errorf("%s: in flight %d, work %v", c.Name, c.InFlight(), c.OwnWork())
		}
	}
}
