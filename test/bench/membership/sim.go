package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// stepsPerSlot is the number of steps by which the simulated clock passes a probe
// slot. With one step, an update could cross many members at one instant.
const stepsPerSlot = 10

// checkInterval is the simulated time between two checks for convergence, and so
// the resolution of the convergence times.
const checkInterval = 50 * time.Millisecond

// simulation runs members on a fake clock and counts their exchanges.
type simulation struct {
	options
	clock            *clockwork.FakeClock
	nodes            map[string]*simNode // by peer address
	nodeList         []*simNode          // in the order of their start
	step             int
	calls            int64
	bytes            int64
	maxExchangeBytes int
	nextIndex        int
}

// simNode is a simulated member and its own transport.
type simNode struct {
	*membership.List
	sim     *simulation
	phase   int // step within a probe slot in which the node acts
	stopped bool
	targets []membership.Member // probe targets of the current round
}

var errNoReply = errors.New("peer has stopped and does not reply")

func (n *simNode) Exchange(_ context.Context, address, id string, m membership.Message) (membership.Message, error) {
	s := n.sim
	s.calls++
	size := s.Overhead + proto.Size(gossip.RequestToProto(id, m))
	other := s.nodes[address]
	if other.stopped {
		s.bytes += int64(size)
		return membership.Message{}, errNoReply
	}
	reply := other.Answer(m)
	size += proto.Size(gossip.ResponseToProto(reply))
	s.bytes += int64(size)
	s.maxExchangeBytes = max(s.maxExchangeBytes, size)
	return reply, nil
}

func (n *simNode) Indirect(_ context.Context, helpers []membership.Member, target membership.Member) bool {
	n.sim.calls += 2 * int64(len(helpers))
	return !n.sim.nodes[target.PeerAddress].stopped
}

// start adds a node that has not joined yet.
func (s *simulation) start() *simNode {
	i := s.nextIndex
	s.nextIndex++
	address := fmt.Sprintf("10.100.%d.%d:7000", i/250, i%250)
	n := &simNode{sim: s, phase: rand.IntN(stepsPerSlot)}
	n.List = membership.NewList(membership.Config{Neighbours: s.Neighbours},
		self(i, uuid.NewString(), address, s.Size), s.clock)
	s.nodes[address] = n
	s.nodeList = append(s.nodeList, n)
	return n
}

// run advances the clock until the condition holds and returns the simulated time
// that passed. Without a condition it runs until the limit.
func (s *simulation) run(limit time.Duration, condition func() bool) (time.Duration, error) {
	slot := membership.DefaultProbeInterval / time.Duration(s.Neighbours)
	start, checked := s.clock.Now(), s.clock.Now()
	for s.clock.Since(start) < limit {
		s.clock.Advance(slot / stepsPerSlot)
		s.step++
		for _, n := range s.nodeList {
			if !n.stopped && s.step%stepsPerSlot == n.phase {
				n.act(s.step / stepsPerSlot)
			}
		}
		if condition == nil || s.clock.Since(checked) < checkInterval {
			continue
		}
		checked = s.clock.Now()
		if condition() {
			return s.clock.Since(start), nil
		}
	}
	if condition == nil {
		return limit, nil
	}
	return 0, errors.Errorf("not reached within %v", limit)
}

// act runs the tick of a node and the probe of a slot.
func (n *simNode) act(slot int) {
	n.Tick()
	slot %= n.sim.Neighbours
	// A full mesh has hundreds of slots, and copying all targets in each of them is
	// slow. The targets are then read once in a probe interval.
	if slot == 0 || n.sim.Neighbours == membership.DefaultNeighbours {
		n.targets = n.Targets()
	}
	if slot < len(n.targets) {
		n.Probe(context.Background(), n, n.targets[slot])
	}
}

// agree reports whether all running nodes see n members that are alive and
// none that is suspected.
func (s *simulation) agree(n int) func() bool {
	return func() bool {
		for _, node := range s.nodeList {
			if node.stopped {
				continue
			}
			seen := 0
			for _, m := range node.Members() {
				switch m.State {
				case membership.Alive:
					seen++
				case membership.Suspect:
					return false
				}
			}
			if seen != n {
				return false
			}
		}
		return true
	}
}

func measureSim(o options) error {
	s := &simulation{options: o, clock: clockwork.NewFakeClock(), nodes: make(map[string]*simNode)}
	first := s.start()
	for range o.Size - 1 {
		n := s.start()
		if err := n.Join(context.Background(), n, first.Self().PeerAddress); err != nil {
			return err
		}
	}
	took, err := s.run(2*time.Minute, s.agree(o.Size))
	if err != nil {
		return errors.Wrap(err, "start of all members")
	}
	report("all start at once", "%v", took.Round(time.Millisecond))
	if _, err = s.run(time.Duration(s.Settle)*time.Second, nil); err != nil {
		return err
	}
	s.steady()
	return s.events(first)
}

func (s *simulation) steady() {
	s.calls, s.bytes, s.maxExchangeBytes = 0, 0, 0
	start := cpuTime()
	_, _ = s.run(time.Duration(s.Seconds)*time.Second, nil)
	cpu := cpuTime() - start
	seconds, n := float64(s.Seconds), float64(s.Size)
	report("calls sent per daemon and s", "%.2f", float64(s.calls)/seconds/n)
	report("bytes in+out per daemon and s", "%.0f", 2*float64(s.bytes)/seconds/n)
	report("CPU of decisions per daemon", "%.4f%% of a core", 100*cpu.Seconds()/seconds/n)
}

func (s *simulation) events(first *simNode) error {
	n := s.start()
	s.calls, s.bytes, s.maxExchangeBytes = 0, 0, 0
	if err := n.Join(context.Background(), n, first.Self().PeerAddress); err != nil {
		return err
	}
	took, err := s.run(time.Minute, s.agree(s.Size+1))
	if err != nil {
		return errors.Wrap(err, "join")
	}
	report("join known to all", "%v", took.Round(time.Millisecond))
	report("largest exchange of the join", "%d bytes", s.maxExchangeBytes)
	n.stopped = true
	if took, err = s.run(time.Minute, s.agree(s.Size)); err != nil {
		return errors.Wrap(err, "death")
	}
	report("death declared, without time-outs", "%v", took.Round(time.Millisecond))
	return nil
}
