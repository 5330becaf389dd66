package rollout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
)

// successive is a service under several orders, one after the other, all versions of
// which keep running. The load goes to the versions that the daemon accepts, in turn.
type successive struct {
	*scenario
	versions []string
	failing  map[string]float64
	runs     map[string]int
}

func newSuccessive(versions ...string) *successive {
	s := &successive{scenario: newScenario(7), versions: versions, failing: map[string]float64{}, runs: map[string]int{}}
	s.splitter.Serving = func(string) []string { return s.versions }
	s.restartCoordinator()
	return s
}

// restartCoordinator makes another daemon the coordinator.
func (s *successive) restartCoordinator() {
	s.token++
	s.duty = rollout.New(s.config(func(string) []string { return s.versions }))
	s.duty.SetOrder(s.order)
}

// newDaemon replaces the daemon by one that has just started and read the record.
func (s *successive) newDaemon(t *testing.T) {
	t.Helper()
	s.splitter = rollout.NewSplitter()
	s.splitter.Serving = func(string) []string { return s.versions }
	s.evidence = s.splitter.Counters
	state, err := rollout.DecodeRecord(s.store.Value(rollout.KeyPrefix + "s"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.splitter.SetRecord(state)
}

func (s *successive) setOrder(target string) {
	s.order = rollout.Order{Service: "s", Target: target, Within: 15 * time.Second, Revision: s.order.Revision + 10}
	s.splitter.SetOrder(s.order)
	s.duty.SetOrder(s.order)
}

// send sends a number of requests.
func (s *successive) send(count int) {
	for range count {
		s.requests++
		accept := s.splitter.Accept("s", fmt.Sprint(s.requests))
		start := s.random.IntN(len(s.versions))
		for i := range s.versions {
			version := s.versions[(start+i)%len(s.versions)]
			if accept != nil && !accept(version) {
				continue
			}
			s.runs[version]++
			failed := s.random.Float64() < s.failing[version]
			s.splitter.Observe("s", "r", version, failed, time.Duration((0.5+s.random.Float64())*float64(60*time.Millisecond)))
			break
		}
	}
}

// play sends requests and makes decisions until the status changes or steps have passed.
func (s *successive) play(t *testing.T, steps int) {
	t.Helper()
	before := s.status()
	for range steps {
		s.send(24)
		s.clock.Advance(150 * time.Millisecond)
		_ = s.duty.Step(t.Context())
		for _, state := range s.duty.States() {
			s.splitter.SetState(state)
		}
		if s.status() != before && s.status() != "active" {
			return
		}
	}
}

// revertFirst reverts v2, half of whose answers are failures.
func revertFirst(t *testing.T) *successive {
	t.Helper()
	s := newSuccessive("v1", "v2")
	s.scenario.failing, s.failing = nil, map[string]float64{"v2": 0.5}
	s.play(t, 99)
	NewWithT(t).Expect(s.status()).To(Equal("reverted"))
	s.runs = map[string]int{}
	return s
}

// Guards against sending requests to a version that was reverted as soon as the next one
// is ordered, before its instances have left.
func TestRevertedVersionGetsNothingWithTheNextOrder(t *testing.T) {
	g := NewWithT(t)
	s := revertFirst(t)
	s.versions = []string{"v1", "v2", "v3"}
	s.setOrder("v3")
	s.send(100) // before the coordinator has seen the order
	s.play(t, 20)
	s.restartCoordinator()
	s.play(t, 20)
	s.newDaemon(t)
	s.send(100) // before the daemon knows the order
	s.splitter.SetOrder(s.order)
	s.send(100)
	s.play(t, 99)
	g.Expect(s.status()).To(Equal("complete"))
	g.Expect(s.runs["v2"]).To(BeZero())
	g.Expect(s.runs["v1"]).To(BeNumerically(">", 500))
	g.Expect(s.runs["v3"]).To(BeNumerically(">", 300))
}

// Guards against a version that stays in use after its order was replaced or removed
// before it had been completed.
func TestVersionOfReplacedOrderGetsNothing(t *testing.T) {
	for name, replace := range map[string]func(*successive){
		"replaced": func(s *successive) { s.setOrder("v3") },
		"replaced twice before the coordinator sees it": func(s *successive) {
			s.setOrder("v3")
			s.setOrder("v4")
		},
		"removed":                 func(s *successive) { s.splitter.RemoveOrder("s"); s.duty.RemoveOrder("s") },
		"coordinator is replaced": func(s *successive) { s.setOrder("v3"); s.restartCoordinator() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSuccessive("v1", "v2", "v3", "v4")
			s.scenario.failing = nil
			s.play(t, 10)
			g.Expect(s.status()).To(Equal("active"))
			replace(s)
			s.runs = map[string]int{}
			s.send(200)
			s.play(t, 30)
			g.Expect(s.runs["v2"]).To(BeZero())
			g.Expect(s.runs["v1"]).To(BeNumerically(">", 200))
		})
	}
}

// Guards against comparing a new version with one that was reverted: half of its answers
// being failures, those of the new version would not stand out.
func TestRevertedVersionIsNoBaseline(t *testing.T) {
	g := NewWithT(t)
	s := revertFirst(t)
	s.versions = []string{"v1", "v2", "v3"}
	s.failing["v3"] = 0.3
	s.setOrder("v3")
	// Another daemon, which doesn't know the order yet, still counts answers of v2.
	counters := s.evidence
	failures := int64(0)
	s.evidence = func() map[rollout.Key]rollout.Counters {
		all := counters()
		failures += 40
		key := rollout.Key{Service: "s", Version: "v2", Route: "r"}
		all[key] = all[key].Add(rollout.Counters{Requests: 2 * failures, Failures: failures})
		return all
	}
	s.play(t, 30)
	g.Expect(s.status()).To(Equal("active"), "the order is replaced in the status first")
	s.play(t, 30)
	g.Expect(s.status()).To(Equal("reverted"))
	g.Expect(s.runs["v3"]).To(BeNumerically("<", 100))
}

// An operator orders the version back that served before, while the new one is in use or
// after it was reverted. Guards against sending all but a canary's share to the new one,
// or to nobody.
func TestOrderBackTakesEffectAtOnce(t *testing.T) {
	for name, first := range map[string]func(*testing.T) *successive{
		"after the new version was reverted": revertFirst,
		"while the new version is a canary": func(t *testing.T) *successive {
			t.Helper()
			s := newSuccessive("v1", "v2")
			s.scenario.failing = nil
			s.play(t, 10)
			s.runs = map[string]int{}
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := first(t)
			s.failing["v1"] = 0.14 // requests that fail with each version
			s.setOrder("v1")
			s.send(100)
			s.play(t, 5)
			s.restartCoordinator()
			s.send(100)
			s.newDaemon(t)
			s.splitter.SetOrder(s.order)
			s.send(100)
			s.play(t, 99)
			g.Expect(s.runs["v2"]).To(BeZero())
			g.Expect(s.runs["v1"]).To(BeNumerically(">", 1000))
			g.Expect(s.status()).To(Equal("complete"))
		})
	}
}

// Guards against a version that stays without requests after it was reverted once and
// completed by a later order.
func TestRevertedVersionCanBeOrderedAgain(t *testing.T) {
	g := NewWithT(t)
	s := revertFirst(t)
	s.failing["v2"] = 0
	s.setOrder("v2")
	s.play(t, 1)
	s.play(t, 110)
	g.Expect(s.status()).To(Equal("complete"))
	s.versions = []string{"v2", "v3"}
	s.setOrder("v3")
	s.play(t, 10)
	s.runs = map[string]int{}
	s.send(100)
	g.Expect(s.runs["v2"]).To(BeNumerically(">", 80))
	state, err := rollout.DecodeRecord(s.store.Value(rollout.KeyPrefix + "s"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(slices.Contains(state.Unproven, "v2")).To(BeFalse())
}
