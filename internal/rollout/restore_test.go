package rollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/storetest"
)

// restored is a scenario whose store is restored from an older copy.
type restored struct {
	*scenario
	predecessor int64
}

func newRestored(seed uint64) *restored {
	r := &restored{scenario: newScenario(seed)}
	r.token, r.order.Revision = store.InGeneration(1, r.token), store.InGeneration(1, r.order.Revision)
	r.splitter = rollout.NewSplitter()
	r.evidence = r.splitter.Counters
	r.splitter.SetOrder(r.order)
	r.duty = r.newDuty()
	return r
}

func (r *restored) newDuty() *rollout.Duty {
	config := r.config(nil)
	config.Predecessor = func() int64 { return r.predecessor }
	config.Known = func(service string) *rollout.State { return r.splitter.State(service) }
	duty := rollout.New(config)
	duty.SetOrder(r.order)
	return duty
}

// restore brings the store back from a copy. The order is written again, and the same
// daemon or another one acquires the duty.
func (r *restored) restore(t *testing.T, from storetest.Snapshot, sameHolder bool) {
	r.store.Restore(from)
	generation := store.Generation(r.token) + 1
	r.predecessor = r.token
	r.token = 0
	_ = r.duty.Step(t.Context())
	r.token = store.InGeneration(generation, 20)
	if !sameHolder {
		r.predecessor = 0
		r.duty = r.newDuty()
	}
	r.order.Revision = store.InGeneration(generation, 9)
	r.duty.SetOrder(r.order)
}

// statuses are those for operators that were seen after a restore.
func (r *restored) statuses(t *testing.T, d time.Duration) map[string]bool {
	seen := map[string]bool{}
	for range int(d / (150 * time.Millisecond)) {
		r.step(t, 200)
		if status := r.status(); status != "" {
			seen[status] = true
		}
	}
	return seen
}

// The copy lacks the outcome, or the whole record. Guards against a roll-out that begins
// anew: a reverted version got requests again, and a complete one was active again.
func TestOutcomeSurvivesARestore(t *testing.T) {
	for _, c := range []struct {
		name                      string
		failing                   float64
		want                      string
		sameHolder, withoutRecord bool
		restores                  int
	}{
		{name: "complete, same holder", want: "complete", sameHolder: true, restores: 1},
		{name: "complete, other holder", want: "complete", restores: 1},
		{name: "complete, no record", want: "complete", withoutRecord: true, restores: 1},
		{name: "reverted, same holder", failing: 0.9, want: "reverted", sameHolder: true, restores: 1},
		{name: "reverted, other holder", failing: 0.9, want: "reverted", restores: 1},
		{name: "reverted, no record", failing: 0.9, want: "reverted", withoutRecord: true, restores: 1},
		{name: "reverted, three restores", failing: 0.9, want: "reverted", sameHolder: true, withoutRecord: true, restores: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRestored(1)
			r.failing = func(time.Duration, float64) float64 { return c.failing }
			copied := r.store.Snapshot()
			if !c.withoutRecord {
				r.step(t, 200)
				copied = r.store.Snapshot()
			}
			for range 100 {
				r.step(t, 200)
			}
			g.Expect(r.status()).To(Equal(c.want))
			before, exposed := r.requests, r.exposed
			for range c.restores {
				r.restore(t, copied, c.sameHolder)
				r.step(t, 200) // the restored store has what the copy had until then
				g.Expect(r.statuses(t, 20*time.Second)).To(Equal(map[string]bool{c.want: true}))
			}
			if c.want == "complete" {
				g.Expect(r.exposed-exposed).To(Equal(r.requests-before), "a complete version did not get all requests")
			} else {
				g.Expect(r.exposed-exposed).To(BeZero(), "a reverted version got requests")
			}
		})
	}
}

// Guards against a roll-out that starts over in a restore: its share fell back, and its
// deadline was counted from the restore.
func TestRollOutContinuesAcrossARestore(t *testing.T) {
	g := NewWithT(t)
	r := newRestored(1)
	copied := r.store.Snapshot()
	for range 50 {
		r.step(t, 200)
	}
	share := r.share()
	g.Expect(share).To(BeNumerically(">", 0))
	r.restore(t, copied, true)
	r.step(t, 200)
	g.Expect(r.share()).To(BeNumerically(">=", share))
	for range 48 {
		r.step(t, 200)
	}
	g.Expect(r.status()).To(Equal("complete"), "15 s after the order")
}

// Guards against daemons that have an order under its revision before a restore, and don't
// follow the coordinator that has it under the one after, or the other way round.
func TestOrderBeforeAndAfterARestoreIsOne(t *testing.T) {
	before := rollout.Order{Service: "s", Target: "v2", Within: 15 * time.Second, Revision: store.InGeneration(1, 50)}
	after := before
	after.Revision = store.InGeneration(2, 40)
	for name, orders := range map[string][2]rollout.Order{"daemon before": {before, after}, "daemon after": {after, before}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := rollout.NewSplitter()
			s.SetOrder(orders[0])
			s.SetState(rollout.State{Order: orders[1], Share: 1, Outcome: rollout.Active})
			g.Expect(s.Accept("s", "r")("v2")).To(BeTrue())
			s.SetOrder(after)
			g.Expect(s.Accept("s", "r")("v2")).To(BeTrue(), "the order that was written again superseded the state")
			s.SetState(rollout.State{Order: orders[1], Outcome: rollout.Reverted})
			s.SetState(rollout.State{Order: orders[0], Share: 1, Outcome: rollout.Active})
			g.Expect(s.Accept("s", "r")("v2")).To(BeFalse(), "a reverted version gets requests")
			other := after
			other.Within, other.Revision = 20*time.Second, after.Revision+1
			s.SetOrder(other)
			s.SetState(rollout.State{Order: other, Share: 1, Outcome: rollout.Active})
			g.Expect(s.Accept("s", "r")("v2")).To(BeTrue(), "another order of the version is not followed")
		})
	}
}
