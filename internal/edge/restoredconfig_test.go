package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// serving counts the daemons that may send requests to an instance.
func serving(daemons []*Daemon, id string) int {
	count := 0
	for _, d := range daemons {
		for _, i := range d.instances.Snapshot("") {
			if i.ID == id && !i.Leaving {
				count++
			}
		}
	}
	return count
}

// withKey counts the daemons whose copy has a key of the operators.
func withKey(daemons []*Daemon, key string) int {
	count := 0
	for _, d := range daemons {
		if _, ok := d.state.operator.Get(key); ok {
			count++
		}
	}
	return count
}

// The store is restored from a copy of before an instance left and of before another one
// announced that it leaves. Guards against requests to them.
func TestInstanceThatLeftStaysOutAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 5)
	left, leaving := instanceEntry("ready"), instanceEntry("draining")
	f.store.Put("servers/left", left)
	f.store.Put("servers/leaving", left)
	g.Eventually(func() int { return serving(f.daemons, "left") + serving(f.daemons, "leaving") }, 5*time.Second, 10*time.Millisecond).Should(Equal(10))
	snapshot := f.store.Snapshot()
	f.store.Delete("servers/left")
	f.store.Put("servers/leaving", leaving)
	g.Eventually(func() int { return serving(f.daemons, "left") + serving(f.daemons, "leaving") }, 5*time.Second, 10*time.Millisecond).Should(BeZero())
	f.restore(snapshot)
	g.Consistently(func() int { return serving(f.daemons, "left") + serving(f.daemons, "leaving") }, 4*time.Second, 10*time.Millisecond).Should(BeZero())
	g.Expect(serving(f.daemons, "i1")).To(Equal(5))
	f.store.Put("servers/left", left)
	g.Eventually(func() int { return serving(f.daemons, "left") }, 2*time.Second, 10*time.Millisecond).Should(Equal(5), "it has started again")
	g.Expect(serving(f.daemons, "leaving")).To(BeZero())
}

// An order of the operators is lost in a restore, and one that was taken back is there
// again. Guards against a change of what is in force before the operators have written it
// again, and against copies that differ from the store for good.
func TestOrdersAreKeptUntilTheyAreWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 5)
	f.store.Put("op/rollout/taken-back", []byte("{}"))
	g.Eventually(func() int { return withKey(f.daemons, "op/rollout/taken-back") }, 5*time.Second, 10*time.Millisecond).Should(Equal(5))
	snapshot := f.store.Snapshot()
	f.store.Delete("op/rollout/taken-back")
	f.store.Put("op/rollout/lost", []byte("{}"))
	f.store.Put("op/rollout/again", []byte("{}"))
	unchanged := func() bool {
		return withKey(f.daemons, "op/rollout/taken-back") == 0 && withKey(f.daemons, "op/rollout/lost") == 5 && withKey(f.daemons, "op/rollout/again") == 5
	}
	g.Eventually(unchanged, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.restore(snapshot)
	returned := time.Now()
	g.Consistently(unchanged, time.Second, 10*time.Millisecond).Should(BeTrue())
	f.store.Put("op/rollout/again", []byte("{}"))
	g.Consistently(unchanged, time.Until(returned.Add(2*time.Second)), 10*time.Millisecond).Should(BeTrue())
	g.Eventually(func() []int {
		return []int{withKey(f.daemons, "op/rollout/taken-back"), withKey(f.daemons, "op/rollout/lost"), withKey(f.daemons, "op/rollout/again")}
	}, 4*time.Second, 10*time.Millisecond).Should(Equal([]int{5, 0, 5}), "what the store holds counts")
}

// A follower knows of a restore of the store that the coordinator hasn't seen. Guards
// against a follower that takes the coordinator's copy of before the restore as current.
func TestDaemonBehindARestoreIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 2)
	holder := f.coordinator()
	follower := f.daemons[0]
	if follower == holder {
		follower = f.daemons[1]
	}
	forwarded := func(generations int64) bool {
		fleet, operator := follower.mirrorCursors()
		fleet.Revision = store.InGeneration(store.Generation(fleet.Revision)+generations, store.Local(fleet.Revision))
		response := &coordinatorv1.ReportResponse{}
		holder.addMirrorDelta(&coordinatorv1.ReportRequest{Daemon: reportID(follower.members.self), Fleet: fleet, Operator: operator}, response)
		return response.Fleet != nil
	}
	g.Eventually(func() bool { return forwarded(0) }, time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Expect(forwarded(1)).To(BeFalse())
}
