package daemon

import (
	"context"
	"crypto/sha256"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// orderAdapter runs orders through the ledger of this daemon.
type orderAdapter struct{ d *Daemon }

// Execute implements proxy.Orders.
func (a *orderAdapter) Execute(ctx context.Context, call proxy.AppCall) (proxy.AppReply, error) {
	key, err := a.d.signer.ParseKey(call.OrderKey)
	if err != nil {
		return proxy.AppReply{}, err
	}
	hash := sha256.Sum256(append([]byte(call.Service+" "+call.Method+" "+call.Path+"\n"), call.Body...))
	ticket, err := a.d.ledger.Begin(key, call.Caller.Account, hash)
	if err != nil {
		return proxy.AppReply{}, err
	}
	switch ticket.Decision {
	case order.Start:
		outcome := a.run(ctx, call, ticket)
		return replyOf(outcome, false)
	case order.Wait:
		outcome, err := a.d.ledger.Wait(ctx, ticket)
		if err != nil {
			return proxy.AppReply{}, err
		}
		return replyOf(outcome, true)
	case order.Replay:
		return replyOf(ticket.Outcome, true)
	}
	return proxy.AppReply{}, result.New(result.OrderOutcomeUnknown, result.Unknown, "the order belongs to another daemon")
}

func (a *orderAdapter) run(ctx context.Context, call proxy.AppCall, ticket order.Ticket) order.Outcome {
	reply, outcome, err := a.d.proxy.SendOrder(ctx, call, func() error { return a.d.ledger.MarkSent(ticket, call.Deadline) })
	settled := order.Outcome{Execution: result.Ran, Code: result.OK, Response: &order.Response{Status: reply.Status, Body: reply.Body}}
	if err != nil {
		e := result.From(err)
		settled = order.Outcome{Execution: result.NotRun, Code: e.Code, Detail: e.Detail}
		if outcome == app.Lost {
			settled = order.Outcome{Execution: result.Unknown, Code: result.OrderOutcomeUnknown, Detail: err.Error()}
		}
	} else {
		for _, h := range reply.Headers {
			settled.Response.Headers = append(settled.Response.Headers, order.Header(h))
		}
	}
	final, err := a.d.ledger.Finish(ticket, settled)
	if err != nil {
		return settled
	}
	return final
}

func replyOf(o order.Outcome, replayed bool) (proxy.AppReply, error) {
	if err := o.Err(); err != nil {
		return proxy.AppReply{}, err
	}
	reply := proxy.AppReply{Replayed: replayed}
	reply.Status, reply.Body = o.Response.Status, o.Response.Body
	for _, h := range o.Response.Headers {
		reply.Headers = append(reply.Headers, app.Header(h))
	}
	return reply, nil
}
