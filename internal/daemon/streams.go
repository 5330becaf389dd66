package daemon

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/handover"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
)

// streamCopier copies the in-flight requests of a stopping daemon to a peer in
// another data centre. If that peer is lost, it goes on with the next one.
type streamCopier struct {
	d *Daemon

	mu          sync.Mutex
	replicator  *handover.Replicator
	httpAddress string
	tried       map[string]bool            // daemon IDs
	requests    map[string]*proxy.Inflight // by record ID
}

func newStreamCopier(d *Daemon) *streamCopier {
	return &streamCopier{d: d, tried: make(map[string]bool), requests: make(map[string]*proxy.Inflight)}
}

var errNoPeer = errors.New("no daemon is left that could keep the streams")

// start copies all running requests.
func (c *streamCopier) start(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.connectLocked(ctx); err != nil {
		return err
	}
	for _, f := range c.d.proxy.Running() {
		c.requests[proxy.RecordID(f.Account, f.ID)] = f
		replicator := c.replicator
		err := f.Copy(func(events []proxy.Event) error {
			return replicator.Open(ctx, f.Record(c.d.id, events))
		}, c.gate)
		if err != nil {
			c.d.log.Warn("request not copied", "request", f.ID, "error", err.Error())
		}
	}
	c.d.log.Info("streams copied", "count", len(c.requests), "peer", c.httpAddress)
	c.passOnLocked(ctx)
	return nil
}

// passOnLocked gives away the records that this daemon keeps for daemons that
// are gone. Daemons that still run copy theirs elsewhere when Leave ends their
// streams.
func (c *streamCopier) passOnLocked(ctx context.Context) {
	c.d.keeper.Leave()
	for _, record := range c.d.keeper.Orphans() {
		if err := c.replicator.Open(ctx, record); err != nil {
			c.d.log.Warn("kept request not passed on", "request", record.GetRequestId(), "error", err.Error())
		}
	}
}

// connectLocked opens a stream to the next peer outside the data centre.
func (c *streamCopier) connectLocked(ctx context.Context) error {
	overlay := c.d.gossip.Overlay()
	for _, m := range overlay.PeersOutside(c.d.settings.Daemon.DataCentre, c.d.id, handOverCandidates) {
		if c.tried[m.DaemonID] {
			continue
		}
		c.tried[m.DaemonID] = true
		client, err := c.d.pool.Client(m.PeerAddress)
		if err != nil {
			continue
		}
		replicator, err := handover.NewReplicator(ctx, client)
		if err != nil {
			c.d.log.Warn("peer takes no streams", "peer", m.Name, "error", err.Error())
			continue
		}
		c.replicator, c.httpAddress = replicator, m.HTTPAddress
		return nil
	}
	return errNoPeer
}

// gate lets events pass to the caller once the peer holds them.
func (c *streamCopier) gate(ctx context.Context, recordID string, events []proxy.Event) error {
	for {
		c.mu.Lock()
		replicator, f := c.replicator, c.requests[recordID]
		c.mu.Unlock()
		if replicator == nil {
			return nil // no peer is left; the stream goes on without a copy
		}
		converted := make([]*peerv1.Event, len(events))
		for i, e := range events {
			converted[i] = proxy.ProtoEvent(e)
		}
		err := replicator.Append(ctx, recordID, converted...)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !c.replace(ctx, replicator) {
			return err // the peer refused this record: the caller has resumed there
		}
		c.reopen(ctx, f)
	}
}

// replace connects to the next peer if the given one is lost. It reports
// whether another peer, or none, is in use now.
func (c *streamCopier) replace(ctx context.Context, lost *handover.Replicator) bool {
	select {
	case <-lost.Done():
	default:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replicator != lost {
		return true
	}
	c.replicator = nil
	if err := c.connectLocked(ctx); err != nil {
		c.d.log.Warn("streams go on without a copy", "error", err.Error())
	}
	return true
}

// reopen copies a request to a replacement peer. The caller of gate holds the
// request's emission, so that no event is missed.
func (c *streamCopier) reopen(ctx context.Context, f *proxy.Inflight) {
	c.mu.Lock()
	replicator := c.replicator
	c.mu.Unlock()
	if replicator == nil || f == nil {
		return
	}
	if err := replicator.Open(ctx, f.Record(c.d.id, f.After(0).Events)); err != nil {
		c.d.log.Warn("request not copied again", "request", f.ID, "error", err.Error())
	}
}

// finish gives the requests that still run to the peer and tells their readers.
func (c *streamCopier) finish(ctx context.Context) {
	c.mu.Lock()
	replicator, address := c.replicator, c.httpAddress
	c.mu.Unlock()
	if replicator == nil {
		return
	}
	for _, f := range c.d.proxy.Running() {
		if err := replicator.Close(ctx, proxy.RecordID(f.Account, f.ID), true); err != nil {
			c.d.log.Warn("request not handed over", "request", f.ID, "error", err.Error())
			continue
		}
		f.Move([]string{address})
	}
}

func (c *streamCopier) stop() {
	c.mu.Lock()
	replicator := c.replicator
	c.mu.Unlock()
	if replicator != nil {
		replicator.Stop()
	}
}
