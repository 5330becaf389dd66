package peer

import (
	"context"
	"log/slog"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
)

// GossipHandler handles membership probes and items delivered by gossip.
type GossipHandler interface {
	Probe(context.Context, *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	Deliver(context.Context, *peerv1.DeliverRequest) (*peerv1.DeliverResponse, error)
}

// ConfigHandler sends the configuration to peers with an older revision.
type ConfigHandler interface {
	Fetch(*peerv1.FetchRequest, grpc.ServerStreamingServer[peerv1.FetchResponse]) error
}

// OrderHandler executes orders and takes over the order ledgers of other daemons.
type OrderHandler interface {
	ExecuteOrder(context.Context, *peerv1.ExecuteOrderRequest) (*peerv1.ExecuteOrderResponse, error)
	TakeLedger(grpc.ClientStreamingServer[peerv1.TakeLedgerRequest, peerv1.TakeLedgerResponse]) error
}

// StreamHandler stores copies of the in-flight records of other daemons.
type StreamHandler interface {
	Replicate(grpc.BidiStreamingServer[peerv1.ReplicateRequest, peerv1.ReplicateResponse]) error
}

// EvidenceHandler receives the counters of open moves from other daemons, so that
// they can be added up.
type EvidenceHandler interface {
	ReportEvidence(context.Context, *peerv1.ReportEvidenceRequest) (*peerv1.ReportEvidenceResponse, error)
}

// Service implements the gRPC service Peer. Each method is implemented by one of
// the embedded handlers.
type Service struct {
	peerv1.UnsafePeerServer
	GossipHandler
	ConfigHandler
	OrderHandler
	StreamHandler
	EvidenceHandler
}

var _ peerv1.PeerServer = (*Service)(nil)

// ServerOptions returns the options of the gRPC server of a daemon.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(recoverUnary),
		grpc.ChainStreamInterceptor(recoverStream),
	}
}

// recoverUnary answers a call whose handler panics with an error. gRPC would end the
// process.
func recoverUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	defer recoverCall(info.FullMethod, &err)
	return handler(ctx, request)
}

// recoverStream is recoverUnary for streams.
func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer recoverCall(info.FullMethod, &err)
	return handler(server, stream)
}

func recoverCall(method string, err *error) {
	value := recover()
	if value == nil {
		return
	}
	metrics.GetOrCreateCounter(`rudder_panics_total{where="` + method + `"}`).Inc()
	slog.Default().Error("call panicked", "method", method, "panic", value, "stack", string(debug.Stack()))
	*err = status.Error(codes.Internal, "internal error")
}
