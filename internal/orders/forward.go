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
	// maxSuccessors bounds a chain of daemons that left one after the other
	// within the lifetime of a token.
	maxSuccessors = 16
	// A connection that cannot be made is tried again while the executor may
	// be about to be declared dead, which takes seconds.
	forwardAttempts = 4
	forwardPause    = 100 * time.Millisecond
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
		response, delivered, err := e.deliver(ctx, target.Address, request)
		switch {
		case err == nil:
			return replyFromProto(response)
		case delivered:
			return e.askSuccessor(ctx, executor, target, request, err)
		case attempt == forwardAttempts || !pause(ctx, forwardPause):
			// An earlier attempt of the caller may have reached the executor,
			// so that this daemon cannot say "not run".
			return Reply{}, result.Wrap(err, result.PeerUnreachable, result.Unknown,
				"the executor could not be reached")
		}
	}
}

// askSuccessor asks the daemon that took over the ledger about an order whose
// executor gave no reply, as when it stops while replies are on the way. The
// successor has the order's outcome or decides about it.
func (e *Executor) askSuccessor(ctx context.Context, executor string, silent Daemon, request *peerv1.ExecuteOrderRequest, cause error) (Reply, error) {
	target, err := e.resolve(executor)
	if err == nil && target.Address != silent.Address && ctx.Err() == nil {
		if response, _, err := e.deliver(ctx, target.Address, request); err == nil {
			return replyFromProto(response)
		}
	}
	return Reply{}, unknownOutcome(cause, "no reply arrived from the executor")
}

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

// deliver makes one call. gRPC fills in the peer's address when it has made a
// stream for the call; without one, no byte of the request was sent.
func (e *Executor) deliver(ctx context.Context, address string, request *peerv1.ExecuteOrderRequest) (
	response *peerv1.ExecuteOrderResponse, delivered bool, err error) {
	client, err := e.Peers.Client(address)
	if err != nil {
		return nil, false, err
	}
	var to grpcpeer.Peer
	response, err = client.ExecuteOrder(ctx, request, grpc.Peer(&to))
	return response, to.Addr != nil, err
}

// pause waits for d; it reports false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

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
