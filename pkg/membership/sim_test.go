package membership_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

var errNoReply = errors.New("no reply")

// cluster runs several lists over an in-memory network with a fake clock.
type cluster struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	nodes     []*node // by index; a restart replaces the node
	lossRate  float64 // fraction of requests and of replies that are lost
	processes int
	noSeeds   bool
	step      int
}

type node struct {
	*membership.List
	cluster      *cluster
	index        int
	side         int // of the network partition; a node reaches only nodes on its own side
	frozen       bool
	stopped      bool
	declaredDead int
}

const stepsPerSecond = membership.DefaultNeighbours

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		clock:  clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)),
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  make([]*node, size),
	}
	for index := range size {
		c.start(index)
	}
	return c
}

func address(index int) string { return fmt.Sprintf("10.0.0.%d:1", index) }

func (c *cluster) start(index int) *node {
	c.processes++
	n := &node{cluster: c, index: index}
	n.List = membership.NewList(membership.Config{
		Rand:  rand.New(rand.NewPCG(uint64(c.processes), 2)),
		Hooks: membership.Hooks{DeclaredDead: func(membership.Member) { n.declaredDead++ }},
	}, membership.Member{
		DaemonID: fmt.Sprintf("p%d", c.processes), Name: fmt.Sprintf("d%d", index),
		PeerAddress: address(index), HTTPAddress: fmt.Sprintf("h%d", index),
		DataCentre: fmt.Sprintf("dc%d", index%3),
	}, c.clock)
	c.nodes[index] = n
	return n
}

func (n *node) Exchange(_ context.Context, to, _ string, m membership.Message) (membership.Message, error) {
	for _, other := range n.cluster.nodes {
		if address(other.index) != to {
			continue
		}
		if other.stopped || other.frozen || other.side != n.side || n.cluster.messageLost() {
			return membership.Message{}, errNoReply
		}
		reply := other.Answer(m)
		if n.cluster.messageLost() {
			return membership.Message{}, errNoReply
		}
		return reply, nil
	}
	return membership.Message{}, errNoReply
}

func (n *node) Indirect(ctx context.Context, helpers []membership.Member, target membership.Member) bool {
	for _, h := range helpers {
		for _, other := range n.cluster.nodes {
			if other.Self().DaemonID != h.DaemonID || other.stopped || other.frozen || other.side != n.side {
				continue
			}
			reply, err := other.Exchange(ctx, target.PeerAddress, target.DaemonID, other.Request(target.DaemonID))
			if err == nil && reply.Sender.DaemonID == target.DaemonID {
				return true
			}
		}
	}
	return false
}

func (c *cluster) messageLost() bool { return c.random.Float64() < c.lossRate }

// run advances the clock. In each step every running node probes its next target
// and, every few seconds, tries to reconnect to members that it lists as dead.
func (c *cluster) run(duration time.Duration) {
	for range int(duration.Seconds() * stepsPerSecond) {
		c.clock.Advance(time.Second / stepsPerSecond)
		c.step++
		for _, i := range c.random.Perm(len(c.nodes)) {
			if n := c.nodes[i]; !n.stopped && !n.frozen {
				n.runStep(c.step)
			}
		}
	}
}

func (n *node) runStep(step int) {
	ctx := context.Background()
	n.Tick()
	targets := n.Targets()
	if slot := step % stepsPerSecond; slot < len(targets) {
		n.Probe(ctx, n, targets[slot])
	}
	if step%(5*stepsPerSecond) != n.index && len(targets) > 0 {
		return
	}
	for _, m := range n.ReconnectTargets(2) {
		_ = n.Join(ctx, n, m.PeerAddress)
	}
	if seed := n.cluster.random.IntN(2); seed != n.index && !n.cluster.noSeeds {
		_ = n.Join(ctx, n, address(seed))
	}
}

// live returns the nodes that are not stopped.
func (c *cluster) live() []*node {
	var live []*node
	for _, n := range c.nodes {
		if !n.stopped {
			live = append(live, n)
		}
	}
	return live
}

// difference describes the first difference between a live node's list and the
// records that the live nodes have of themselves; it is empty if there is none.
func (c *cluster) difference() string {
	want := make(map[string]membership.Member)
	for _, n := range c.live() {
		want[n.Self().DaemonID] = n.Self()
	}
	for _, n := range c.live() {
		seen := 0
		for _, m := range n.Members() {
			self, running := want[m.DaemonID]
			if running {
				seen++
			}
			switch {
			case running && (m.State != self.State || m.Incarnation != self.Incarnation):
				return fmt.Sprintf("%s lists %s as %v with incarnation %d, which is %v with incarnation %d", n.Self().DaemonID,
					m.DaemonID, m.State, m.Incarnation, self.State, self.Incarnation)
			case !running && !m.State.Gone():
				return fmt.Sprintf("%s lists the stopped %s as %v", n.Self().DaemonID, m.DaemonID, m.State)
			}
		}
		if seen != len(want) {
			return fmt.Sprintf("%s knows %d of %d live members", n.Self().DaemonID, seen, len(want))
		}
	}
	return ""
}
