package edge

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/platform"
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

// reached reports whether the copies of all daemons are of a generation of the store.
func (f *restoredFleet) reached(generation int64) bool {
	for _, d := range f.daemons {
		if store.Generation(d.state.operator.Revision()) != generation || store.Generation(d.state.fleet.Revision()) != generation {
			return false
		}
	}
	return true
}

// The restored store has the claim of the holder of the duty, whose lease isn't known to it
// any more. Guards against a fleet without a coordinator until that lease ends.
func TestHolderTakesItsDutyAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 5)
	holder := f.coordinator()
	f.restore(f.store.Snapshot())
	g.Eventually(func() bool { return f.reached(3) }, 2*time.Second, 5*time.Millisecond).Should(BeTrue())
	g.Eventually(f.coordinator, time.Second, 5*time.Millisecond).Should(Equal(holder))
}

// A key may have been taken away in a version that is lost, and that no daemon has seen.
// Guards against a configuration that counts as current before the operators have written
// it again, and against daemons that stop following the coordinator, or don't campaign, for
// that time.
func TestConfigurationIsNotProvedCurrentJustAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 5)
	snapshot := f.store.Snapshot()
	f.restore(snapshot)
	restored := bootclock.Now()
	g.Eventually(func() bool { return f.reached(3) }, 2*time.Second, 5*time.Millisecond).Should(BeTrue())
	for bootclock.Now() < restored+2*time.Second {
		for _, d := range f.daemons {
			age, known := d.state.operator.Age()
			g.Expect(known).To(BeTrue())
			g.Expect(bootclock.Now()-age).To(BeNumerically("<", restored+50*time.Millisecond), d.settings.Name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, d := range f.daemons {
		contact, _ := d.state.operator.ContactAge()
		g.Expect(contact).To(BeNumerically("<", configPollWait+time.Second), "it may campaign")
	}
	g.Eventually(func() bool {
		for _, d := range f.daemons {
			if !d.state.Fresh(bootclock.Now() - restored) {
				return false
			}
		}
		return true
	}, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Expect(bootclock.Now() - restored).To(BeNumerically("<", 4*time.Second))
}

// addDaemon returns a daemon of the fleet that isn't running. The others don't call it.
func (f *restoredFleet) addDaemon(t *testing.T) *Daemon {
	t.Helper()
	server := httptest.NewServer(f.store)
	t.Cleanup(server.CloseClientConnections)
	client := func(string) mirror.Poller { return platform.NewStore(strings.TrimPrefix(server.URL, "http://")) }
	d := newFleetOn(t, 1, client, &f.stopped, func(s *settings.Edge) {
		s.Name, s.CallersAddress, s.CoordinatorAddress = "late", "10.0.9.1:1", "10.0.9.1:2"
		s.Bounds.LeaveTime = 2 * time.Second
	})[0]
	d.link.dial = func(address string) (coordinatorv1.CoordinatorClient, error) {
		for _, other := range f.daemons {
			if _, down := f.stopped.Load(address); !down && other.settings.CoordinatorAddress == address {
				return localClient{coordinatorServer{other.coordinator, other}}, nil
			}
		}
		return nil, status.Error(codes.Unavailable, "down")
	}
	return d
}

func (f *restoredFleet) awaitRecord(g *WithT) {
	g.Eventually(func() []byte { return f.store.Value(generationKey) }, 5*time.Second, 10*time.Millisecond).ShouldNot(BeNil())
}

// A daemon starts just after a restore, when the latest configuration is lost and no other
// daemon runs. Guards against one that serves the configuration before, and that takes the
// duty while its holder of before may be valid.
func TestDaemonStartedAfterARestoreWaits(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 2)
	f.awaitRecord(g)
	late := f.addDaemon(t)
	for _, d := range f.daemons {
		f.stop(d)
	}
	g.Eventually(func() []string { return f.store.Keys(dutyKey) }, 5*time.Second, 10*time.Millisecond).Should(BeEmpty())
	snapshot := f.store.Snapshot()
	f.store.Put("op/config", configVersion(2))
	f.restore(snapshot)
	began := time.Now()
	late.runForTest(t.Context())
	g.Eventually(late.state.Table, time.Second, 5*time.Millisecond).ShouldNot(BeNil())
	ready := func() bool { return late.Ready() || late.state.Fresh(time.Minute) }
	g.Consistently(ready, time.Until(began.Add(1500*time.Millisecond)), 5*time.Millisecond).Should(BeFalse())
	f.store.Put("op/config", configVersion(2))
	g.Eventually(ready, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
	g.Expect(late.state.Table().Version).To(Equal(int64(2)))
	g.Consistently(late.holder.Valid, time.Until(began.Add(3*time.Second)), 5*time.Millisecond).Should(BeFalse())
	g.Eventually(late.holder.Valid, 8*time.Second, 5*time.Millisecond).Should(BeTrue())
}

// A daemon starts just after a restore, and the others know more than the store. Guards
// against one that serves what it finds in the store.
func TestDaemonStartedAfterARestoreFollowsOthers(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 2)
	f.awaitRecord(g)
	late := f.addDaemon(t)
	f.store.Put("servers/left", instanceEntry("ready"))
	g.Eventually(func() int { return serving(f.daemons, "left") }, 5*time.Second, 10*time.Millisecond).Should(Equal(2))
	snapshot := f.store.Snapshot()
	f.store.Delete("servers/left")
	f.store.Put("op/config", configVersion(2))
	g.Eventually(f.versions, 3*time.Second, 10*time.Millisecond).Should(Equal(map[int64]int{2: 2}))
	g.Eventually(func() int { return serving(f.daemons, "left") }, 5*time.Second, 10*time.Millisecond).Should(BeZero())
	f.restore(snapshot)
	g.Eventually(f.coordinator, 2*time.Second, 5*time.Millisecond).ShouldNot(BeNil())
	late.runForTest(t.Context())
	g.Eventually(late.Ready, 2*time.Second, time.Millisecond).Should(BeTrue(), "it needn't wait")
	g.Expect(late.state.Table().Version).To(Equal(int64(2)))
	one := []*Daemon{late}
	g.Eventually(func() int { return serving(one, "left") }, 500*time.Millisecond, time.Millisecond).Should(BeZero())
	g.Consistently(func() int { return serving(one, "left") }, 3500*time.Millisecond, 5*time.Millisecond).Should(BeZero())
	g.Expect(late.state.Table().Version).To(Equal(int64(2)))
	g.Expect(serving(one, "i1")).To(Equal(1))
}

// Guards against a wait of daemons that start with a store that wasn't restored.
func TestDaemonStartedWithoutARestoreDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	f := startRestoredFleet(t, 2)
	f.awaitRecord(g)
	late := f.addDaemon(t)
	late.runForTest(t.Context())
	g.Eventually(late.Ready, time.Second, time.Millisecond).Should(BeTrue())
}
