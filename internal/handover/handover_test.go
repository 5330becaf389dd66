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

// failingClient closes the connection at a given step. A step is the begin of a send,
// the end of a send, or a receive.
type failingClient struct {
	peerv1.PeerClient
	*failurePoint
}

type failurePoint struct {
	mu        sync.Mutex
	remaining int // steps until the failure
	steps     int
	fail      func()
}

var errFailed = errors.New("the daemon has failed")

// step counts a step and reports whether the daemon still runs after it.
func (d *failurePoint) step() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps++
	if d.remaining--; d.remaining == 0 {
		d.fail()
	}
	return d.remaining > 0
}

func (d failingClient) Replicate(ctx context.Context, o ...grpc.CallOption) (grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse], error) {
	stream, err := d.PeerClient.Replicate(ctx, o...)
	return &failingStream{stream, d.failurePoint}, err
}

type failingStream struct {
	grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse]
	*failurePoint
}

func (s *failingStream) Send(m *peerv1.ReplicateRequest) error {
	if !s.step() {
		return errFailed
	}
	if err := s.BidiStreamingClient.Send(m); err != nil {
		return err
	}
	if !s.step() {
		return errFailed
	}
	return nil
}

func (s *failingStream) Recv() (*peerv1.ReplicateResponse, error) {
	m, err := s.BidiStreamingClient.Recv()
	if err == nil && !s.step() {
		return nil, errFailed
	}
	return m, err
}

// serve serves the Peer service with a receiver. The result opens a new connection.
func serve(tb testing.TB, k *Receiver) (connect func() peerv1.PeerClient) {
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
	emittedBefore = 2 // last event that the caller got before its daemon began to leave
	lastID        = 6
)

// copyAndEmit copies one request to the peer and emits events until the request or the
// connection ends. It returns the last event that the caller has, and whether the peer
// acknowledged the copy.
func copyAndEmit(client peerv1.PeerClient, id string) (callerLast int64, copied bool) {
	ctx := context.Background()
	callerLast = emittedBefore
	r, err := NewReplicator(ctx, client)
	if err != nil {
		return callerLast, false
	}
	defer r.Stop()
	record := &peerv1.RequestRecord{RequestId: id}
	for e := int64(1); e <= emittedBefore; e++ {
		record.Events = append(record.Events, event(e))
	}
	if r.Open(ctx, record) != nil {
		return callerLast, false
	}
	for e := callerLast + 1; e <= lastID; e++ {
		if r.Append(ctx, id, event(e)) != nil {
			return callerLast, true
		}
		callerLast = e
	}
	_ = r.Close(ctx, id, false)
	return callerLast, true
}

// Guards against a repeated or dropped event, a second continuation and a lost
// request when the leaving daemon fails at any send or receive.
func TestLeavingDaemonFailsAtEveryStep(t *testing.T) {
	receiver := NewReceiver(clockwork.NewFakeClock(), DefaultLimits(), nil)
	connect := serve(t, receiver)
	failures := 0
	for step := 1; ; step++ {
		client := connect()
		ctx, cancel := context.WithCancel(context.Background())
		d := &failurePoint{remaining: step, fail: cancel}
		id := fmt.Sprintf("request-%d", step)
		callerLast, copied := copyAndEmit(failingClient{contextClient{client, ctx}, d}, id)
		cancel()
		if d.remaining > 0 {
			break // it left without a failure
		}
		failures++
		resume(t, receiver, id, callerLast, copied)
	}
	// One open, four appends and one close with three steps each.
	if failures != 18 {
		t.Errorf("the daemon failed at %d steps, want 18", failures)
	}
}

// contextClient cancels its streams when ctx ends, like a lost connection.
type contextClient struct {
	peerv1.PeerClient
	ctx context.Context
}

func (c contextClient) Replicate(ctx context.Context, o ...grpc.CallOption) (grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse], error) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(c.ctx, cancel)
	return c.PeerClient.Replicate(ctx, o...)
}

// resume takes the request from the receiver and checks the events that the caller
// gets.
func resume(t *testing.T, receiver *Receiver, id string, callerLast int64, copied bool) {
	t.Helper()
	record, err := receiver.Take(id, callerLast)
	if err != nil {
		closed := callerLast == lastID // the copy may have been removed
		if copied && !closed {
			t.Errorf("%s: lost after event %d: %v", id, callerLast, err)
		}
		return
	}
	last := int64(0)
	for _, e := range record.GetEvents() {
		if last++; e.GetId() != last || string(e.GetData()) != strconv.FormatInt(last, 10) {
			t.Errorf("%s: event %d at position %d", id, e.GetId(), last)
		}
	}
	if last < callerLast || last > callerLast+1 {
		t.Errorf("%s: the copy ends at event %d, the caller's at %d", id, last, callerLast)
	}
	if _, err := receiver.Take(id, callerLast); result.CodeOf(err) != result.StreamMoved {
		t.Errorf("%s: second continuation: %v", id, err)
	}
}

// Guards against a leaving daemon that emits events after its caller resumed at the
// peer, against continuing from stale copies, and against unlimited memory for copies.
func TestReceiverRefusals(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	taken := make(chan string, 1)
	receiver := NewReceiver(clock, Limits{MaxRecords: 2, MaxBytes: 1000, Retention: time.Minute}, func(id string) { taken <- id })
	client := serve(t, receiver)()
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
	if _, err := receiver.Take("a", 3); result.CodeOf(err) != result.StreamGone {
		t.Errorf("stale copy: %v", err)
	}
	if err := r.Close(ctx, "b", true); err != nil || <-taken != "b" {
		t.Errorf("take over: %v", err)
	}
	if _, err := receiver.Take("b", -1); err != nil {
		t.Error(err)
	}
	clock.Advance(2 * time.Minute)
	if records, bytes := receiver.Stats(); records != 0 || bytes != 0 {
		t.Errorf("expired copies are still held: %d records, %d bytes", records, bytes)
	}
}

// Guards against events that are lost or reordered when many requests append events
// concurrently and these are merged into batches.
func TestConcurrentAppends(t *testing.T) {
	ctx := context.Background()
	receiver := NewReceiver(clockwork.NewFakeClock(), DefaultLimits(), nil)
	client := serve(t, receiver)()
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
			if record, err := receiver.Take(id, 100); err != nil || len(record.GetEvents()) != 100 {
				t.Errorf("request %s: %d events, %v", id, len(record.GetEvents()), err)
			}
		})
	}
	wg.Wait()
}

func BenchmarkAppend(b *testing.B) {
	ctx := context.Background()
	receiver := NewReceiver(clockwork.NewRealClock(), Limits{MaxRecords: 1 << 20, MaxBytes: 1 << 40, Retention: time.Minute}, nil)
	client := serve(b, receiver)()
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

// Guards against reporting a hand-over as failed because an event was sent
// concurrently with the close. The peer refuses the event, but it has taken over the
// request.
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
