package orders

import (
	"context"
	"time"

	"google.golang.org/grpc"
	grpcpeer "google.golang.org/grpc/peer"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// maxSuccessors is the maximum length of a chain of successors, each of which left
	// after the one before within the lifetime of a token.
	maxSuccessors = 16
	// maxForwardAttempts bounds the attempts to connect to the executor. A failed
	// executor is declared dead only after seconds, so the first failures to connect
	// say little.
	maxForwardAttempts = 4
	forwardRetryDelay  = 100 * time.Millisecond
)

// forward sends the order to its executor, or to the daemon that took over the
// executor's ledger.
func (e *Executor) forward(ctx context.Context, executor string, request *peerv1.ExecuteOrderRequest) (Reply, error) {
	target, err := e.resolve(executor)
	if err != nil {
		return Reply{}, err
	}
	if deadline := deadlineOf(request); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	for attempt := 1; ; attempt++ {
		response, maybeSent, err := e.call(ctx, target.Address, request)
		switch {
		case err == nil:
			return replyFromProto(response)
		case maybeSent:
			return e.askSuccessor(ctx, executor, target, request, err)
		case attempt == maxForwardAttempts || !sleep(ctx, forwardRetryDelay):
			// The state is not "not run", because an earlier attempt of the caller
			// may have reached the executor.
			return Reply{}, result.Wrap(err, result.PeerUnreachable, result.Unknown,
				"the executor could not be reached")
		}
	}
}

// askSuccessor sends an order to the daemon that took over the ledger, if there is
// one, after the executor gave no reply. This happens if the executor stops before
// its reply has arrived. The successor has the order's outcome or executes the
// order.
func (e *Executor) askSuccessor(ctx context.Context, executor string, unresponsive Daemon, request *peerv1.ExecuteOrderRequest, cause error) (Reply, error) {
	target, err := e.resolve(executor)
	if err == nil && target.Address != unresponsive.Address && ctx.Err() == nil {
		if response, _, err := e.call(ctx, target.Address, request); err == nil {
			return replyFromProto(response)
		}
	}
	return Reply{}, unknownOutcome(cause, "no reply arrived from the executor")
}

// resolve returns the daemon that owns the keys of an executor: the executor itself
// or the last in its chain of successors.
func (e *Executor) resolve(id string) (Daemon, error) {
	for range maxSuccessors {
		if id == e.Self {
			return Daemon{}, unknownOutcome(nil, "this daemon does not have the orders that were handed to it")
		}
		d, ok := e.Directory.Daemon(id)
		if !ok {
			return Daemon{}, unknownOutcome(nil, "the executor %s is not known", id)
		}
		if d.Successor != "" {
			id = d.Successor
			continue
		}
		if d.State == peerv1.MemberState_MEMBER_STATE_DEAD || d.State == peerv1.MemberState_MEMBER_STATE_LEFT {
			return Daemon{}, unknownOutcome(nil, "the executor %s is gone", id)
		}
		return d, nil
	}
	return Daemon{}, unknownOutcome(nil, "the executor was replaced too often")
}

// call calls ExecuteOrder once. maybeSent is false if no byte of the request was
// sent: gRPC sets the peer's address only when it creates a stream for the call.
func (e *Executor) call(ctx context.Context, address string, request *peerv1.ExecuteOrderRequest) (
	response *peerv1.ExecuteOrderResponse, maybeSent bool, err error) {
	client, err := e.Peers.Client(address)
	if err != nil {
		return nil, false, err
	}
	var to grpcpeer.Peer
	response, err = client.ExecuteOrder(ctx, request, grpc.Peer(&to))
	return response, to.Addr != nil, err
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// replyFromProto decodes a response and checks its execution state.
func replyFromProto(response *peerv1.ExecuteOrderResponse) (Reply, error) {
	outcome := outcomeFromProto(response)
	switch outcome.Execution {
	case result.Ran, result.NotRun, result.Unknown:
		return Reply{Outcome: outcome, Replayed: response.GetReplayed()}, nil
	}
	return Reply{}, unknownOutcome(nil, "the executor's reply has the execution state %q", outcome.Execution)
}

func outcomeFromProto(p *peerv1.ExecuteOrderResponse) order.Outcome {
	outcome := order.Outcome{
		Execution: result.Execution(p.GetExecution()),
		Code:      result.Code(p.GetCode()), Detail: p.GetDetail(),
	}
	if p.GetStatus() != 0 {
		outcome.Response = &order.Response{Status: int(p.GetStatus()), Body: p.GetBody()}
		for _, h := range p.GetHeaders() {
			outcome.Response.Headers = append(outcome.Response.Headers, order.Header{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	return outcome
}

func responseToProto(o order.Outcome, replayed bool) *peerv1.ExecuteOrderResponse {
	p := &peerv1.ExecuteOrderResponse{
		Code: int32(o.Code), Execution: string(o.Execution), Detail: o.Detail, Replayed: replayed,
	}
	if o.Response != nil {
		p.Status, p.Body = int32(o.Response.Status), o.Response.Body
		for _, h := range o.Response.Headers {
			p.Headers = append(p.Headers, &peerv1.Header{Name: h.Name, Value: h.Value})
		}
	}
	return p
}
