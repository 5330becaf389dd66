package membership_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// convergenceTime is long enough for suspicions, refutations and one search for
// dead members by each node.
const convergenceTime = 90 * time.Second

// Guards against lists that don't converge after faults, live members that are
// listed as dead permanently, stopped members that are listed as alive again, and
// incarnations that decrease.
func TestListsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 8).Draw(t, "size")
		c := newCluster(size, rapid.Uint64().Draw(t, "seed"))
		incarnations := make(map[[2]string]uint64)
		index := rapid.IntRange(0, size-1)
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				c.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			},
			"partition": func(t *rapid.T) {
				c.nodes[index.Draw(t, "place")].side = rapid.IntRange(0, 2).Draw(t, "side")
			},
			"drop":   func(t *rapid.T) { c.lossRate = rapid.Float64Range(0, 0.7).Draw(t, "share") },
			"freeze": func(t *rapid.T) { n := c.nodes[index.Draw(t, "place")]; n.frozen = !n.frozen },
			"stop":   func(t *rapid.T) { c.nodes[index.Draw(t, "place")].stopped = true },
			"restart": func(t *rapid.T) {
				p := index.Draw(t, "place")
				side := c.nodes[p].side
				c.nodes[p].stopped = true
				c.start(p).side = side
			},
			"overload": func(t *rapid.T) {
				c.nodes[index.Draw(t, "place")].SetSelf(func(m *membership.Member) { m.Overloaded = !m.Overloaded })
			},
			"leave": func(t *rapid.T) { c.nodes[index.Draw(t, "place")].SetLeaving() },
			"":      func(t *rapid.T) { checkIncarnations(t, c, incarnations) },
		})
		c.lossRate = 0
		for _, n := range c.nodes {
			n.side, n.frozen = 0, false
		}
		if c.nodes[0].stopped { // nodes that know no other node need the seed node
			c.start(0)
		}
		c.run(convergenceTime)
		checkIncarnations(t, c, incarnations)
		if d := c.difference(); d != "" {
			t.Fatal(d)
		}
	})
}

func checkIncarnations(t *rapid.T, c *cluster, seen map[[2]string]uint64) {
	for _, n := range c.nodes {
		for _, m := range n.Members() {
			key := [2]string{n.Self().DaemonID, m.DaemonID}
			if m.Incarnation < seen[key] {
				t.Fatalf("%s saw the incarnation of %s decrease from %d to %d", key[0], key[1], seen[key], m.Incarnation)
			}
			seen[key] = m.Incarnation
		}
	}
}

// newConvergedCluster returns a cluster whose lists agree.
func newConvergedCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := newCluster(size, 7)
	c.run(30 * time.Second)
	if d := c.difference(); d != "" {
		t.Fatal(d)
	}
	return c
}

// Guards against declaring a dead member dead too late, and against declaring it
// dead before a suspect would have had time to refute.
func TestDeathIsDetectedInTime(t *testing.T) {
	c := newConvergedCluster(t, 8)
	c.nodes[5].stopped = true
	c.run(2 * time.Second)
	if m, _ := c.nodes[0].Member(c.nodes[5].Self().DaemonID); m.State.Gone() {
		t.Error("declared dead before the suspicion time-out")
	}
	c.run(4 * time.Second)
	if d := c.difference(); d != "" {
		t.Errorf("6 s after the death: %s", d)
	}
}

// Guards against marking a dead member as alive because of an outdated record.
func TestOldGossipDoesNotRevive(t *testing.T) {
	c := newConvergedCluster(t, 4)
	old := c.nodes[3].Self()
	c.nodes[3].stopped = true
	c.run(10 * time.Second)
	a, b := c.nodes[0], c.nodes[1].Self()
	stale := membership.Message{Sender: b, Updates: []membership.Member{old}}
	reply := a.Answer(stale)
	if m, _ := a.Member(old.DaemonID); m.State != membership.Dead {
		t.Errorf("state after old gossip is %v", m.State)
	}
	corrected := false
	for _, m := range reply.Updates {
		corrected = corrected || m.DaemonID == old.DaemonID && m.State == membership.Dead
	}
	if !corrected {
		t.Error("the reply does not correct the sender of the old record")
	}
	c.clock.Advance(membership.DefaultRetention)
	a.Tick()
	if _, kept := a.Member(old.DaemonID); kept {
		t.Error("the dead member is kept longer than the retention")
	}
	old.State = membership.Dead
	a.Answer(membership.Message{Sender: b, Updates: []membership.Member{old}})
	if _, kept := a.Member(old.DaemonID); kept {
		t.Error("a gone member whose retention has ended is stored again")
	}
}

// Guards against ignoring a restarted process because the earlier process with
// the same name and address has a higher incarnation from a clock that was ahead.
func TestRestartWithEarlierClockSupersedes(t *testing.T) {
	c := newConvergedCluster(t, 4)
	for range 3 { // raises the incarnation far above the clock's time
		self := c.nodes[2].Self()
		self.Incarnation += 1_000_000
		self.State = membership.Suspect
		c.nodes[2].Answer(membership.Message{Sender: c.nodes[1].Self(), Updates: []membership.Member{self}})
	}
	c.run(10 * time.Second)
	old := c.nodes[2].Self()
	c.nodes[2].stopped = true
	c.start(2)
	// Shorter than the suspicion time-out, after which the predecessor would be
	// declared dead in any case.
	c.run(2 * time.Second)
	if d := c.difference(); d != "" {
		t.Error(d)
	}
	old.Incarnation++ // as if it had refuted a suspicion just before it stopped
	c.nodes[0].Answer(membership.Message{Sender: c.nodes[1].Self(), Updates: []membership.Member{old}})
	if d := c.difference(); d != "" {
		t.Errorf("after late gossip about the predecessor: %s", d)
	}
}

// Guards against a live suspect that doesn't refute in time.
func TestSuspectRefutes(t *testing.T) {
	c := newConvergedCluster(t, 8)
	m := c.nodes[4].Self()
	m.State = membership.Suspect
	c.nodes[0].Answer(membership.Message{Sender: c.nodes[1].Self(), Updates: []membership.Member{m}})
	c.run(5 * time.Second)
	if d := c.difference(); d != "" || c.nodes[4].declaredDead != 0 {
		t.Errorf("%s; declared dead %d times", d, c.nodes[4].declaredDead)
	}
}

// Guards against two sides of a network partition that, once it has ended,
// reconnect only through seeds.
func TestSidesReconnectThroughDeadMembers(t *testing.T) {
	c := newConvergedCluster(t, 8)
	c.noSeeds = true
	for index := range 3 {
		c.nodes[index].side = 1
	}
	c.run(20 * time.Second)
	for index := range 3 {
		c.nodes[index].side = 0
	}
	c.run(30 * time.Second)
	if d := c.difference(); d != "" {
		t.Error(d)
	}
	if c.nodes[0].declaredDead == 0 || c.nodes[7].declaredDead == 0 {
		t.Error("a member did not learn that the other side had declared it dead")
	}
}

// Guards against a process that declares suspects dead when it resumes after a
// pause, because their suspicions timed out during the pause.
func TestPauseExtendsSuspicions(t *testing.T) {
	c := newConvergedCluster(t, 4)
	paused, other := c.nodes[0], c.nodes[1].Self()
	suspicion := other
	suspicion.State = membership.Suspect
	paused.Answer(membership.Message{Sender: c.nodes[2].Self(), Updates: []membership.Member{suspicion}})
	c.clock.Advance(time.Minute)
	paused.Tick()
	if m, _ := paused.Member(other.DaemonID); m.State != membership.Suspect {
		t.Errorf("state after the pause is %v", m.State)
	}
	c.clock.Advance(2 * membership.DefaultRetention)
	paused.Tick()
	if paused.declaredDead != 1 {
		t.Errorf("declared dead %d times after a pause longer than the retention, want once", paused.declaredDead)
	}
}

// Guards against messages whose updates exceed UpdateBytes, and against updates
// that are never removed from the queue.
func TestUpdatesAreBounded(t *testing.T) {
	c := newConvergedCluster(t, 8)
	a, b := c.nodes[0], c.nodes[1]
	for i := range 100 {
		m := c.nodes[2].Self()
		m.DaemonID, m.Name = string(rune('a'+i%26))+string(rune('a'+i/26)), string(rune(i))
		a.Answer(membership.Message{Sender: c.nodes[2].Self(), Updates: []membership.Member{m}})
	}
	sent := 0
	for range 5000 {
		updates := a.Request(b.Self().DaemonID).Updates
		if len(updates) > membership.DefaultUpdateBytes/50 {
			t.Fatalf("%d updates in a message", len(updates))
		}
		sent += len(updates)
	}
	if sent < 100 || len(a.Request(b.Self().DaemonID).Updates) != 0 {
		t.Errorf("%d updates sent, want at least 100 and then an empty queue", sent)
	}
}

// Guards against suspecting a target that a helper reaches.
func TestIndirectProbePreventsSuspicion(t *testing.T) {
	c := newConvergedCluster(t, 5)
	target := c.nodes[4].Self()
	transport := blockedTransport{c.nodes[0], target.PeerAddress}
	if !c.nodes[0].Probe(context.Background(), transport, target) {
		t.Error("no helper reached the target")
	}
	if m, _ := c.nodes[0].Member(target.DaemonID); m.State != membership.Alive {
		t.Errorf("state is %v", m.State)
	}
}

// blockedTransport is a Transport whose direct exchanges with one address fail.
type blockedTransport struct {
	*node
	blocked string
}

func (o blockedTransport) Exchange(ctx context.Context, to, id string, m membership.Message) (membership.Message, error) {
	if to == o.blocked {
		return membership.Message{}, errNoReply
	}
	return o.node.Exchange(ctx, to, id, m)
}

// Guards against a member that doesn't learn that others declared it dead, because
// it first got a late message about the suspicion and refuted that.
func TestRefutedSuspicionDoesNotHideDeath(t *testing.T) {
	clock := clockwork.NewFakeClock()
	member := func(id string) membership.Member {
		return membership.Member{DaemonID: id, Name: id, PeerAddress: id, Incarnation: 5, State: membership.Alive}
	}
	declaredDead := 0
	config := membership.Config{Hooks: membership.Hooks{DeclaredDead: func(membership.Member) { declaredDead++ }}}
	frozen := membership.NewList(config, member("frozen"), clock)
	other := membership.NewList(membership.Config{}, member("other"), clock)
	other.Merge(frozen.JoinRequest())
	suspect := member("frozen")
	suspect.State = membership.Suspect
	dead := suspect
	dead.State = membership.Dead
	other.Merge(membership.Message{Sender: member("third"), Updates: []membership.Member{dead}})

	frozen.Answer(membership.Message{Sender: member("third"), Updates: []membership.Member{suspect}})
	if declaredDead != 0 || frozen.Self().Incarnation != 6 {
		t.Fatalf("declared dead %d times, incarnation %d, want 0 times and 6", declaredDead, frozen.Self().Incarnation)
	}
	for range 3 {
		frozen.Merge(other.Answer(frozen.Request("other")))
	}
	if declaredDead != 1 {
		t.Errorf("declared dead %d times, want once", declaredDead)
	}
	if m, _ := other.Member("frozen"); m.State != membership.Alive {
		t.Errorf("the other list has the member as %v", m.State)
	}
}
