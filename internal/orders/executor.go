// Package orders binds the order ledger to upstream calls and to the other
// daemons.
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

// Send executes one order on an upstream. It calls markSent once, just before
// it writes the first byte, and writes nothing if markSent fails. written
// tells whether a byte may have been written, refused whether the upstream
// answered with a documented refusal. An error that carries result.Ran means
// that the order was executed but its response is incomplete. Send must return
// when ctx ends; ctx does not end when the caller goes away.
type Send func(ctx context.Context, request *peerv1.ExecuteOrderRequest, markSent func() error) (
	response *order.Response, written bool, refused bool, err error)

// Daemon is what the directory knows about a daemon incarnation.
type Daemon struct {
	Address   string // ip:port of the Peer service
	State     peerv1.MemberState
	Successor string // daemon ID that took its ledger, if any
}

// Directory finds daemon incarnations.
type Directory interface {
	Daemon(id string) (Daemon, bool)
}

// Peers gives connections to daemons; *peer.Pool implements it.
type Peers interface {
	Client(address string) (peerv1.PeerClient, error)
}

// Options of an Executor.
type Options struct {
	Self      string // daemon ID
	Signer    *order.Signer
	Ledger    *order.Ledger
	Directory Directory
	Peers     Peers
	Send      Send
	Log       *slog.Logger
}

// Executor executes the orders of this daemon's keys and forwards the others.
type Executor struct {
	Options
	late lateSender
}

var _ peer.OrderHandler = (*Executor)(nil)

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{Options: o}
}

// Reply is the outcome of an order that has a response.
type Reply struct {
	order.Outcome
	// Replayed: the order was executed by an earlier attempt of the caller.
	Replayed bool
}

// Execute runs an order of a caller, or finds out what became of it. The error
// is a *result.Error whose execution state holds for the key, not only for
// this attempt: it is result.NotRun only if the ledger in charge says so.
func (e *Executor) Execute(ctx context.Context, request *peerv1.ExecuteOrderRequest) (Reply, error) {
	reply, err := e.execute(ctx, request, e.forward)
	if err != nil {
		return Reply{}, err
	}
	return reply, reply.Err()
}

// ExecuteOrder implements peer.OrderHandler. Results are carried in the
// response, so that a gRPC error always means that the transport failed.
func (e *Executor) ExecuteOrder(ctx context.Context, request *peerv1.ExecuteOrderRequest) (*peerv1.ExecuteOrderResponse, error) {
	reply, err := e.execute(ctx, request, e.refuseForeign)
	if err != nil {
		failure := result.From(err)
		reply.Outcome = order.Outcome{Execution: failure.Execution, Code: failure.Code, Detail: failure.Detail}
	}
	return responseToProto(reply.Outcome, reply.Replayed), nil
}

// route finds the daemon that decides about a key that this ledger does not own.
type route func(ctx context.Context, executor string, request *peerv1.ExecuteOrderRequest) (Reply, error)

func (e *Executor) refuseForeign(_ context.Context, executor string, _ *peerv1.ExecuteOrderRequest) (Reply, error) {
	return Reply{}, unknownOutcome(nil, "this daemon has not taken over the orders of %s", executor)
}

func (e *Executor) execute(ctx context.Context, request *peerv1.ExecuteOrderRequest, foreign route) (Reply, error) {
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
		return e.afterFreeze(ctx, request, Reply{Outcome: e.run(ctx, ticket, request, key)})
	case order.Wait:
		reply, err := e.wait(ctx, ticket, request)
		if err != nil {
			return Reply{}, err
		}
		return e.afterFreeze(ctx, request, reply)
	case order.Replay:
		return Reply{Outcome: ticket.Outcome, Replayed: true}, nil
	case order.Forward:
		return e.forward(ctx, ticket.Successor, request)
	}
	return foreign(ctx, key.DaemonID, request)
}

// afterFreeze asks the successor about an order that the freeze stopped here.
func (e *Executor) afterFreeze(ctx context.Context, request *peerv1.ExecuteOrderRequest, reply Reply) (Reply, error) {
	successor := e.Ledger.Successor()
	if reply.Code != result.OrderFrozen || successor == "" {
		return reply, nil
	}
	return e.forward(ctx, successor, request)
}

func (e *Executor) wait(ctx context.Context, ticket order.Ticket, request *peerv1.ExecuteOrderRequest) (Reply, error) {
	if deadline := deadlineOf(request); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	outcome, err := e.Ledger.Wait(ctx, ticket)
	return Reply{Outcome: outcome, Replayed: true}, err
}

// run executes an order and records its outcome, also if Send panics.
func (e *Executor) run(ctx context.Context, ticket order.Ticket, request *peerv1.ExecuteOrderRequest, key order.Key) (outcome order.Outcome) {
	outcome = order.Outcome{
		Execution: result.Unknown, Code: result.OrderOutcomeUnknown, Detail: "the execution was interrupted",
	}
	defer func() {
		final, err := e.Ledger.Finish(ticket, outcome)
		if err != nil {
			e.Log.Error("order finished against the rules", "request_id", request.GetRequestId(), "error", err)
		}
		outcome = final
		e.flushAfterFreeze(ctx)
	}()
	deadline := deadlineOf(request)
	limit := key.Expires
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	// A sent order goes on without its caller: the outcome is kept for a retry.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
	defer cancel()
	marked := false
	response, written, refused, err := e.Send(sendCtx, request, func() error {
		err := e.Ledger.MarkSent(ticket, deadline)
		marked = marked || err == nil
		return err
	})
	if (written || response != nil) && !marked {
		e.Log.Error("order was written without a mark", "request_id", request.GetRequestId())
	}
	outcome = classify(response, written, refused, err)
	return outcome
}

// classify applies the rule that only an order that was not written, or was
// refused by a documented refusal, is not run.
func classify(response *order.Response, written, refused bool, err error) order.Outcome {
	switch {
	case refused:
		return failed(err, result.NotRun, result.UpstreamRefused, "the upstream refused the order")
	case !written && response == nil:
		return failed(err, result.NotRun, result.UpstreamUnreachable, "the order was not sent")
	case err == nil && response != nil:
		return order.Outcome{Execution: result.Ran, Code: result.OK, Response: response}
	}
	var known *result.Error
	if errors.As(err, &known) && known.Execution == result.Ran {
		return failed(err, result.Ran, result.UpstreamIncomplete, "the response is incomplete")
	}
	outcome := failed(err, result.Unknown, result.OrderOutcomeUnknown, "no valid response arrived")
	outcome.Code = result.OrderOutcomeUnknown
	return outcome
}

// failed builds an outcome with the code of err, if it has one.
func failed(err error, x result.Execution, code result.Code, detail string) order.Outcome {
	var known *result.Error
	switch {
	case errors.As(err, &known):
		code, detail = known.Code, known.Detail
	case err != nil:
		detail += ": " + err.Error()
	}
	return order.Outcome{Execution: x, Code: code, Detail: detail}
}

func deadlineOf(request *peerv1.ExecuteOrderRequest) time.Time {
	if request.GetDeadlineUnixMs() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(request.GetDeadlineUnixMs())
}

func unknownOutcome(cause error, format string, args ...any) error {
	if cause == nil {
		return result.New(result.OrderOutcomeUnknown, result.Unknown, format, args...)
	}
	return result.Wrap(cause, result.OrderOutcomeUnknown, result.Unknown, format, args...)
}
