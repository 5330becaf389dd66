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

const sweepInterval = time.Second

// Limits bound a Keeper.
type Limits struct {
	MaxRecords int
	MaxBytes   int64
	// Retention is how long a record is kept after its request's deadline, and
	// how long one without a deadline is kept after its last change.
	Retention time.Duration
}

// DefaultLimits keep the copies below a quarter of the daemon's memory budget.
func DefaultLimits() Limits {
	return Limits{MaxRecords: 10_000, MaxBytes: 32 << 20, Retention: time.Minute}
}

// Keeper holds copies of in-flight records of leaving daemons. A record is
// taken at most once, and from then on no further event of the leaving daemon
// is acknowledged, so that only one of the two daemons emits events.
type Keeper struct {
	clock  clockwork.Clock
	limits Limits
	// onTakeOver is told when the leaving daemon wants the request finished
	// here. It must not block. It is not told about broken connections: the
	// leaving daemon may live and have its records copied to another peer, so
	// these records wait until a caller asks for them.
	onTakeOver func(requestID string)

	leaving chan struct{} // closed by Leave

	mu      sync.Mutex
	left    bool
	records map[string]*keptRecord
	bytes   int64
	sweepAt time.Time
}

type keptRecord struct {
	record  *peerv1.RequestRecord // nil after the record was taken
	owner   *session
	last    int64
	size    int64
	expires time.Time
}

// session is one Replicate stream; guarded by Keeper.mu.
type session struct{ ended bool }

var _ peer.StreamHandler = (*Keeper)(nil)

// NewKeeper returns an empty keeper; onTakeOver may be nil.
func NewKeeper(clock clockwork.Clock, limits Limits, onTakeOver func(requestID string)) *Keeper {
	if onTakeOver == nil {
		onTakeOver = func(string) {}
	}
	return &Keeper{clock: clock, limits: limits, onTakeOver: onTakeOver, records: make(map[string]*keptRecord), leaving: make(chan struct{})}
}

// Replicate implements peer.StreamHandler. It ends with an error when this
// daemon leaves, so that the other daemon copies its records elsewhere.
func (k *Keeper) Replicate(stream grpc.BidiStreamingServer[peerv1.ReplicateRequest, peerv1.ReplicateResponse]) error {
	owner := &session{}
	ended := make(chan error, 1)
	go func() { ended <- k.serve(owner, stream) }()
	var err error
	select {
	case err = <-ended:
	case <-k.leaving:
		err = status.Error(codes.Unavailable, "this daemon is leaving")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	owner.ended = true
	return err
}

func (k *Keeper) serve(owner *session, stream grpc.BidiStreamingServer[peerv1.ReplicateRequest, peerv1.ReplicateResponse]) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		id, acked := k.handle(owner, request)
		if err := stream.Send(&peerv1.ReplicateResponse{RequestId: id, AckedEventId: acked}); err != nil {
			return err
		}
		if c := request.GetClose(); c.GetTakeOver() && acked == closedEventID {
			k.onTakeOver(id)
		}
	}
}

// Leave refuses records from now on and ends the Replicate streams.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.left {
		k.left = true
		close(k.leaving)
	}
}

// Orphans takes the records whose daemon is no longer connected, so that they
// can be copied to another daemon.
func (k *Keeper) Orphans() []*peerv1.RequestRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	var orphans []*peerv1.RequestRecord
	for _, kept := range k.records {
		if kept.record == nil || !kept.owner.ended {
			continue
		}
		orphans = append(orphans, kept.record)
		kept.record = nil
		k.bytes -= kept.size
		kept.size = 0
	}
	return orphans
}

func (k *Keeper) handle(owner *session, request *peerv1.ReplicateRequest) (id string, acked int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if owner.ended || k.left {
		return "", refusedEventID
	}
	switch kind := request.GetKind().(type) {
	case *peerv1.ReplicateRequest_Open:
		return kind.Open.GetRequestId(), k.open(owner, kind.Open)
	case *peerv1.ReplicateRequest_Append:
		return kind.Append.GetRequestId(), k.append(owner, kind.Append)
	case *peerv1.ReplicateRequest_Close:
		return kind.Close.GetRequestId(), k.close(owner, kind.Close)
	}
	return "", refusedEventID
}

// open keeps a record. A newer copy replaces one of a broken connection, but
// never a record that was taken.
func (k *Keeper) open(owner *session, record *peerv1.RequestRecord) int64 {
	k.expire()
	id := record.GetRequestId()
	old := k.records[id]
	if old != nil && (old.record == nil || lastEvent(record) < old.last) {
		return refusedEventID
	}
	if old != nil {
		k.remove(id)
	}
	size := int64(proto.Size(record))
	if id == "" || len(k.records) >= k.limits.MaxRecords || k.bytes+size > k.limits.MaxBytes {
		return refusedEventID
	}
	kept := &keptRecord{record: record, owner: owner, last: lastEvent(record), size: size}
	k.touch(kept)
	k.records[id] = kept
	k.bytes += size
	return kept.last
}

func lastEvent(record *peerv1.RequestRecord) int64 {
	if n := len(record.GetEvents()); n > 0 {
		return record.GetEvents()[n-1].GetId()
	}
	return 0
}

// append adds the events that follow without a gap. It refuses the rest, and
// all events of a record that was taken or reopened on another stream.
func (k *Keeper) append(owner *session, a *peerv1.AppendEvents) int64 {
	kept := k.records[a.GetRequestId()]
	if kept == nil || kept.record == nil || kept.owner != owner {
		return refusedEventID
	}
	for _, event := range a.GetEvents() {
		if event.GetId() <= kept.last {
			continue
		}
		size := int64(proto.Size(event))
		if event.GetId() != kept.last+1 || k.bytes+size > k.limits.MaxBytes {
			return refusedEventID
		}
		kept.record.Events = append(kept.record.Events, event)
		kept.last = event.GetId()
		kept.size += size
		k.bytes += size
	}
	k.touch(kept)
	return kept.last
}

func (k *Keeper) close(owner *session, c *peerv1.CloseRequest) int64 {
	kept := k.records[c.GetRequestId()]
	if kept == nil || kept.record == nil || kept.owner != owner {
		return refusedEventID
	}
	if c.GetTakeOver() {
		k.touch(kept)
	} else {
		k.remove(c.GetRequestId())
	}
	return closedEventID
}

// Take gives the record to the one continuation of the request. lastEventID is
// the last event that the caller has, or -1 if no caller has asked yet. A
// record that lacks an event that the caller has is stale and is refused,
// since its continuation could differ from what the caller has seen.
func (k *Keeper) Take(requestID string, lastEventID int64) (*peerv1.RequestRecord, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	kept := k.records[requestID]
	switch {
	case kept == nil || !k.clock.Now().Before(kept.expires):
		return nil, result.New(result.StreamUnknown, result.Unknown, "no request with the ID %s is kept here", requestID)
	case kept.record == nil:
		return nil, result.New(result.StreamMoved, result.Unknown, "request %s is already being continued here", requestID)
	case lastEventID > kept.last:
		return nil, result.New(result.StreamGone, result.Unknown,
			"the copy of request %s ends at event %d", requestID, kept.last)
	}
	record := kept.record
	kept.record = nil
	k.bytes -= kept.size
	kept.size = 0
	return record, nil
}

// Stats returns the number of records, including taken ones that have not
// expired, and their bytes.
func (k *Keeper) Stats() (records int, bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	return len(k.records), k.bytes
}

func (k *Keeper) touch(kept *keptRecord) {
	end := k.clock.Now()
	if deadline := kept.record.GetDeadlineUnixMs(); deadline != 0 {
		end = time.UnixMilli(deadline)
	}
	kept.expires = end.Add(k.limits.Retention)
}

// expire drops old records. It scans all of them, so it does that at most once
// per sweepInterval.
func (k *Keeper) expire() {
	now := k.clock.Now()
	if now.Before(k.sweepAt) {
		return
	}
	k.sweepAt = now.Add(sweepInterval)
	for id, kept := range k.records {
		if !now.Before(kept.expires) {
			k.remove(id)
		}
	}
}

func (k *Keeper) remove(id string) {
	k.bytes -= k.records[id].size
	delete(k.records, id)
}
