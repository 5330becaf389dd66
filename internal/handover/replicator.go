// Package handover copies in-flight streams from a leaving daemon to a peer
// that can finish them.
package handover

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// refusedEventID in an acknowledgement means that the receiver does not
	// keep the record, or that the caller has already resumed there.
	refusedEventID = -1
	// closedEventID acknowledges a CloseRequest.
	closedEventID = -2

	queueLength   = 1024
	maxBatch      = 256     // queued messages that are merged into one write
	maxBatchBytes = 1 << 20 // far below peer.MaxMessageBytes
)

// Replicator copies the in-flight records of this daemon to one peer. An event
// may go to the caller only after Append has returned nil for it.
type Replicator struct {
	stream grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse]
	queue  chan *peerv1.ReplicateRequest
	cancel context.CancelFunc
	done   chan struct{} // closed when the connection is lost or stopped
	ended  sync.WaitGroup

	mu      sync.Mutex
	err     error // why done was closed
	records map[string]*copyState
}

// copyState is what the peer has acknowledged of one record.
type copyState struct {
	opened  bool
	acked   int64
	refused bool
	closed  bool
	changed chan struct{} // closed and replaced at each acknowledgement
}

// NewReplicator opens Replicate to a peer. The stream ends with Stop; ctx only
// carries values.
func NewReplicator(ctx context.Context, client peerv1.PeerClient) (*Replicator, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := client.Replicate(ctx)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "open the replication stream")
	}
	r := &Replicator{
		stream: stream, cancel: cancel, done: make(chan struct{}),
		queue: make(chan *peerv1.ReplicateRequest, queueLength), records: make(map[string]*copyState),
	}
	r.ended.Go(r.write)
	r.ended.Go(r.read)
	return r, nil
}

// Open sends a record with the events emitted so far and waits until the peer
// keeps it.
func (r *Replicator) Open(ctx context.Context, record *peerv1.RequestRecord) error {
	id := record.GetRequestId()
	r.mu.Lock()
	if _, ok := r.records[id]; ok {
		r.mu.Unlock()
		return errors.Errorf("request %s is already copied", id)
	}
	r.records[id] = &copyState{changed: make(chan struct{})}
	r.mu.Unlock()
	message := &peerv1.ReplicateRequest{Kind: &peerv1.ReplicateRequest_Open{Open: record}}
	err := r.exchange(ctx, id, message, func(s *copyState) bool { return s.opened })
	if err != nil {
		r.forget(id)
	}
	return err
}

// Append sends events of an opened record and waits until the peer has all of
// them. After an error none of them may go to the caller: the peer may have
// them or not, and the caller gets them when it resumes there.
func (r *Replicator) Append(ctx context.Context, requestID string, events ...*peerv1.Event) error {
	if len(events) == 0 {
		return nil
	}
	last := events[len(events)-1].GetId()
	message := &peerv1.ReplicateRequest{Kind: &peerv1.ReplicateRequest_Append{
		Append: &peerv1.AppendEvents{RequestId: requestID, Events: events},
	}}
	return r.exchange(ctx, requestID, message, func(s *copyState) bool { return s.acked >= last })
}

// Close ends the copy of a record. With takeOver the peer finishes the
// request; else it drops the record, because the caller has received all of it.
func (r *Replicator) Close(ctx context.Context, requestID string, takeOver bool) error {
	message := &peerv1.ReplicateRequest{Kind: &peerv1.ReplicateRequest_Close{
		Close: &peerv1.CloseRequest{RequestId: requestID, TakeOver: takeOver},
	}}
	err := r.exchange(ctx, requestID, message, func(s *copyState) bool { return s.closed })
	if err == nil {
		r.forget(requestID)
	}
	return err
}

func (r *Replicator) forget(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, requestID)
}

// Stop ends the stream. The peer may finish every record that was not closed.
func (r *Replicator) Stop() {
	r.fail(errors.New("the replicator was stopped"))
	r.ended.Wait()
}

// Done is closed when no further event can be acknowledged.
func (r *Replicator) Done() <-chan struct{} { return r.done }

func (r *Replicator) exchange(ctx context.Context, id string, message *peerv1.ReplicateRequest, reached func(*copyState) bool) error {
	r.mu.Lock()
	state := r.records[id]
	r.mu.Unlock()
	if state == nil {
		return errors.Errorf("request %s is not copied", id)
	}
	select {
	case r.queue <- message:
	case <-r.done:
		return r.lost()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the replication queue")
	}
	for {
		r.mu.Lock()
		ok, refused, changed := reached(state), state.refused, state.changed
		r.mu.Unlock()
		switch {
		case ok:
			// A refusal of a later event, for example of one that is sent
			// beside a close, takes back nothing.
			return nil
		case refused:
			return result.New(result.StreamMoved, result.Unknown, "the peer does not keep request %s", id)
		}
		select {
		case <-changed:
		case <-r.done:
			return r.lost()
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the peer's acknowledgement")
		}
	}
}

func (r *Replicator) lost() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return result.Wrap(r.err, result.StreamMoved, result.Unknown, "the copy at the peer is out of reach")
}

func (r *Replicator) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
		close(r.done)
		r.cancel()
	}
}

// write sends queued messages. Events of a request that queued up while the
// last write was in progress go out as one message.
func (r *Replicator) write() {
	for {
		var batch []*peerv1.ReplicateRequest
		select {
		case first := <-r.queue:
			batch = r.collect(first)
		case <-r.done:
			return
		}
		for _, message := range batch {
			if err := r.stream.Send(message); err != nil {
				r.fail(errors.Wrap(err, "send to the peer"))
				return
			}
		}
	}
}

func (r *Replicator) collect(first *peerv1.ReplicateRequest) []*peerv1.ReplicateRequest {
	batch := []*peerv1.ReplicateRequest{first}
	merge := make(map[string]*peerv1.AppendEvents) // last message of a request, if it appends
	size := proto.Size(first)
	note(merge, first)
	for n := 1; n < maxBatch && size < maxBatchBytes; n++ {
		select {
		case next := <-r.queue:
			size += proto.Size(next)
			into := merge[next.GetAppend().GetRequestId()]
			if into != nil && next.GetAppend() != nil {
				into.Events = append(into.Events, next.GetAppend().GetEvents()...)
				continue
			}
			batch = append(batch, next)
			note(merge, next)
		default:
			return batch
		}
	}
	return batch
}

// note keeps the order of a request's messages: nothing is merged across an
// open or a close.
func note(merge map[string]*peerv1.AppendEvents, m *peerv1.ReplicateRequest) {
	switch {
	case m.GetAppend() != nil:
		merge[m.GetAppend().GetRequestId()] = m.GetAppend()
	case m.GetOpen() != nil:
		delete(merge, m.GetOpen().GetRequestId())
	case m.GetClose() != nil:
		delete(merge, m.GetClose().GetRequestId())
	}
}

func (r *Replicator) read() {
	for {
		ack, err := r.stream.Recv()
		if err != nil {
			r.fail(errors.Wrap(err, "receive from the peer"))
			return
		}
		r.acknowledge(ack)
	}
}

func (r *Replicator) acknowledge(ack *peerv1.ReplicateResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.records[ack.GetRequestId()]
	if s == nil {
		return
	}
	switch id := ack.GetAckedEventId(); id {
	case refusedEventID:
		s.refused = true
	case closedEventID:
		s.closed = true
	default:
		s.opened = true
		s.acked = max(s.acked, id)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
