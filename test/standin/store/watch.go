package store

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
)

type watchStream = grpc.BidiStreamingServer[etcdpb.WatchRequest, etcdpb.WatchResponse]

type watchService struct {
	etcdpb.UnimplementedWatchServer
	server *Server
}

// session is one Watch stream, which may carry several watches.
type session struct {
	server *Server
	stream watchStream
	sendMu sync.Mutex
	cancel map[int64]context.CancelFunc
	nextID int64
	wg     sync.WaitGroup
}

// Watch implements etcdpb.WatchServer.
func (w *watchService) Watch(stream watchStream) error {
	s := &session{server: w.server, stream: stream, cancel: make(map[int64]context.CancelFunc)}
	ctx, cancel := context.WithCancel(stream.Context())
	defer s.wg.Wait()
	defer cancel()
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // the client ended the stream
		}
		if create := request.GetCreateRequest(); create != nil {
			err = s.create(ctx, create)
		} else if cancelRequest := request.GetCancelRequest(); cancelRequest != nil {
			err = s.end(cancelRequest.WatchId)
		}
		if err != nil {
			return err
		}
	}
}

func (s *session) send(response *etcdpb.WatchResponse) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return s.stream.Send(response)
}

func (s *session) create(ctx context.Context, r *etcdpb.WatchCreateRequest) error {
	if err := s.server.admit(ctx, "watch", false); err != nil {
		return err
	}
	id := r.WatchId
	if id == 0 {
		s.nextID++
		id = s.nextID
	}
	s.server.mu.Lock()
	header, compacted := s.server.headerLocked(), s.server.data.compacted
	s.server.mu.Unlock()
	next := r.StartRevision
	if next == 0 {
		next = header.Revision + 1
	}
	if err := s.send(&etcdpb.WatchResponse{Header: header, WatchId: id, Created: true}); err != nil {
		return err
	}
	if next <= compacted {
		return s.send(&etcdpb.WatchResponse{
			Header: header, WatchId: id, Canceled: true, CompactRevision: compacted + 1,
			CancelReason: "etcdserver: mvcc: required revision has been compacted",
		})
	}
	watchCtx, cancel := context.WithCancel(ctx)
	s.cancel[id] = cancel
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.sendEvents(watchCtx, id, r, next)
	}()
	return nil
}

func (s *session) end(id int64) error {
	if cancel, ok := s.cancel[id]; ok {
		cancel()
		delete(s.cancel, id)
	}
	return s.send(&etcdpb.WatchResponse{WatchId: id, Canceled: true})
}

// sendEvents sends the matching events from revision next on until ctx ends.
func (s *session) sendEvents(ctx context.Context, id int64, r *etcdpb.WatchCreateRequest, next int64) {
	s.server.addWatches(1)
	defer s.server.addWatches(-1)
	wait := time.NewTicker(time.Second)
	defer wait.Stop()
	for {
		header, events, changed := s.server.pending(r, next)
		if header.Revision >= next && s.server.Faults().Down != DownHang {
			next = header.Revision + 1
			if len(events) > 0 && s.sendDelayed(ctx, id, header, events) != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-wait.C:
			s.server.chargeWait(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// sendDelayed sends events after the delay that the faults state.
func (s *session) sendDelayed(ctx context.Context, id int64, header *etcdpb.ResponseHeader, events []*etcdpb.Event) error {
	if delay := s.server.Faults().DelayMillis; delay > 0 {
		select {
		case <-time.After(time.Duration(delay) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.send(&etcdpb.WatchResponse{Header: header, WatchId: id, Events: events})
}

// addWatches changes the number of open watches.
func (s *Server) addWatches(change int) {
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	s.watches += change
}

// chargeWait counts a second of an open watch as one read.
func (s *Server) chargeWait(ctx context.Context) {
	s.count(ctx, "watch_wait")
	s.reads.Allow()
}

// pending returns the matching events from revision next on, and a channel
// that is closed at the next change.
func (s *Server) pending(r *etcdpb.WatchCreateRequest, next int64) (*etcdpb.ResponseHeader, []*etcdpb.Event, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []*etcdpb.Event
	for _, c := range s.data.since(next) {
		if !inRange(string(c.event.Kv.Key), r.Key, r.RangeEnd) {
			continue
		}
		event := &etcdpb.Event{Type: c.event.Type, Kv: c.event.Kv}
		if r.PrevKv {
			event.PrevKv = c.event.PrevKv
		}
		events = append(events, event)
	}
	return s.headerLocked(), events, s.changed
}
