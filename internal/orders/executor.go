// Package orders executes orders, the non-idempotent requests of callers, under the
// rules of package order. It sends an order to an upstream if this daemon's ledger
// owns the key, otherwise forwards it to the daemon that owns it, and hands the
// ledger over to a successor when this daemon leaves.
package orders

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Send executes one order on an upstream. It calls markSent once, just before it
// writes the first byte, and writes nothing if markSent fails. written means that a
// byte may have been written, refused that the upstream answered with a documented
// refusal. An error with the execution state result.Ran means that the order was
// executed but its response is incomplete. Send must return when ctx ends. ctx does
// not end when the caller disconnects.
type Send func(ctx context.Context, request *peerv1.ExecuteOrderRequest, markSent func() error) (
	response *order.Response, written bool, refused bool, err error)

// Daemon describes a daemon incarnation.
type Daemon struct {
	Address   string // ip:port of the Peer service
	State     peerv1.MemberState
	Successor string // ID of the daemon that took over its ledger, if any
}

// Directory looks up daemon incarnations by ID.
type Directory interface {
	Daemon(id string) (Daemon, bool)
}

// Peers returns clients for addresses of daemons; *peer.Pool implements it.
type Peers interface {
	Client(address string) (peerv1.PeerClient, error)
}

// Options are the dependencies of an Executor.
type Options struct {
	Self      string // daemon ID
	Signer    *order.Signer
	Ledger    *order.Ledger
	Directory Directory
	Peers     Peers
	Send      Send
	Log       *slog.Logger
}

// Executor executes the orders whose keys this daemon's ledger owns and forwards the
// others.
type Executor struct {
	Options
	successor successorAddress
}

var _ peer.OrderHandler = (*Executor)(nil)

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{Options: o}
}

// Reply is the outcome of an order that has a response.
type Reply struct {
	order.Outcome
	// Replayed means that the outcome is that of another attempt with the same key.
	Replayed bool
}

// Execute executes an order of a caller, or returns the outcome of an earlier attempt
// with the same key. The error is a *result.Error. Its execution state applies to the
// key, not only to this attempt: it is result.NotRun only if the ledger that owns the
// key has recorded that.
func (e *Executor) Execute(ctx context.Context, request *peerv1.ExecuteOrderRequest) (Reply, error) {
	reply, err := e.execute(ctx, request, e.forward)
	if err != nil {
		return Reply{}, err
	}
	return reply, reply.Err()
}

// ExecuteOrder implements peer.OrderHandler. The response carries failures of the
// order too, so a gRPC error always means that the transport failed.
func (e *Executor) ExecuteOrder(ctx context.Context, request *peerv1.ExecuteOrderRequest) (*peerv1.ExecuteOrderResponse, error) {
	reply, err := e.execute(ctx, request, e.refuseForeignKey)
	if err != nil {
		failure := result.From(err)
		reply.Outcome = order.Outcome{Execution: failure.Execution, Code: failure.Code, Detail: failure.Detail}
	}
	return responseToProto(reply.Outcome, reply.Replayed), nil
}

// foreignKeyHandler handles an order whose key this daemon's ledger does not own.
// executor is the ID of the daemon incarnation that issued the token.
type foreignKeyHandler func(ctx context.Context, executor string, request *peerv1.ExecuteOrderRequest) (Reply, error)

// refuseForeignKey is the handler for forwarded orders: they are not forwarded again.
func (e *Executor) refuseForeignKey(_ context.Context, executor string, _ *peerv1.ExecuteOrderRequest) (Reply, error) {
	return Reply{}, unknownOutcome(nil, "this daemon has not taken over the orders of %s", executor)
}

func (e *Executor) execute(ctx context.Context, request *peerv1.ExecuteOrderRequest, handleForeignKey foreignKeyHandler) (Reply, error) {
	key, err := e.Signer.ParseKey(request.GetKey())
	if err != nil {
		return Reply{}, err
	}
	ticket, err := e.Ledger.Begin(key, request.GetClientAccount(), HashRequest(request))
	if err != nil {
		return Reply{}, err
	}
	switch ticket.Decision {
	case order.Start:
		return e.forwardIfFrozen(ctx, request, Reply{Outcome: e.run(ctx, ticket, request, key)})
	case order.Wait:
		reply, err := e.wait(ctx, ticket, request)
		if err != nil {
			return Reply{}, err
		}
		return e.forwardIfFrozen(ctx, request, reply)
	case order.Replay:
		return Reply{Outcome: ticket.Outcome, Replayed: true}, nil
	case order.Forward:
		return e.forward(ctx, ticket.Successor, request)
	}
	return handleForeignKey(ctx, key.DaemonID, request)
}

// forwardIfFrozen forwards an order to the successor if the freeze of the ledger
// stopped it here before it was sent.
func (e *Executor) forwardIfFrozen(ctx context.Context, request *peerv1.ExecuteOrderRequest, reply Reply) (Reply, error) {
	successor := e.Ledger.Successor()
	if reply.Code != result.OrderFrozen || successor == "" {
		return reply, nil
	}
	return e.forward(ctx, successor, request)
}

// wait returns the outcome of an attempt in progress with the same key.
func (e *Executor) wait(ctx context.Context, ticket order.Ticket, request *peerv1.ExecuteOrderRequest) (Reply, error) {
	if deadline := deadlineOf(request); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	outcome, err := e.Ledger.Wait(ctx, ticket)
	return Reply{Outcome: outcome, Replayed: true}, err
}

// run executes an order and records its outcome, even if Send panics.
func (e *Executor) run(ctx context.Context, ticket order.Ticket, request *peerv1.ExecuteOrderRequest, key order.Key) (outcome order.Outcome) {
	outcome = order.Outcome{
		Execution: result.Unknown, Code: result.OrderOutcomeUnknown, Detail: "the execution was interrupted",
	}
	defer func() {
		final, err := e.Ledger.Finish(ticket, outcome)
		if err != nil {
			e.Log.Error("order outcome not accepted by the ledger", "request_id", request.GetRequestId(), "error", err)
		}
		outcome = final
		e.flushLateOutcomes(ctx)
	}()
	deadline := deadlineOf(request)
	limit := key.Expires
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	// The order continues if its caller disconnects: the outcome is kept for a retry.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
	defer cancel()
	marked := false
	response, written, refused, err := e.Send(sendCtx, request, func() error {
		err := e.Ledger.MarkSent(ticket, deadline)
		marked = marked || err == nil
		return err
	})
	if (written || response != nil) && !marked {
		e.Log.Error("order written to the upstream without being marked as sent", "request_id", request.GetRequestId())
	}
	outcome = classify(response, written, refused, err)
	return outcome
}

// classify returns the outcome of a call of Send. An order counts as not run only if
// no byte of it was written or if the upstream answered with a documented refusal.
func classify(response *order.Response, written, refused bool, err error) order.Outcome {
	switch {
	case refused:
		return failedOutcome(err, result.NotRun, result.UpstreamRefused, "the upstream refused the order")
	case !written && response == nil:
		return failedOutcome(err, result.NotRun, result.UpstreamUnreachable, "the order was not sent")
	case err == nil && response != nil:
		return order.Outcome{Execution: result.Ran, Code: result.OK, Response: response}
	}
	var known *result.Error
	if errors.As(err, &known) && known.Execution == result.Ran {
		return failedOutcome(err, result.Ran, result.UpstreamIncomplete, "the response is incomplete")
	}
	outcome := failedOutcome(err, result.Unknown, result.OrderOutcomeUnknown, "no valid response arrived")
	outcome.Code = result.OrderOutcomeUnknown
	return outcome
}

// failedOutcome returns an outcome with the code and the detail of err if it is a
// *result.Error, otherwise with the given code and detail.
func failedOutcome(err error, x result.Execution, code result.Code, detail string) order.Outcome {
	var known *result.Error
	switch {
	case errors.As(err, &known):
		code, detail = known.Code, known.Detail
	case err != nil:
		detail += ": " + err.Error()
	}
	return order.Outcome{Execution: x, Code: code, Detail: detail}
}

// deadlineOf returns the deadline of a request, zero if there is none.
func deadlineOf(request *peerv1.ExecuteOrderRequest) time.Time {
	if request.GetDeadlineUnixMs() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(request.GetDeadlineUnixMs())
}

// unknownOutcome returns an error for an order whose execution state is unknown.
func unknownOutcome(cause error, format string, args ...any) error {
	if cause == nil {
		return result.New(result.OrderOutcomeUnknown, result.Unknown, format, args...)
	}
	return result.Wrap(cause, result.OrderOutcomeUnknown, result.Unknown, format, args...)
}
