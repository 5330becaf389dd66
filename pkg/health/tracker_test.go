package health_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
)

func fleet(n int) []health.Member {
	members := make([]health.Member, n)
	for i := range members {
		members[i] = health.Member{
			Name: fmt.Sprint(i), Service: "s", Version: "v",
			DataCentre: fmt.Sprint(i % 3), Incarnation: "1",
		}
	}
	return members
}

func newTracker(n int) (*health.Tracker, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	t := health.New(health.Config{Clock: clock})
	t.Sync(fleet(n))
	return t, clock
}

func weight(t *health.Tracker, name string) float64 {
	s, _ := t.Status(name)
	return s.Weight
}

func fail(t *health.Tracker, name string, times int) {
	for range times {
		t.Observe(name, health.Outcome{Failed: true})
	}
}

// Guards against ejections beyond the panic threshold and against a leaving
// upstream with a weight above 0, in any order of events.
func TestPanicThresholdAndLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		tracker, clock := newTracker(n)
		left := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "name"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				fail(tracker, name, 5)
			case 2:
				for range 3 {
					tracker.ObserveActive(name, rapid.Bool().Draw(t, "probe"))
				}
			case 3:
				tracker.MarkLeaving(name, "", health.SignalRefusal)
				left[name] = true
			case 4:
				tracker.Sync(fleet(n)) // an outdated instance list
			default:
				clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
				tracker.Evaluate()
			}
			serving, present := 0, 0
			for i := range n {
				name := fmt.Sprint(i)
				w := weight(tracker, name)
				if left[name] {
					if w != 0 {
						t.Fatalf("leaving upstream %s has weight %v", name, w)
					}
					continue
				}
				present++
				if w > 0 {
					serving++
				}
			}
			if 2*serving < present {
				t.Fatalf("%d of %d upstreams left", serving, present)
			}
		}
	})
}

// Guards against ejections that are missed, for each reason.
func TestEjection(t *testing.T) {
	cases := map[health.Reason]func(*health.Tracker, *clockwork.FakeClock){
		health.ReasonConsecutive: func(tr *health.Tracker, _ *clockwork.FakeClock) { fail(tr, "0", 5) },
		health.ReasonFailureRate: func(tr *health.Tracker, _ *clockwork.FakeClock) {
			for range 10 {
				fail(tr, "0", 1)
				tr.Observe("0", health.Outcome{})
			}
		},
		health.ReasonLatency: func(tr *health.Tracker, _ *clockwork.FakeClock) {
			for i := range 6 {
				for range 10 {
					latency := 10 * time.Millisecond
					if i == 0 {
						latency *= 20
					}
					tr.Observe(fmt.Sprint(i), health.Outcome{Latency: latency})
				}
			}
		},
		health.ReasonActive: func(tr *health.Tracker, _ *clockwork.FakeClock) {
			for range 3 {
				tr.ObserveActive("0", false)
			}
		},
		health.ReasonFrozen: func(tr *health.Tracker, clock *clockwork.FakeClock) {
			w := tr.Watch("0", 0)
			clock.Advance(6 * time.Second)
			tr.Evaluate()
			<-w.Frozen()
		},
	}
	for reason, signal := range cases {
		t.Run(reason.String(), func(t *testing.T) {
			tracker, clock := newTracker(6)
			signal(tracker, clock)
			tracker.Evaluate()
			s, _ := tracker.Status("0")
			if s.Weight != 0 || s.Reason != reason || s.Fault != health.FaultInstance {
				t.Errorf("status %+v", s)
			}
			if weight(tracker, "1") != 1 {
				t.Error("a healthy peer lost weight")
			}
		})
	}
}

// Guards against a stream that is reported as frozen although bytes arrive, and
// against the ejection of an upstream of which only one stream is frozen.
func TestEjectionNeedsAllStreamsFrozen(t *testing.T) {
	tracker, clock := newTracker(6)
	frozen, progressing := tracker.Watch("0", 0), tracker.Watch("0", 0)
	defer progressing.Stop()
	queued := tracker.Watch("1", time.Minute)
	defer queued.Stop()
	clock.Advance(6 * time.Second)
	progressing.Progress()
	tracker.Evaluate()
	<-frozen.Frozen()
	select {
	case <-progressing.Frozen():
		t.Error("a stream with progress was reported as frozen")
	case <-queued.Frozen():
		t.Error("a stream that may still wait for its first byte was reported as frozen")
	default:
	}
	if weight(tracker, "0") != 1 {
		t.Error("ejected although a stream makes progress")
	}
}

// Guards against full load on an upstream that has just been readmitted, and
// against readmission while probes still fail.
func TestSlowStart(t *testing.T) {
	tracker, clock := newTracker(6)
	fail(tracker, "0", 5)
	var weights []float64
	for range 40 {
		clock.Advance(time.Second)
		tracker.Evaluate()
		weights = append(weights, weight(tracker, "0"))
	}
	if weights[8] != 0 || weights[9] != 0.1 || weights[39] != 1 || !slices.IsSorted(weights) {
		t.Errorf("weights %v", weights)
	}
	for range 3 {
		tracker.ObserveActive("0", false)
	}
	clock.Advance(time.Hour)
	tracker.Evaluate()
	if weight(tracker, "0") != 0 {
		t.Error("readmitted while probes fail")
	}
}

// Guards against a fault of a data centre that is attributed to its instances,
// and against an instance fault that is attributed to its data centre.
func TestDataCentreFault(t *testing.T) {
	tracker, clock := newTracker(12)
	for _, name := range []string{"0", "3", "6", "1"} {
		fail(tracker, name, 5)
	}
	tracker.Evaluate()
	if got := tracker.DataCentreFaults(); !slices.Equal(got, []string{"0"}) {
		t.Errorf("faulty data centres %v", got)
	}
	if s, _ := tracker.Status("1"); s.Fault != health.FaultInstance {
		t.Errorf("the only failing instance of its data centre: %+v", s)
	}
	for range 11 {
		clock.Advance(time.Second)
		tracker.Evaluate()
	}
	if got := tracker.DataCentreFaults(); got != nil {
		t.Errorf("fault persists: %v", got)
	}
}

// Guards against a leaving notice that has no effect because the member is not
// known yet, and against a notice that still applies to a new incarnation.
func TestLeavingNotice(t *testing.T) {
	clock := clockwork.NewFakeClock()
	changes := 0
	tracker := health.New(health.Config{Clock: clock, OnChange: func(string, health.Status) { changes++ }})
	if !tracker.MarkLeaving("0", "", health.SignalReclaim) || tracker.MarkLeaving("0", "", health.SignalDrain) {
		t.Error("want the first notice reported as new and the second as known")
	}
	tracker.Sync(fleet(2))
	s, _ := tracker.Status("0")
	if s.Weight != 0 || s.Leaving != health.SignalReclaim || changes != 2 {
		t.Errorf("status %+v after %d changes", s, changes)
	}
	restarted := fleet(2)
	restarted[0].Incarnation = "2"
	tracker.Sync(restarted)
	if s, _ := tracker.Status("0"); s.Weight != 0.1 || s.Leaving != "" {
		t.Errorf("new incarnation: %+v", s)
	}
}
