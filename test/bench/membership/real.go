package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// counters are totals over all members. Each byte is counted once, on the side
// that dialled, although one member sends it and another receives it.
type counters struct{ bytes, segments, calls, payload atomic.Int64 }

// countingConn counts the bytes, reads and writes of a connection. Each read or
// write counts as one TCP segment.
type countingConn struct {
	net.Conn
	c *counters
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.bytes.Add(int64(n))
	c.c.segments.Add(1)
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.bytes.Add(int64(n))
	c.c.segments.Add(1)
	return n, err
}

// dialOptions makes gRPC connections count their traffic.
func (c *counters) dialOptions() []grpc.DialOption {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, c}, err
	}
	count := func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoke(ctx, method, req, reply, cc, opts...)
		c.calls.Add(1)
		c.payload.Add(int64(proto.Size(req.(proto.Message)) + proto.Size(reply.(proto.Message))))
		return err
	}
	return []grpc.DialOption{grpc.WithContextDialer(dial), grpc.WithUnaryInterceptor(count)}
}

// realMember is a member with gRPC connections over loopback.
type realMember struct {
	*gossip.Gossip
	pool  *peer.Pool
	items atomic.Int64 // broadcast items received
	stop  func()
}

type realFleet struct {
	options
	counters
	members []*realMember
	seeds   []string
}

// maxDataCentres is the number of data centres of a large fleet.
const maxDataCentres = 20

func (f *realFleet) start(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	m := &realMember{pool: peer.NewPool(time.Minute, time.Now, f.dialOptions()...)}
	m.Gossip = gossip.New(gossip.Config{
		Self:       self(i, uuid.NewString(), listener.Addr().String(), f.Size),
		Membership: membership.Config{Neighbours: f.Neighbours},
		Seeds:      f.seeds,
		Pool:       m.pool,
		Logger:     slog.New(slog.DiscardHandler),
	})
	m.OnItem(func(*peerv1.Item) { m.items.Add(1) })
	server := grpc.NewServer()
	peerv1.RegisterPeerServer(server, &peer.Service{GossipHandler: m.Gossip})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { _ = m.Run(ctx) })
	m.stop = func() { cancel(); server.Stop(); running.Wait(); m.pool.Close() }
	f.members = append(f.members, m)
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, listener.Addr().String())
	}
	return nil
}

// self returns the record of member i. Names and addresses have the usual length,
// because the encoded size is measured.
func self(i int, id, address string, size int) membership.Member {
	dataCentres := min(maxDataCentres, max(3, size/20))
	return membership.Member{
		DaemonID: id, Name: fmt.Sprintf("entry-%03d", i), PeerAddress: address,
		HTTPAddress: "10.100.100.100:8080", DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres),
		Region: fmt.Sprintf("region-%d", i%dataCentres/3),
	}
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

// waitUntil waits for a condition and returns how long it took.
func waitUntil(limit time.Duration, condition func() bool) (time.Duration, error) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			return 0, errors.Errorf("not reached within %v", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start), nil
}

// agree reports whether all members see n members that are alive.
func (f *realFleet) agree(n int) func() bool {
	return func() bool {
		for _, m := range f.members {
			if countAlive(m.Members()) != n {
				return false
			}
		}
		return true
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureReal(o options) error {
	f := &realFleet{options: o}
	for i := range o.Size {
		if err := f.start(i); err != nil {
			return err
		}
	}
	defer func() {
		for _, m := range f.members {
			m.stop()
		}
	}()
	took, err := waitUntil(2*time.Minute, f.agree(o.Size))
	if err != nil {
		return errors.Wrap(err, "start of all members")
	}
	report("all start at once", "%v", took.Round(time.Millisecond))
	time.Sleep(15 * time.Second) // until the updates from the start have been sent
	f.steady()
	return f.events()
}

func (f *realFleet) steady() {
	bytes, segments, calls, payload := f.bytes.Load(), f.segments.Load(), f.calls.Load(), f.payload.Load()
	cpu, start := cpuTime(), time.Now()
	time.Sleep(time.Duration(f.Seconds) * time.Second)
	seconds, n := time.Since(start).Seconds(), float64(f.Size)
	cpu = cpuTime() - cpu
	bytes, segments = f.bytes.Load()-bytes, f.segments.Load()-segments
	calls, payload = f.calls.Load()-calls, f.payload.Load()-payload
	conns := 0
	for _, m := range f.members {
		conns += m.pool.Len()
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	report("calls sent per daemon and s", "%.2f", float64(calls)/seconds/n)
	report("bytes in+out per daemon and s", "%.0f", 2*float64(bytes)/seconds/n)
	// 52 bytes of TCP/IP headers for each segment; acknowledgements are
	// sent with the replies.
	report("the same with TCP/IP headers", "%.0f", 2*float64(bytes+52*segments)/seconds/n)
	report("framing bytes per call", "%.0f", float64(bytes-payload)/float64(calls))
	report("connections in+out per daemon", "%.1f", 2*float64(conns)/n)
	report("CPU per daemon", "%.3f%% of a core", 100*cpu.Seconds()/seconds/n)
	report("heap+stacks per daemon", "%.2f MB", float64(memory.HeapInuse+memory.StackInuse)/n/1e6)
}

// events measures a broadcast with and without dead relays, a join and a death,
// in this order: broadcast, join, two deaths with a broadcast.
func (f *realFleet) events() error {
	took, err := f.broadcast("a", f.members)
	if err != nil {
		return errors.Wrap(err, "broadcast")
	}
	report("broadcast item", "%v", took.Round(time.Millisecond))
	if err := f.start(f.Size); err != nil {
		return err
	}
	if took, err = waitUntil(time.Minute, f.agree(f.Size+1)); err != nil {
		return errors.Wrap(err, "join")
	}
	report("join known to all", "%v", took.Round(time.Millisecond))
	// Both relays of a data centre stop immediately before the broadcast.
	relays := f.members[0].Overlay().RelayOrder(f.members[1].Self().DataCentre, "notice b  reclaim")
	start, running := time.Now(), f.stopMembers(relays[:membership.RelaysPerDataCentre])
	if took, err = f.broadcast("b", running); err != nil {
		return errors.Wrap(err, "broadcast with dead relays")
	}
	report("item with two dead relays", "%v", took.Round(time.Millisecond))
	f.members = running
	if _, err = waitUntil(time.Minute, f.agree(len(running))); err != nil {
		return errors.Wrap(err, "suspicion")
	}
	_, err = waitUntil(time.Minute, func() bool {
		for _, m := range running {
			if len(m.Members())-countAlive(m.Members()) != membership.RelaysPerDataCentre || countSuspects(m) > 0 {
				return false
			}
		}
		return true
	})
	report("death declared on all", "%v", time.Since(start).Round(time.Millisecond))
	return errors.Wrap(err, "death")
}

func countSuspects(m *realMember) int {
	n := 0
	for _, other := range m.Members() {
		if other.State == membership.Suspect {
			n++
		}
	}
	return n
}

// stopMembers stops the given members and returns the others.
func (f *realFleet) stopMembers(removed []membership.Member) []*realMember {
	var running []*realMember
	for _, m := range f.members {
		dead := false
		for _, v := range removed {
			dead = dead || v.DaemonID == m.Self().DaemonID
		}
		if dead {
			m.stop()
		} else {
			running = append(running, m)
		}
	}
	return running
}

// broadcast sends a notice from the first of the running members and returns the
// time until all others have received an item.
func (f *realFleet) broadcast(upstream string, running []*realMember) (time.Duration, error) {
	before := make([]int64, len(running))
	for i, m := range running {
		before[i] = m.items.Load()
	}
	start := time.Now()
	if err := running[0].Broadcast(context.Background(), &peerv1.Item{Kind: &peerv1.Item_UpstreamNotice{
		UpstreamNotice: &peerv1.UpstreamNotice{
			Upstream: upstream, Cause: "reclaim", ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
		}}}); err != nil {
		report("broadcast", "%v", err)
	}
	_, err := waitUntil(30*time.Second, func() bool {
		for i, m := range running[1:] {
			if m.items.Load() == before[i+1] {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}
