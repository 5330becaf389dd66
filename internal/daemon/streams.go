package daemon

import (
	"context"
	"log/slog"
	"sync"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/handover"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
)

// streamCopier copies the in-flight requests of a stopping daemon to a peer in
// another data centre. If that peer is lost, it goes on with the next one.
type streamCopier struct {
	log      *slog.Logger
	daemonID string
	running  func() []copiedRequest
	// orphans returns the records that are kept for daemons that are gone, and
	// refuses further ones. Daemons that still run copy theirs elsewhere then.
	orphans func() []*peerv1.RequestRecord
	// connect returns the next peer that takes records.
	connect func(ctx context.Context) (recordPeer, error)

	mu       sync.Mutex
	peer     recordPeer               // nil: none is left
	requests map[string]copiedRequest // by record ID
}

// copiedRequest is an in-flight request, a *proxy.Inflight.
type copiedRequest interface {
	RecordID() string
	Record(daemonID string, events []proxy.Event) *peerv1.RequestRecord
	After(lastID int64) proxy.Progress
	Copy(open func(events []proxy.Event) error, gate proxy.ReplicateFunc) error
	Move(addresses []string)
}

// recordPeer keeps records of requests at another daemon.
type recordPeer interface {
	Open(ctx context.Context, record *peerv1.RequestRecord) error
	Append(ctx context.Context, recordID string, events ...*peerv1.Event) error
	Close(ctx context.Context, recordID string, takeOver bool) error
	Stop()
	Done() <-chan struct{}
	// HTTPAddress is where callers go on with their requests.
	HTTPAddress() string
}

// peerReplicator is the recordPeer of another daemon.
type peerReplicator struct {
	*handover.Replicator
	httpAddress string
}

// HTTPAddress implements recordPeer.
func (r peerReplicator) HTTPAddress() string { return r.httpAddress }

func newStreamCopier(d *Daemon) *streamCopier {
	tried := make(map[string]bool) // daemon IDs
	return &streamCopier{
		log: d.log, daemonID: d.id, requests: make(map[string]copiedRequest),
		running: func() []copiedRequest {
			var running []copiedRequest
			for _, f := range d.proxy.Running() {
				running = append(running, f)
			}
			return running
		},
		orphans: func() []*peerv1.RequestRecord {
			d.keeper.Leave()
			return d.keeper.Orphans()
		},
		connect: func(ctx context.Context) (recordPeer, error) { return d.nextRecordPeer(ctx, tried) },
	}
}

var errNoPeer = errors.New("no daemon is left that could keep the streams")

// nextRecordPeer opens a stream to the next peer outside the data centre that
// was not tried before.
func (d *Daemon) nextRecordPeer(ctx context.Context, tried map[string]bool) (recordPeer, error) {
	for _, m := range d.gossip.Overlay().PeersOutside(d.settings.Daemon.DataCentre, d.id, handOverCandidates) {
		if tried[m.DaemonID] {
			continue
		}
		tried[m.DaemonID] = true
		client, err := d.pool.Client(m.PeerAddress)
		if err != nil {
			d.log.Warn("peer not reached", "peer", m.Name, "error", err.Error())
			continue
		}
		replicator, err := handover.NewReplicator(ctx, client)
		if err != nil {
			d.log.Warn("peer takes no streams", "peer", m.Name, "error", err.Error())
			continue
		}
		return peerReplicator{replicator, m.HTTPAddress}, nil
	}
	return nil, errNoPeer
}

// start copies all running requests. Requests that a caller takes over from the
// records kept here are copied too, also those taken while the others are copied.
func (c *streamCopier) start(ctx context.Context) error {
	peer, err := c.connect(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.peer = peer
	c.mu.Unlock()
	c.copyNew(ctx)
	for _, record := range c.orphans() {
		if err := peer.Open(ctx, record); err != nil {
			c.log.Warn("kept request not passed on", "request", record.GetRequestId(), "error", err.Error())
		}
	}
	c.copyNew(ctx)
	c.log.Info("streams copied", "count", len(c.requests), "peer", peer.HTTPAddress())
	return nil
}

// copyNew copies the running requests that have no copy yet.
func (c *streamCopier) copyNew(ctx context.Context) {
	for _, f := range c.running() {
		id := f.RecordID()
		c.mu.Lock()
		peer, known := c.peer, c.requests[id] != nil
		if !known {
			c.requests[id] = f
		}
		c.mu.Unlock()
		if known || peer == nil {
			continue
		}
		err := f.Copy(func(events []proxy.Event) error {
			return peer.Open(ctx, f.Record(c.daemonID, events))
		}, c.gate)
		if err != nil {
			c.log.Warn("request not copied", "request", id, "error", err.Error())
		}
	}
}

// gate lets events pass to the caller once the peer holds them.
func (c *streamCopier) gate(ctx context.Context, recordID string, events []proxy.Event) error {
	for {
		c.mu.Lock()
		peer, f := c.peer, c.requests[recordID]
		c.mu.Unlock()
		if peer == nil {
			return nil // no peer is left; the stream goes on without a copy
		}
		converted := make([]*peerv1.Event, len(events))
		for i, e := range events {
			converted[i] = proxy.ProtoEvent(e)
		}
		err := peer.Append(ctx, recordID, converted...)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !c.replace(ctx, peer) {
			return err // the peer refused this record: the caller has resumed there
		}
		c.reopen(ctx, f)
	}
}

// replace connects to the next peer if the given one is lost. It reports
// whether another peer, or none, is in use now.
func (c *streamCopier) replace(ctx context.Context, lost recordPeer) bool {
	select {
	case <-lost.Done():
	default:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer != lost {
		return true
	}
	c.peer = nil
	peer, err := c.connect(ctx)
	if err != nil {
		c.log.Warn("streams go on without a copy", "error", err.Error())
		return true
	}
	c.peer = peer
	return true
}

// reopen copies a request to a replacement peer. The caller of gate holds the
// request's emission, so that no event is missed.
func (c *streamCopier) reopen(ctx context.Context, f copiedRequest) {
	c.mu.Lock()
	peer := c.peer
	c.mu.Unlock()
	if peer == nil || f == nil {
		return
	}
	if err := peer.Open(ctx, f.Record(c.daemonID, f.After(0).Events)); err != nil {
		c.log.Warn("request not copied again", "request", f.RecordID(), "error", err.Error())
	}
}

// finish gives the requests that still run to the peer and tells their readers.
func (c *streamCopier) finish(ctx context.Context) {
	c.copyNew(ctx)
	c.mu.Lock()
	peer := c.peer
	c.mu.Unlock()
	if peer == nil {
		return
	}
	for _, f := range c.running() {
		if err := peer.Close(ctx, f.RecordID(), true); err != nil {
			c.log.Warn("request not handed over", "request", f.RecordID(), "error", err.Error())
			continue
		}
		f.Move([]string{peer.HTTPAddress()})
	}
}

func (c *streamCopier) stop() {
	c.mu.Lock()
	peer := c.peer
	c.mu.Unlock()
	if peer != nil {
		peer.Stop()
	}
}
