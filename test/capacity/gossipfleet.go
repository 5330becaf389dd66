package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// seedCount is the number of daemons through which the others join.
const seedCount = 3

// member is one daemon with only its membership part, over real connections.
type member struct {
	*gossip.Gossip
	id      string
	traffic trafficCounter
	pool    *peer.Pool
	server  *grpc.Server
	cancel  context.CancelFunc
	done    chan struct{}
	items   atomic.Int64 // received
}

// gossipFleet is a set of members in this process.
type gossipFleet struct {
	members []*member
	seeds   []string
	centres int

	// Rates of the whole fleet at the last measureTraffic, in cores, bytes per
	// second and calls per second.
	cpuRate, byteRate, callRate float64
}

// dataCentres returns the number of data centres of a fleet: 3 at the size of the
// current deployment and 20 at the target.
func dataCentres(daemons int) int { return max(3, daemons/21) }

func startFleet(n int) (*gossipFleet, error) {
	f := &gossipFleet{centres: dataCentres(n)}
	for range n {
		if _, err := f.start(); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// start adds a member that joins through the seeds.
func (f *gossipFleet) start() (*member, error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return nil, err
	}
	i := len(f.members)
	m := &member{id: fmt.Sprintf("daemon-%03d-%08x", i, i), done: make(chan struct{})}
	address := listener.Addr().String()
	if i < seedCount {
		f.seeds = append(f.seeds, address)
	}
	m.pool = m.traffic.newPool()
	m.Gossip = gossip.New(gossip.Config{
		Self: membership.Member{
			DaemonID: m.id, Name: fmt.Sprintf("daemon-%03d", i), PeerAddress: address, HTTPAddress: address,
			DataCentre: fmt.Sprintf("dc%02d", i%f.centres), Region: fmt.Sprintf("region-%d", i%f.centres%7),
		},
		// The defaults of the settings peers/*.
		Membership: membership.Config{ProbeInterval: time.Second, SuspicionTimeout: 3 * time.Second},
		Seeds:      append([]string{}, f.seeds...), Pool: m.pool, Logger: discardLogger(), ProbeTimeout: 500 * time.Millisecond,
	})
	m.OnItem(func(*peerv1.Item) { m.items.Add(1) })
	m.run(listener)
	f.members = append(f.members, m)
	return m, nil
}

func (m *member) run(listener net.Listener) {
	m.server = m.traffic.servePeer(listener, &peer.Service{
		GossipHandler: m.Gossip, ConfigHandler: unimplementedHandler{}, OrderHandler: unimplementedHandler{}, StreamHandler: unimplementedHandler{}, EvidenceHandler: unimplementedHandler{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = m.Run(ctx)
	}()
}

// unimplementedHandler rejects the calls that a measurement does not need.
type unimplementedHandler struct{ peerv1.UnimplementedPeerServer }

// kill stops a member without a leaving notice.
func (m *member) kill() {
	m.server.Stop()
	m.cancel()
	<-m.done
	m.pool.Close()
}

func (f *gossipFleet) stop() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		m.kill()
	}
}

// pollInterval is the resolution of the measured times.
const pollInterval = 25 * time.Millisecond

// waitForAll waits until a condition holds at all members and returns the time
// that this took. It fails after waitTimeout.
func waitForAll(members []*member, holds func(*member) bool) (time.Duration, error) {
	start := time.Now()
	waiting := append([]*member{}, members...)
	for time.Since(start) < waitTimeout {
		var left []*member
		for _, m := range waiting {
			if !holds(m) {
				left = append(left, m)
			}
		}
		if waiting = left; len(waiting) == 0 {
			return time.Since(start), nil
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.Errorf("the condition did not hold at %d of %d members after %s", len(waiting), len(members), waitTimeout)
}

// stateAt returns the state in which m sees the daemon id, or 0.
func (m *member) stateAt(id string) membership.State {
	for _, other := range m.Members() {
		if other.DaemonID == id {
			return other.State
		}
	}
	return 0
}

func countAlive(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.State == membership.Alive {
			n++
		}
	}
	return n
}
