// Package handover copies the records of in-flight requests from a leaving daemon to a
// peer, which can finish the requests. The Replicator sends the copies, the Receiver
// holds them.
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
	// refusedEventID in an acknowledgement means that the receiver does not hold the
	// record, or that the caller has already resumed its request there.
	refusedEventID = -1
	// closedEventID acknowledges a CloseRequest.
	closedEventID = -2

	queueLength = 1024 // messages
	// maxBatchMessages bounds the number of queued messages that are taken from the
	// queue and merged at a time.
	maxBatchMessages = 256
	// maxBatchBytes bounds the size of a merged message. It is far below
	// peer.MaxMessageBytes.
	maxBatchBytes = 1 << 20
)

// Replicator copies the records of in-flight requests of this daemon to one peer. An
// event must not be sent to the caller before Append has returned nil for it.
type Replicator struct {
	stream grpc.BidiStreamingClient[peerv1.ReplicateRequest, peerv1.ReplicateResponse]
	queue  chan *peerv1.ReplicateRequest
	cancel context.CancelFunc
	done   chan struct{}  // closed when the connection is lost or stopped
	loops  sync.WaitGroup // of write and read

	mu      sync.Mutex
	err     error                 // why done was closed
	records map[string]*copyState // by request ID
}

// copyState is the state of the copy of one record, from acknowledgements of the
// peer.
type copyState struct {
	opened       bool
	ackedEventID int64 // ID of the last event that the peer has
	refused      bool
	closed       bool
	changed      chan struct{} // closed and replaced at each acknowledgement
}

// NewReplicator opens a Replicate stream to a peer. ctx only supplies values: its end
// does not end the stream, Stop does.
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
	r.loops.Go(r.write)
	r.loops.Go(r.read)
	return r, nil
}

// Open sends a record with the events emitted so far and waits until the peer holds
// it.
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
	err := r.sendAndWait(ctx, id, message, func(s *copyState) bool { return s.opened })
	if err != nil {
		r.forget(id)
	}
	return err
}

// Append sends events of an opened record and waits until the peer has all of them.
// After an error none of them may be sent to the caller, because it is unknown
// whether the peer has them. The caller gets them when it resumes its request at the
// peer.
func (r *Replicator) Append(ctx context.Context, requestID string, events ...*peerv1.Event) error {
	if len(events) == 0 {
		return nil
	}
	last := events[len(events)-1].GetId()
	message := &peerv1.ReplicateRequest{Kind: &peerv1.ReplicateRequest_Append{
		Append: &peerv1.AppendEvents{RequestId: requestID, Events: events},
	}}
	return r.sendAndWait(ctx, requestID, message, func(s *copyState) bool { return s.ackedEventID >= last })
}

// Close ends the copying of a record. With takeOver the peer finishes the request,
// otherwise it removes the record, because the caller has received all events.
func (r *Replicator) Close(ctx context.Context, requestID string, takeOver bool) error {
	message := &peerv1.ReplicateRequest{Kind: &peerv1.ReplicateRequest_Close{
		Close: &peerv1.CloseRequest{RequestId: requestID, TakeOver: takeOver},
	}}
	err := r.sendAndWait(ctx, requestID, message, func(s *copyState) bool { return s.closed })
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

// Stop ends the stream. The peer may finish the requests whose records were not
// closed.
func (r *Replicator) Stop() {
	r.fail(errors.New("the replicator was stopped"))
	r.loops.Wait()
}

// Done is closed when no further event can be acknowledged.
func (r *Replicator) Done() <-chan struct{} { return r.done }

// sendAndWait sends a message and waits until its acknowledgement has brought the
// state of the copy to the point where acknowledged returns true.
func (r *Replicator) sendAndWait(ctx context.Context, id string, message *peerv1.ReplicateRequest, acknowledged func(*copyState) bool) error {
	r.mu.Lock()
	state := r.records[id]
	r.mu.Unlock()
	if state == nil {
		return errors.Errorf("request %s is not copied", id)
	}
	select {
	case r.queue <- message:
	case <-r.done:
		return r.connectionError()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the replication queue")
	}
	for {
		r.mu.Lock()
		ok, refused, changed := acknowledged(state), state.refused, state.changed
		r.mu.Unlock()
		switch {
		case ok:
			// A refusal of a later event, for example of one sent concurrently
			// with a close, does not change this.
			return nil
		case refused:
			return result.New(result.StreamMoved, result.Unknown, "the peer does not keep request %s", id)
		}
		select {
		case <-changed:
		case <-r.done:
			return r.connectionError()
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the peer's acknowledgement")
		}
	}
}

// connectionError returns the error of calls after the connection was lost or stopped.
func (r *Replicator) connectionError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return result.Wrap(r.err, result.StreamMoved, result.Unknown, "the copy at the peer is out of reach")
}

// fail ends the stream. The first error is kept.
func (r *Replicator) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
		close(r.done)
		r.cancel()
	}
}

// write sends queued messages. Events of a request that were queued during the last
// write are sent as one message.
func (r *Replicator) write() {
	for {
		var batch []*peerv1.ReplicateRequest
		select {
		case first := <-r.queue:
			batch = r.collectBatch(first)
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

// collectBatch returns the first message and those in the queue, with successive
// events of a request merged.
func (r *Replicator) collectBatch(first *peerv1.ReplicateRequest) []*peerv1.ReplicateRequest {
	batch := []*peerv1.ReplicateRequest{first}
	merge := make(map[string]*peerv1.AppendEvents) // last message of each request, if it appends events
	size := proto.Size(first)
	trackAppend(merge, first)
	for n := 1; n < maxBatchMessages && size < maxBatchBytes; n++ {
		select {
		case next := <-r.queue:
			size += proto.Size(next)
			into := merge[next.GetAppend().GetRequestId()]
			if into != nil && next.GetAppend() != nil {
				into.Events = append(into.Events, next.GetAppend().GetEvents()...)
				continue
			}
			batch = append(batch, next)
			trackAppend(merge, next)
		default:
			return batch
		}
	}
	return batch
}

// trackAppend updates merge with the next message. It preserves the order of a
// request's messages: events are not merged across an open or a close.
func trackAppend(merge map[string]*peerv1.AppendEvents, m *peerv1.ReplicateRequest) {
	switch {
	case m.GetAppend() != nil:
		merge[m.GetAppend().GetRequestId()] = m.GetAppend()
	case m.GetOpen() != nil:
		delete(merge, m.GetOpen().GetRequestId())
	case m.GetClose() != nil:
		delete(merge, m.GetClose().GetRequestId())
	}
}

// read handles acknowledgements until the stream ends.
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
		s.ackedEventID = max(s.ackedEventID, id)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
