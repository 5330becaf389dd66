package store

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
)

// Down says how the store is out of service.
type Down string

// Values of Down.
const (
	// DownNone is normal service.
	DownNone Down = ""
	// DownRefuse closes all connections and refuses new ones.
	DownRefuse Down = "refuse"
	// DownHang accepts connections and calls and never answers.
	DownHang Down = "hang"
)

// Faults are the faults that apply to every call.
type Faults struct {
	Down Down `json:"down"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int `json:"delay_ms"`
	// LoseReplies is the share, 0 to 1, of writes whose response is lost
	// after the write took effect.
	LoseReplies float64 `json:"lose_replies"`
	// LoseByReset ends such a call with an error instead of leaving it
	// without a response.
	LoseByReset bool `json:"lose_by_reset"`
}

// callKind returns the kind by which a call is counted, and whether it is limited
// as a write.
func callKind(method string, request any) (kind string, write bool) {
	name := method[strings.LastIndex(method, "/")+1:]
	switch r := request.(type) {
	case *etcdpb.RangeRequest:
		return "range", false
	case *etcdpb.TxnRequest:
		return "txn", hasWrites(r)
	}
	switch name {
	case "Put":
		return "put", true
	case "DeleteRange":
		return "delete", true
	case "LeaseGrant":
		return "grant", true
	case "LeaseRevoke":
		return "revoke", true
	}
	return strings.ToLower(name), false
}

// hasWrites reports whether a transaction contains an operation other than a read.
func hasWrites(r *etcdpb.TxnRequest) bool {
	for _, op := range append(append([]*etcdpb.RequestOp{}, r.Success...), r.Failure...) {
		if op.GetRequestRange() == nil {
			return true
		}
	}
	return false
}

// interceptUnary applies the faults and limits to a unary call.
func (s *Server) interceptUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	kind, write := callKind(info.FullMethod, request)
	if err := s.admit(ctx, kind, write); err != nil {
		return nil, err
	}
	response, err := handler(ctx, request)
	if err == nil && write {
		err = s.loseReply(ctx)
	}
	return response, err
}

// admit counts a call, applies the faults that act before the call takes
// effect, and enforces the limits.
func (s *Server) admit(ctx context.Context, kind string, write bool) error {
	faults := s.Faults()
	s.count(ctx, kind)
	if faults.Down == DownHang {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.count(ctx, "limited")
		return status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
	}
	if faults.DelayMillis > 0 {
		// The delay does not end with ctx: a slow store does not notice that the
		// client gave up. Ending it at the deadline could let a response reach the
		// client before its own deadline passes.
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	return nil
}

// loseReply drops the response to a write with the probability that the faults
// state. It returns the error with which the call then ends.
func (s *Server) loseReply(ctx context.Context) error {
	faults := s.Faults()
	if faults.LoseReplies <= 0 || rand.Float64() >= faults.LoseReplies {
		return nil
	}
	s.count(ctx, "lost_reply")
	if faults.LoseByReset {
		return status.Error(codes.Unavailable, "etcdserver: request timed out")
	}
	<-ctx.Done()
	return status.FromContextError(ctx.Err()).Err()
}

func (s *Server) count(ctx context.Context, kind string) {
	client := "unknown"
	if p, ok := peer.FromContext(ctx); ok {
		client = p.Addr.String()
	}
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	s.calls[kind]++
	byKind := s.clients[client]
	if byKind == nil {
		byKind = make(map[string]uint64)
		s.clients[client] = byKind
	}
	byKind[kind]++
}

// Stats are the call counts since the start.
type Stats struct {
	// Calls counts by kind: range, put, delete, txn, grant, revoke, keepalive,
	// watch, watch_wait (one for each second that a watch is open), limited, lost_reply.
	Calls map[string]uint64 `json:"calls"`
	// Clients counts by client address (ip:port) and kind.
	Clients  map[string]map[string]uint64 `json:"clients"`
	Watches  int                          `json:"watches"` // open now
	Leases   int                          `json:"leases"`
	Keys     int                          `json:"keys"`
	Revision int64                        `json:"revision"`
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	result := Stats{
		Leases: len(s.data.leases), Keys: len(s.data.keys), Revision: s.data.revision,
	}
	s.mu.Unlock()
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	result.Watches = s.watches
	result.Calls = copyCounts(s.calls)
	result.Clients = make(map[string]map[string]uint64, len(s.clients))
	for client, byKind := range s.clients {
		result.Clients[client] = copyCounts(byKind)
	}
	return result
}

func copyCounts(counts map[string]uint64) map[string]uint64 {
	result := make(map[string]uint64, len(counts))
	for kind, n := range counts {
		result[kind] = n
	}
	return result
}
