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

// counters are totals over all members. Every byte is counted once, on the
// dialling side, and belongs to one sender and one receiver.
type counters struct{ bytes, segments, calls, payload atomic.Int64 }

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

type realMember struct {
	*gossip.Gossip
	pool  *peer.Pool
	items atomic.Int64
	stop  func()
}

type realFleet struct {
	options
	counters
	members []*realMember
	seeds   []string
}

const dataCentres = 20

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

// self describes member i with names of the usual length.
func self(i int, id, address string, size int) membership.Member {
	spread := min(dataCentres, max(3, size/20))
	return membership.Member{
		DaemonID: id, Name: fmt.Sprintf("entry-%03d", i), PeerAddress: address,
		HTTPAddress: "10.100.100.100:8080", DataCentre: fmt.Sprintf("dc-%02d", i%spread),
		Region: fmt.Sprintf("region-%d", i%spread/3),
	}
}

func alive(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.State == membership.Alive {
			n++
		}
	}
	return n
}

// until waits for a condition and returns how long it took.
func until(limit time.Duration, condition func() bool) (time.Duration, error) {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			return 0, errors.Errorf("not reached within %v", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began), nil
}

func (f *realFleet) agree(n int) func() bool {
	return func() bool {
		for _, m := range f.members {
			if alive(m.Members()) != n {
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
	took, err := until(2*time.Minute, f.agree(o.Size))
	if err != nil {
		return errors.Wrap(err, "start of all members")
	}
	report("all start at once", "%v", took.Round(time.Millisecond))
	time.Sleep(15 * time.Second) // until the updates of the start are sent
	f.steady()
	return f.events()
}

func (f *realFleet) steady() {
	bytes, segments, calls, payload := f.bytes.Load(), f.segments.Load(), f.calls.Load(), f.payload.Load()
	cpu, began := cpuTime(), time.Now()
	time.Sleep(time.Duration(f.Seconds) * time.Second)
	seconds, n := time.Since(began).Seconds(), float64(f.Size)
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
	// 52 bytes of TCP/IP headers for each segment; acknowledgements ride on replies.
	report("the same with TCP/IP headers", "%.0f", 2*float64(bytes+52*segments)/seconds/n)
	report("framing bytes per call", "%.0f", float64(bytes-payload)/float64(calls))
	report("connections in+out per daemon", "%.1f", 2*float64(conns)/n)
	report("CPU per daemon", "%.3f%% of a core", 100*cpu.Seconds()/seconds/n)
	report("heap+stacks per daemon", "%.2f MB", float64(memory.HeapInuse+memory.StackInuse)/n/1e6)
}

// events measures a broadcast with and without dead relays, a join and a death.
func (f *realFleet) events() error {
	took, err := f.broadcast("a", f.members)
	if err != nil {
		return errors.Wrap(err, "broadcast")
	}
	report("broadcast item", "%v", took.Round(time.Millisecond))
	if err := f.start(f.Size); err != nil {
		return err
	}
	if took, err = until(time.Minute, f.agree(f.Size+1)); err != nil {
		return errors.Wrap(err, "join")
	}
	report("join known to all", "%v", took.Round(time.Millisecond))
	// Both relays of a data centre die immediately before the push.
	relays := f.members[0].Overlay().RelayOrder(f.members[1].Self().DataCentre, "notice b  reclaim")
	began, live := time.Now(), f.remove(relays[:membership.RelaysPerDataCentre])
	if took, err = f.broadcast("b", live); err != nil {
		return errors.Wrap(err, "broadcast with dead relays")
	}
	report("item with two dead relays", "%v", took.Round(time.Millisecond))
	f.members = live
	if _, err = until(time.Minute, f.agree(len(live))); err != nil {
		return errors.Wrap(err, "suspicion")
	}
	_, err = until(time.Minute, func() bool {
		for _, m := range live {
			if len(m.Members())-alive(m.Members()) != membership.RelaysPerDataCentre || suspects(m) > 0 {
				return false
			}
		}
		return true
	})
	report("death declared on all", "%v", time.Since(began).Round(time.Millisecond))
	return errors.Wrap(err, "death")
}

func suspects(m *realMember) int {
	n := 0
	for _, other := range m.Members() {
		if other.State == membership.Suspect {
			n++
		}
	}
	return n
}

func (f *realFleet) remove(victims []membership.Member) []*realMember {
	var live []*realMember
	for _, m := range f.members {
		dead := false
		for _, v := range victims {
			dead = dead || v.DaemonID == m.Self().DaemonID
		}
		if dead {
			m.stop()
		} else {
			live = append(live, m)
		}
	}
	return live
}

func (f *realFleet) broadcast(upstream string, live []*realMember) (time.Duration, error) {
	before := make([]int64, len(live))
	for i, m := range live {
		before[i] = m.items.Load()
	}
	began := time.Now()
	if err := live[0].Broadcast(context.Background(), &peerv1.Item{Kind: &peerv1.Item_UpstreamNotice{
		UpstreamNotice: &peerv1.UpstreamNotice{
			Upstream: upstream, Cause: "reclaim", ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
		}}}); err != nil {
		report("broadcast", "%v", err)
	}
	_, err := until(30*time.Second, func() bool {
		for i, m := range live[1:] {
			if m.items.Load() == before[i+1] {
				return false
			}
		}
		return true
	})
	return time.Since(began), err
}
