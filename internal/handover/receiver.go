package handover

import (
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// sweepInterval is the minimum time between two searches for expired records.
const sweepInterval = time.Second

// Limits bound the records that a Receiver holds.
type Limits struct {
	MaxRecords int
	MaxBytes   int64
	// Retention is how long a record is held after its request's deadline or, without
	// a deadline, after its last change.
	Retention time.Duration
}

// DefaultLimits returns limits that keep the records below a quarter of the daemon's
// memory budget.
func DefaultLimits() Limits {
	return Limits{MaxRecords: 10_000, MaxBytes: 32 << 20, Retention: time.Minute}
}

// Receiver holds copies of the records of in-flight requests of leaving daemons. A
// record can be taken at most once. From then on no further event of the leaving
// daemon is acknowledged, so that only one of the two daemons emits events.
type Receiver struct {
	clock  clockwork.Clock
	limits Limits
	// onTakeOver is called when the leaving daemon requests that this daemon finishes
	// the request. It must not block. It is not called when a connection breaks: the
	// leaving daemon may still run and copy its records to another peer, so these
	// records are held until a caller resumes its request here.
	onTakeOver func(requestID string)

	leavingCh chan struct{} // closed by Leave

	mu        sync.Mutex
	leaving   bool                   // this daemon leaves
	records   map[string]*heldRecord // by request ID
	bytes     int64                  // size of the records that were not taken
	nextSweep time.Time
}

// heldRecord is a record with its state. It remains after the record was taken, so
// that the record is not accepted again.
type heldRecord struct {
	record      *peerv1.RequestRecord // nil after the record was taken
	owner       *replicateStream      // stream on which the record was opened
	lastEventID int64
	size        int64 // in bytes, 0 after the record was taken
	expires     time.Time
}

// replicateStream is one Replicate stream. Receiver.mu guards it.
type replicateStream struct{ ended bool }

var _ peer.StreamHandler = (*Receiver)(nil)

// NewReceiver returns a receiver without records. onTakeOver is called with the ID of
// each request that a leaving daemon hands over. It must not block and may be nil.
func NewReceiver(clock clockwork.Clock, limits Limits, onTakeOver func(requestID string)) *Receiver {
	if onTakeOver == nil {
		onTakeOver = func(string) {}
	}
	return &Receiver{clock: clock, limits: limits, onTakeOver: onTakeOver, records: make(map[string]*heldRecord), leavingCh: make(chan struct{})}
}

// Replicate implements peer.StreamHandler. It ends with an error when this
// daemon leaves, so that the other daemon copies its records elsewhere.
func (r *Receiver) Replicate(stream grpc.BidiStreamingServer[peerv1.ReplicateRequest, peerv1.ReplicateResponse]) error {
	owner := &replicateStream{}
	ended := make(chan error, 1)
	go func() { ended <- r.serve(owner, stream) }()
	var err error
	select {
	case err = <-ended:
	case <-r.leavingCh:
		err = status.Error(codes.Unavailable, "this daemon is leaving")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	owner.ended = true
	return err
}

// serve handles the messages of one stream until it ends.
func (r *Receiver) serve(owner *replicateStream, stream grpc.BidiStreamingServer[peerv1.ReplicateRequest, peerv1.ReplicateResponse]) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		id, acked := r.handle(owner, request)
		if err := stream.Send(&peerv1.ReplicateResponse{RequestId: id, AckedEventId: acked}); err != nil {
			return err
		}
		if c := request.GetClose(); c.GetTakeOver() && acked == closedEventID {
			r.onTakeOver(id)
		}
	}
}

// Leave refuses all further messages and ends the Replicate streams, because this
// daemon leaves.
func (r *Receiver) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leaving {
		r.leaving = true
		close(r.leavingCh)
	}
}

// Orphans takes the records whose Replicate stream has ended, so that they can be
// copied to another daemon.
func (r *Receiver) Orphans() []*peerv1.RequestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var orphans []*peerv1.RequestRecord
	for _, held := range r.records {
		if held.record == nil || !held.owner.ended {
			continue
		}
		orphans = append(orphans, held.record)
		held.record = nil
		r.bytes -= held.size
		held.size = 0
	}
	return orphans
}

// handle handles one message. It returns the request ID and the event ID for the
// acknowledgement: the last event that the record has, refusedEventID or
// closedEventID.
func (r *Receiver) handle(owner *replicateStream, request *peerv1.ReplicateRequest) (id string, acked int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.ended || r.leaving {
		return "", refusedEventID
	}
	switch kind := request.GetKind().(type) {
	case *peerv1.ReplicateRequest_Open:
		return kind.Open.GetRequestId(), r.open(owner, kind.Open)
	case *peerv1.ReplicateRequest_Append:
		return kind.Append.GetRequestId(), r.append(owner, kind.Append)
	case *peerv1.ReplicateRequest_Close:
		return kind.Close.GetRequestId(), r.close(owner, kind.Close)
	}
	return "", refusedEventID
}

// open adds a record. It replaces an earlier copy of the same request, for example
// of a broken connection, unless that one has later events or was taken. It refuses
// a record that would exceed the limits.
func (r *Receiver) open(owner *replicateStream, record *peerv1.RequestRecord) int64 {
	r.removeExpired()
	id := record.GetRequestId()
	old := r.records[id]
	if old != nil && (old.record == nil || lastEventIDOf(record) < old.lastEventID) {
		return refusedEventID
	}
	if old != nil {
		r.remove(id)
	}
	size := int64(proto.Size(record))
	if id == "" || len(r.records) >= r.limits.MaxRecords || r.bytes+size > r.limits.MaxBytes {
		return refusedEventID
	}
	held := &heldRecord{record: record, owner: owner, lastEventID: lastEventIDOf(record), size: size}
	r.renewExpiry(held)
	r.records[id] = held
	r.bytes += size
	return held.lastEventID
}

// lastEventIDOf returns the ID of the last event in a record, 0 if there is none.
func lastEventIDOf(record *peerv1.RequestRecord) int64 {
	if n := len(record.GetEvents()); n > 0 {
		return record.GetEvents()[n-1].GetId()
	}
	return 0
}

// append adds events to a record. It skips events that the record has, refuses events
// after a gap or beyond Limits.MaxBytes, and refuses all events of a record that was
// taken or opened on another stream.
func (r *Receiver) append(owner *replicateStream, a *peerv1.AppendEvents) int64 {
	held := r.records[a.GetRequestId()]
	if held == nil || held.record == nil || held.owner != owner {
		return refusedEventID
	}
	for _, event := range a.GetEvents() {
		if event.GetId() <= held.lastEventID {
			continue
		}
		size := int64(proto.Size(event))
		if event.GetId() != held.lastEventID+1 || r.bytes+size > r.limits.MaxBytes {
			return refusedEventID
		}
		held.record.Events = append(held.record.Events, event)
		held.lastEventID = event.GetId()
		held.size += size
		r.bytes += size
	}
	r.renewExpiry(held)
	return held.lastEventID
}

// close ends the copying of a record. If the leaving daemon hands the request over,
// the record is held until it is taken, otherwise it is removed.
func (r *Receiver) close(owner *replicateStream, c *peerv1.CloseRequest) int64 {
	held := r.records[c.GetRequestId()]
	if held == nil || held.record == nil || held.owner != owner {
		return refusedEventID
	}
	if c.GetTakeOver() {
		r.renewExpiry(held)
	} else {
		r.remove(c.GetRequestId())
	}
	return closedEventID
}

// Take returns the record of a request to continue it. It succeeds at most once per
// record. lastEventID is the last event that the caller has, -1 if no caller has
// resumed the request yet. A record without this event is stale and is refused,
// because its continuation could differ from what the caller has received.
func (r *Receiver) Take(requestID string, lastEventID int64) (*peerv1.RequestRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	held := r.records[requestID]
	switch {
	case held == nil || !r.clock.Now().Before(held.expires):
		return nil, result.New(result.StreamUnknown, result.Unknown, "no request with the ID %s is kept here", requestID)
	case held.record == nil:
		return nil, result.New(result.StreamMoved, result.Unknown, "request %s is already being continued here", requestID)
	case lastEventID > held.lastEventID:
		return nil, result.New(result.StreamGone, result.Unknown,
			"the copy of request %s ends at event %d", requestID, held.lastEventID)
	}
	record := held.record
	held.record = nil
	r.bytes -= held.size
	held.size = 0
	return record, nil
}

// Stats returns the number of records, including taken ones that have not expired,
// and the size in bytes of those that were not taken.
func (r *Receiver) Stats() (records int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	return len(r.records), r.bytes
}

// renewExpiry sets the time at which a record expires.
func (r *Receiver) renewExpiry(held *heldRecord) {
	end := r.clock.Now()
	if deadline := held.record.GetDeadlineUnixMs(); deadline != 0 {
		end = time.UnixMilli(deadline)
	}
	held.expires = end.Add(r.limits.Retention)
}

// removeExpired removes expired records. It scans all records, so it does nothing if
// the last scan was less than sweepInterval ago.
func (r *Receiver) removeExpired() {
	now := r.clock.Now()
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(sweepInterval)
	for id, held := range r.records {
		if !now.Before(held.expires) {
			r.remove(id)
		}
	}
}

func (r *Receiver) remove(id string) {
	r.bytes -= r.records[id].size
	delete(r.records, id)
}
