package daemon

import (
	"context"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// fire fires an event in the daemon's statechart and logs a change of state.
func (d *Daemon) fire(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.chart.State()
	if err := d.chart.Fire(event); err != nil {
		d.log.Warn("event not allowed in this state", "event", event, "state", before, "error", err.Error())
		return
	}
	if after := d.chart.State(); after != before {
		d.log.Info("daemon state changed", "from", before, "to", after, "event", event)
	}
}

// state returns the state of the daemon's statechart.
func (d *Daemon) state() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chart.State()
}

// Addresses implements server.Daemon.
func (d *Daemon) Addresses() []string {
	addresses := d.gossip.Overlay().CallerAddresses(d.settings.Daemon.DataCentre)
	return addresses[:min(len(addresses), maxAddresses)]
}

// maxAddresses is the maximum number of daemon addresses that a caller gets. A
// caller needs only a few alternatives; 420 addresses are 7.4 KB.
const maxAddresses = 16

// OrderToken implements server.Daemon. The token is empty unless the daemon is in
// state serving.
func (d *Daemon) OrderToken() (string, time.Time) {
	if d.state() != "serving" {
		return "", time.Time{}
	}
	expires := d.clock.Now().Add(d.settings.Orders.TokenTTL)
	token, err := d.signer.Issue(d.id, expires)
	if err != nil {
		d.log.Error("order token not issued", "error", err.Error())
		return "", time.Time{}
	}
	return token, expires
}

// Ready implements server.Daemon.
func (d *Daemon) Ready() error {
	switch {
	case d.state() != "serving":
		return result.New(result.Draining, result.NotRun, "the daemon is %s", d.state())
	case len(d.gossip.Members()) == 0:
		return result.New(result.PeerUnreachable, result.NotRun, "membership has not started")
	}
	return nil
}

// Status implements server.Daemon.
func (d *Daemon) Status() operatorapi.Status {
	status := d.config.Status()
	age := -1.0
	if !status.Store.LastContact.IsZero() {
		age = d.clock.Now().Sub(status.Store.LastContact).Seconds()
	}
	answer := operatorapi.Status{
		DaemonID: d.id, Name: d.settings.Daemon.Name, DataCentre: d.settings.Daemon.DataCentre, State: d.state(),
		Revision: status.Revision, StoreContactAgeSeconds: age, StoreFault: status.Store.Detail,
		Upstreams: d.directory.Status(), InFlight: d.proxy.Requests(),
	}
	for _, m := range d.gossip.Members() {
		answer.Members = append(answer.Members, memberStatus(m))
	}
	return answer
}

func memberStatus(m membership.Member) operatorapi.MemberStatus {
	return operatorapi.MemberStatus{
		ID: m.DaemonID, Name: m.Name, DataCentre: m.DataCentre, State: m.State.String(),
		Revision: m.ConfigRevision, HTTP: m.HTTPAddress,
	}
}

// DrainUpstream implements server.Daemon.
func (d *Daemon) DrainUpstream(name string, notice time.Duration) error {
	spec, _, ok := object.Lookup[*object.Upstream](d.config.Current().Set, object.KindUpstream, name)
	if !ok {
		return result.New(result.ObjectNotFound, result.NotRun, "upstream %q does not exist", name)
	}
	now := d.clock.Now()
	d.directory.Leave(upstreams.Notice{
		Upstream: name, Address: spec.Address, Signal: health.SignalDrain, Observed: now, Deadline: now.Add(notice),
	})
	return nil
}

// Drain implements server.Daemon: it starts a graceful stop that ends within the
// notice period. Further calls have no effect.
func (d *Daemon) Drain(notice time.Duration) {
	d.drainOnce.Do(func() {
		d.deadline = d.clock.Now().Add(notice)
		go d.drain()
	})
}

// drain stops the daemon gracefully: it refuses new requests, freezes and hands
// over the order ledger, and finishes the streams or hands them over.
func (d *Daemon) drain() {
	ctx, cancel := context.WithDeadline(context.Background(), d.deadline)
	defer cancel()
	defer close(d.drained)
	d.fire("drain")
	d.gossip.BeginLeave(ctx)
	d.proxy.BeginDrain()
	copier := newStreamCopier(d)
	defer copier.stop()
	if err := copier.start(ctx); err != nil {
		d.log.Warn("streams not copied", "error", err.Error())
	}
	if !d.handOverOrders(ctx) {
		d.log.Warn("no daemon took over the orders; they stay frozen")
	}
	d.fire("handed_over")
	if err := d.finishRequests(ctx, copier); err != nil {
		d.log.Warn("requests unfinished at the end of the drain", "streams", d.proxy.Requests(), "orders", d.ledger.Unsettled())
		d.fire("deadline")
		return
	}
	d.fire("drained")
}

// maxHandOverReserve bounds the time before the drain deadline that is kept for
// handing unfinished streams over to the peer. The reserve is at most a quarter
// of the remaining time.
const maxHandOverReserve = time.Second

// finishRequests waits for streams and orders. Streams that are still running
// shortly before the deadline are handed over to the peer.
func (d *Daemon) finishRequests(ctx context.Context, copier *streamCopier) error {
	reserve := min(maxHandOverReserve, d.deadline.Sub(d.clock.Now())/4)
	streams, cancel := context.WithDeadline(ctx, d.deadline.Add(-reserve))
	defer cancel()
	if err := d.proxy.WaitIdle(streams); err != nil {
		copier.handOverRemaining(ctx)
		if err := d.proxy.WaitIdle(ctx); err != nil {
			return err
		}
	}
	return d.waitOrders(ctx)
}
