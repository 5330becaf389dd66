package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// dyingClient closes the connection at its n-th send or receive.
type dyingClient struct {
	peerv1.PeerClient
	*dying
}

type dying struct {
	mu    sync.Mutex
	left  int
	steps int
	kill  func()
}

var errDead = errors.New("the daemon is dead")

// step reports whether the daemon is still alive after one more step.
func (d *dying) step() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps++
	if d.left--; d.left == 0 {
		d.kill()
	}
	return d.left > 0
}

func (d dyingClient) Replicate(ctx context.Context, o ...grpc.CallOption) (grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse], error) {
	stream, err := d.PeerClient.Replicate(ctx, o...)
	return &dyingStream{stream, d.dying}, err
}

type dyingStream struct {
	grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse]
	*dying
}

func (s *dyingStream) Send(m *peerv1.ReplicateRequest) error {
	if !s.step() {
		return errDead
	}
	if err := s.BidiStreamingClient.Send(m); err != nil {
		return err
	}
	if !s.step() {
		return errDead
	}
	return nil
}

func (s *dyingStream) Recv() (*peerv1.ReplicateResponse, error) {
	m, err := s.BidiStreamingClient.Recv()
	if err == nil && !s.step() {
		return nil, errDead
	}
	return m, err
}

func serve(tb testing.TB, k *Keeper) (connect func() peerv1.PeerClient) {
	tb.Helper()
	server := grpc.NewServer()
	peerv1.RegisterPeerServer(server, &peer.Service{StreamHandler: k})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(server.Stop)
	return func() peerv1.PeerClient {
		pool := peer.NewPool(time.Minute, time.Now)
		tb.Cleanup(pool.Close)
		client, _ := pool.Client(listener.Addr().String())
		return client
	}
}

func event(id int64) *peerv1.Event {
	return &peerv1.Event{Id: id, Data: []byte(strconv.FormatInt(id, 10)), Last: id == lastID}
}

const (
	emittedBefore = 2 // events that the caller got before the notice
	lastID        = 6
)

// leave copies one request and emits events until it ends or dies. It returns
// the last event that the caller has, and whether the copy was acknowledged.
func leave(client peerv1.PeerClient, id string) (caller int64, copied bool) {
	ctx := context.Background()
	caller = emittedBefore
	r, err := NewReplicator(ctx, client)
	if err != nil {
		return caller, false
	}
	defer r.Stop()
	record := &peerv1.RequestRecord{RequestId: id}
	for e := int64(1); e <= emittedBefore; e++ {
		record.Events = append(record.Events, event(e))
	}
	if r.Open(ctx, record) != nil {
		return caller, false
	}
	for e := caller + 1; e <= lastID; e++ {
		if r.Append(ctx, id, event(e)) != nil {
			return caller, true
		}
		caller = e
	}
	_ = r.Close(ctx, id, false)
	return caller, true
}

// Guards against a repeated or dropped event, a second continuation and a lost
// request when the leaving daemon dies at any send or receive.
func TestLeavingDaemonDiesAtEveryPoint(t *testing.T) {
	keeper := NewKeeper(clockwork.NewFakeClock(), DefaultLimits(), nil)
	connect := serve(t, keeper)
	deaths := 0
	for point := 1; ; point++ {
		client := connect()
		ctx, cancel := context.WithCancel(context.Background())
		d := &dying{left: point, kill: cancel}
		id := fmt.Sprintf("request-%d", point)
		caller, copied := leave(dyingClient{contextClient{client, ctx}, d}, id)
		cancel()
		if d.left > 0 {
			break // it left without dying
		}
		deaths++
		resume(t, keeper, id, caller, copied)
	}
	// One open, four appends and one close with three steps each.
	if deaths != 18 {
		t.Errorf("the daemon died at %d points, want 18", deaths)
	}
}

// contextClient ends the stream abruptly, as a lost connection does.
type contextClient struct {
	peerv1.PeerClient
	ctx context.Context
}

func (c contextClient) Replicate(ctx context.Context, o ...grpc.CallOption) (grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse], error) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(c.ctx, cancel)
	return c.PeerClient.Replicate(ctx, o...)
}

// resume continues the request at the keeper and checks what the caller gets.
func resume(t *testing.T, keeper *Keeper, id string, caller int64, copied bool) {
	t.Helper()
	record, err := keeper.Take(id, caller)
	if err != nil {
		closed := caller == lastID // the copy may have been dropped
		if copied && !closed {
			t.Errorf("%s: lost after event %d: %v", id, caller, err)
		}
		return
	}
	last := int64(0)
	for _, e := range record.GetEvents() {
		if last++; e.GetId() != last || string(e.GetData()) != strconv.FormatInt(last, 10) {
			t.Errorf("%s: event %d at place %d", id, e.GetId(), last)
		}
	}
	if last < caller || last > caller+1 {
		t.Errorf("%s: the copy ends at event %d, the caller's at %d", id, last, caller)
	}
	if _, err := keeper.Take(id, caller); result.CodeOf(err) != result.StreamMoved {
		t.Errorf("%s: second continuation: %v", id, err)
	}
}

// Guards against a leaving daemon that emits events after its caller resumed
// elsewhere, against stale copies, and against copies without bound.
func TestKeeperRefusals(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	taken := make(chan string, 1)
	keeper := NewKeeper(clock, Limits{MaxRecords: 2, MaxBytes: 1000, Retention: time.Minute}, func(id string) { taken <- id })
	client := serve(t, keeper)()
	r, err := NewReplicator(ctx, client)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	for _, id := range []string{"a", "b"} {
		if err := r.Open(ctx, &peerv1.RequestRecord{RequestId: id}); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Open(ctx, &peerv1.RequestRecord{RequestId: "c"}); result.CodeOf(err) != result.StreamMoved {
		t.Errorf("third record: %v", err)
	}
	if err := r.Append(ctx, "a", event(1), event(2)); err != nil {
		t.Fatal(err)
	}
	if err := r.Append(ctx, "a", event(4)); result.CodeOf(err) != result.StreamMoved {
		t.Errorf("event after a gap: %v", err)
	}
	if _, err := keeper.Take("a", 3); result.CodeOf(err) != result.StreamGone {
		t.Errorf("stale copy: %v", err)
	}
	if err := r.Close(ctx, "b", true); err != nil || <-taken != "b" {
		t.Errorf("take over: %v", err)
	}
	if _, err := keeper.Take("b", -1); err != nil {
		t.Error(err)
	}
	clock.Advance(2 * time.Minute)
	if records, bytes := keeper.Stats(); records != 0 || bytes != 0 {
		t.Errorf("expired copies are kept: %d records, %d bytes", records, bytes)
	}
}

// Guards against events that are lost or reordered when many requests append
// at once and their events are merged into batches.
func TestConcurrentAppends(t *testing.T) {
	ctx := context.Background()
	keeper := NewKeeper(clockwork.NewFakeClock(), DefaultLimits(), nil)
	client := serve(t, keeper)()
	r, _ := NewReplicator(ctx, client)
	defer r.Stop()
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			id := strconv.Itoa(i)
			_ = r.Open(ctx, &peerv1.RequestRecord{RequestId: id})
			for e := int64(1); e <= 100; e++ {
				if err := r.Append(ctx, id, event(e)); err != nil {
					t.Error(err)
					return
				}
			}
			if record, err := keeper.Take(id, 100); err != nil || len(record.GetEvents()) != 100 {
				t.Errorf("request %s: %d events, %v", id, len(record.GetEvents()), err)
			}
		})
	}
	wg.Wait()
}

func BenchmarkAppend(b *testing.B) {
	ctx := context.Background()
	keeper := NewKeeper(clockwork.NewRealClock(), Limits{MaxRecords: 1 << 20, MaxBytes: 1 << 40, Retention: time.Minute}, nil)
	client := serve(b, keeper)()
	r, _ := NewReplicator(ctx, client)
	defer r.Stop()
	var serial sync.Mutex
	next := 0
	b.SetParallelism(20) // 20 streams for each core
	b.RunParallel(func(pb *testing.PB) {
		serial.Lock()
		next++
		id := strconv.Itoa(next)
		serial.Unlock()
		_ = r.Open(ctx, &peerv1.RequestRecord{RequestId: id})
		for e := int64(1); pb.Next(); e++ {
			if err := r.Append(ctx, id, event(e)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// Guards against a stream that is lost because an event was sent beside the
// close: the peer refuses the event, but it has taken over the request.
func TestRefusedEventAfterCloseKeepsHandOver(t *testing.T) {
	r := &Replicator{
		queue: make(chan *peerv1.ReplicateRequest, 1), done: make(chan struct{}),
		records: map[string]*copyState{"a": {changed: make(chan struct{})}},
	}
	r.acknowledge(&peerv1.ReplicateResponse{RequestId: "a", AckedEventId: closedEventID})
	r.acknowledge(&peerv1.ReplicateResponse{RequestId: "a", AckedEventId: refusedEventID})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.Close(ctx, "a", true); err != nil {
		t.Errorf("the hand-over is reported as failed: %v", err)
	}
}
