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

// serverErrorPrefix is the prefix of messages of errors that the store itself
// returned. It is needed because gRPC uses some of the same codes for local errors.
const serverErrorPrefix = "etcdserver: "

// sentFlagKey is the context key of the flag of trackSent.
type sentFlagKey struct{}

// trackSent returns a context and a flag. The flag is set when a call with this
// context has been written to a connection.
func trackSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentFlagKey{}, sent), sent
}

// sentTracker is a stats.Handler that sets the flags of trackSent. A call that
// fails because there is no connection never reaches the OutHeader event. gRPC
// retries a call transparently only if the store has not processed it, so the flag
// is cleared at the start of such an attempt.
type sentTracker struct{}

// TagRPC implements stats.Handler.
func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentTracker) HandleRPC(ctx context.Context, event stats.RPCStats) {
	sent, ok := ctx.Value(sentFlagKey{}).(*atomic.Bool)
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

// translate maps a gRPC error to an error of package store. sent tells whether the
// call was written to a connection.
func translate(err error, call string, write bool, sent *atomic.Bool) error {
	if err == nil {
		return nil
	}
	st := status.Convert(err)
	switch {
	case st.Code() == codes.NotFound && strings.Contains(st.Message(), "lease"):
		return errors.Wrapf(store.ErrLeaseExpired, "store %s", call)
	case rejected(st):
		if st.Code() == codes.ResourceExhausted {
			return errors.Wrapf(store.ErrUnavailable, "store %s: %s", call, st.Message())
		}
		return errors.Wrapf(err, "store %s", call)
	case write && sent.Load():
		return errors.Wrapf(store.ErrOutcomeUnknown, "store %s: %s: %s", call, st.Code(), st.Message())
	}
	return errors.Wrapf(store.ErrUnavailable, "store %s: %s: %s", call, st.Code(), st.Message())
}

// rejected reports whether the error is the store's answer that it did not apply
// the call.
func rejected(st *status.Status) bool {
	switch st.Code() {
	case codes.InvalidArgument, codes.NotFound, codes.FailedPrecondition, codes.OutOfRange,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return true
	case codes.ResourceExhausted:
		return strings.HasPrefix(st.Message(), serverErrorPrefix)
	}
	return false
}
