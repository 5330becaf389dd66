package etcdv3

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// serverErrorPrefix starts the messages of errors that the store itself
// returned. gRPC uses some of the same codes for local errors.
const serverErrorPrefix = "etcdserver: "

type sentKey struct{}

// trackSent returns a context whose call sets the flag as soon as it was
// written to a connection.
func trackSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// sentTracker is a stats.Handler that sets the flags of trackSent. A call that
// fails for want of a connection never reaches the OutHeader event. gRPC
// repeats a call by itself only if the store has not processed it, so such an
// attempt starts as not sent.
type sentTracker struct{}

// TagRPC implements stats.Handler.
func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentTracker) HandleRPC(ctx context.Context, event stats.RPCStats) {
	sent, ok := ctx.Value(sentKey{}).(*atomic.Bool)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		if e.IsTransparentRetryAttempt {
			sent.Store(false)
		}
	case *stats.OutHeader:
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentTracker) HandleConn(context.Context, stats.ConnStats) {}

// translate maps an error of the wire to an error of package store.
func translate(err error, call string, write bool, sent *atomic.Bool) error {
	if err == nil {
		return nil
	}
	st := status.Convert(err)
	switch {
	case st.Code() == codes.NotFound && strings.Contains(st.Message(), "lease"):
		return errors.Wrapf(store.ErrLeaseExpired, "store %s", call)
	case refused(st):
		if st.Code() == codes.ResourceExhausted {
			return errors.Wrapf(store.ErrUnavailable, "store %s: %s", call, st.Message())
		}
		return errors.Wrapf(err, "store %s", call)
	case write && sent.Load():
		return errors.Wrapf(store.ErrOutcomeUnknown, "store %s: %s: %s", call, st.Code(), st.Message())
	}
	return errors.Wrapf(store.ErrUnavailable, "store %s: %s: %s", call, st.Code(), st.Message())
}

// refused reports whether the store answered that it did not apply the call.
func refused(st *status.Status) bool {
	switch st.Code() {
	case codes.InvalidArgument, codes.NotFound, codes.FailedPrecondition, codes.OutOfRange,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return true
	case codes.ResourceExhausted:
		return strings.HasPrefix(st.Message(), serverErrorPrefix)
	}
	return false
}
