package daemon

import (
	"context"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/orders"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// orderAdapter connects the proxy with the order executor.
type orderAdapter struct{ d *Daemon }

// Execute implements proxy.Orders.
func (a *orderAdapter) Execute(ctx context.Context, call proxy.AppCall) (proxy.AppReply, error) {
	request := &peerv1.ExecuteOrderRequest{
		Key: call.OrderKey, ClientAccount: call.Caller.Account, Service: call.Service, Method: call.Method,
		Path: call.Path, Body: call.Body, DeadlineUnixMs: call.Deadline.UnixMilli(), RequestId: call.RequestID,
	}
	for _, h := range call.Headers {
		request.Headers = append(request.Headers, &peerv1.Header{Name: h.Name, Value: h.Value})
	}
	reply, err := a.d.executor.Execute(ctx, request)
	if err != nil {
		e := result.From(err)
		e.CoversAllAttempts = true
		return proxy.AppReply{}, e
	}
	answer := proxy.AppReply{Replayed: reply.Replayed}
	answer.Status, answer.Body = reply.Response.Status, reply.Response.Body
	for _, h := range reply.Response.Headers {
		answer.Headers = append(answer.Headers, app.Header(h))
	}
	return answer, nil
}

// send implements orders.Send. written reports whether the order may have been
// sent, refused whether the upstream refused it without executing it.
func (a *orderAdapter) send(ctx context.Context, request *peerv1.ExecuteOrderRequest, markSent func() error) (
	response *order.Response, written bool, refused bool, err error,
) {
	call := proxy.AppCall{
		Caller: a.d.callerOf(request.GetClientAccount()), RequestID: request.GetRequestId(),
		Service: request.GetService(), Method: request.GetMethod(), Path: request.GetPath(),
		Body: request.GetBody(), OrderKey: request.GetKey(), Deadline: time.UnixMilli(request.GetDeadlineUnixMs()),
	}
	for _, h := range request.GetHeaders() {
		call.Headers = append(call.Headers, app.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	reply, outcome, err := a.d.proxy.SendOrder(ctx, call, markSent)
	if outcome != app.Answered || err != nil {
		return nil, outcome == app.Lost || outcome == app.Refused, outcome == app.Refused, err
	}
	response = &order.Response{Status: reply.Status, Body: reply.Body}
	for _, h := range reply.Headers {
		response.Headers = append(response.Headers, order.Header(h))
	}
	return response, true, false, nil
}

// callerOf returns the client account that another daemon authenticated. The
// result for an account that this daemon doesn't know yet has an empty
// specification.
func (d *Daemon) callerOf(account string) proxy.Caller {
	spec, metadata, ok := object.Lookup[*object.ClientAccount](d.config.Current().Set, object.KindClientAccount, account)
	if !ok {
		return proxy.Caller{Account: account, Spec: &object.ClientAccount{}}
	}
	return proxy.Caller{Account: account, Labels: metadata.Labels, Spec: spec}
}

// memberDirectory looks up daemons by ID in the member list.
type memberDirectory struct{ d *Daemon }

// Daemon implements orders.Directory.
func (m memberDirectory) Daemon(id string) (orders.Daemon, bool) {
	for _, member := range m.d.gossip.Members() {
		if member.DaemonID == id {
			return orders.Daemon{
				Address: member.PeerAddress, State: protoState(member.State), Successor: member.Successor,
			}, true
		}
	}
	return orders.Daemon{}, false
}

// protoState returns the protocol value of a member state.
func protoState(s membership.State) peerv1.MemberState {
	switch s {
	case membership.Alive:
		return peerv1.MemberState_MEMBER_STATE_ALIVE
	case membership.Suspect:
		return peerv1.MemberState_MEMBER_STATE_SUSPECT
	case membership.Leaving:
		return peerv1.MemberState_MEMBER_STATE_LEAVING
	case membership.Dead:
		return peerv1.MemberState_MEMBER_STATE_DEAD
	case membership.Left:
		return peerv1.MemberState_MEMBER_STATE_LEFT
	}
	return peerv1.MemberState_MEMBER_STATE_UNSPECIFIED
}

// reportDeadPeers tells the order executor which daemons are dead.
func (d *Daemon) reportDeadPeers(members []membership.Member) {
	for _, m := range members {
		if m.State == membership.Dead {
			d.executor.PeerDied(m.DaemonID)
		}
	}
}

// handOverOrders freezes the order ledger and sends it to a daemon in another data
// centre. It tries the candidates in order until one has taken the ledger, and
// reports whether one has.
func (d *Daemon) handOverOrders(ctx context.Context) bool {
	d.ledger.Freeze()
	for _, m := range d.gossip.Overlay().PeersOutside(d.settings.Daemon.DataCentre, d.id, maxHandOverCandidates) {
		attempt, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := d.executor.HandOver(attempt, m.DaemonID, m.PeerAddress)
		cancel()
		if err == nil {
			d.gossip.SetSelf(func(self *membership.Member) { self.Successor = m.DaemonID })
			return true
		}
		d.log.Warn("orders not handed over", "successor", m.Name, "error", err.Error())
	}
	return false
}

// Limits of the hand-over during a drain.
const (
	// maxHandOverCandidates is the number of daemons that are tried.
	maxHandOverCandidates = 3
	// handOverTimeout bounds the transfer of the ledger to one daemon.
	handOverTimeout = 2 * time.Second
	// orderPollInterval is the interval at which unsettled orders are checked.
	orderPollInterval = 20 * time.Millisecond
)

// waitOrders waits until no order is running and all outcomes have been handed
// over to the successor.
func (d *Daemon) waitOrders(ctx context.Context) error {
	for d.ledger.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return result.Wrap(ctx.Err(), result.OrderOutcomeUnknown, result.Unknown, "orders are unsettled at the end of the drain")
		case <-d.clock.After(orderPollInterval):
		}
		_ = d.executor.FlushLate(ctx)
	}
	return nil
}
