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

// streamCopier copies the in-flight requests of a draining daemon to a peer in
// another data centre. If the connection to that peer is lost, it copies them to
// the next one.
type streamCopier struct {
	log      *slog.Logger
	daemonID string
	running  func() []copiedRequest // returns the unfinished requests of this daemon
	// orphans returns the records that this daemon holds for daemons that are
	// gone. It also makes this daemon refuse further records, so that daemons
	// that are still connected copy theirs to another peer.
	orphans func() []*peerv1.RequestRecord
	// connect connects to the next peer that accepts records.
	connect func(ctx context.Context) (recordPeer, error)

	mu       sync.Mutex
	peer     recordPeer               // nil: no peer is left to copy to
	requests map[string]copiedRequest // requests to copy, by record ID
}

// copiedRequest is the part of *proxy.Inflight that streamCopier uses.
type copiedRequest interface {
	RecordID() string
	Record(daemonID string, events []proxy.Event) *peerv1.RequestRecord
	After(lastID int64) proxy.Progress
	Copy(open func(events []proxy.Event) error, replicate proxy.ReplicateFunc) error
	Move(addresses []string)
}

// recordPeer is another daemon that holds copies of requests.
type recordPeer interface {
	Open(ctx context.Context, record *peerv1.RequestRecord) error
	Append(ctx context.Context, recordID string, events ...*peerv1.Event) error
	Close(ctx context.Context, recordID string, takeOver bool) error
	Stop()
	Done() <-chan struct{}
	// HTTPAddress is the address at which callers resume their requests.
	HTTPAddress() string
}

// peerReplicator implements recordPeer with a handover.Replicator.
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
			d.receiver.Leave()
			return d.receiver.Orphans()
		},
		connect: func(ctx context.Context) (recordPeer, error) { return d.nextRecordPeer(ctx, tried) },
	}
}

var errNoPeer = errors.New("no further daemon is available to copy streams to")

// nextRecordPeer opens a replication stream to the next peer in another data
// centre. It skips the daemons in tried and adds those that it tries.
func (d *Daemon) nextRecordPeer(ctx context.Context, tried map[string]bool) (recordPeer, error) {
	for _, m := range d.gossip.Overlay().PeersOutside(d.settings.Daemon.DataCentre, d.id, maxHandOverCandidates) {
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
			d.log.Warn("replication stream to peer not opened", "peer", m.Name, "error", err.Error())
			continue
		}
		return peerReplicator{replicator, m.HTTPAddress}, nil
	}
	return nil, errNoPeer
}

// start copies all running requests and the records held for daemons that are
// gone. It looks for running requests a second time, because a caller may resume
// one of the held records on this daemon in the meantime.
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
			c.log.Warn("record of a daemon that is gone not copied", "request", record.GetRequestId(), "error", err.Error())
		}
	}
	c.copyNew(ctx)
	c.log.Info("streams copied", "count", len(c.requests), "peer", peer.HTTPAddress())
	return nil
}

// copyNew starts the copies of running requests that have not been copied yet.
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
		}, c.replicate)
		if err != nil {
			c.log.Warn("request not copied", "request", id, "error", err.Error())
		}
	}
}

// replicate implements proxy.ReplicateFunc: it returns when the peer has
// acknowledged the events. If the connection to the peer is lost, it copies the
// request to the next peer; if none is left, it returns nil at once.
func (c *streamCopier) replicate(ctx context.Context, recordID string, events []proxy.Event) error {
	for {
		c.mu.Lock()
		peer, f := c.peer, c.requests[recordID]
		c.mu.Unlock()
		if peer == nil {
			return nil // no peer is left: the stream continues without a copy
		}
		converted := make([]*peerv1.Event, len(events))
		for i, e := range events {
			converted[i] = proxy.ProtoEvent(e)
		}
		err := peer.Append(ctx, recordID, converted...)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !c.replacePeer(ctx, peer) {
			return err // the peer refused the events, for example because the caller has resumed the request there
		}
		c.reopen(ctx, f)
	}
}

// replacePeer connects to the next peer if the connection to the given one is
// lost. It reports whether the current peer is now another one or none.
func (c *streamCopier) replacePeer(ctx context.Context, lost recordPeer) bool {
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
		c.log.Warn("streams continue without a copy", "error", err.Error())
		return true
	}
	c.peer = peer
	return true
}

// reopen copies a request with its events to the current peer. It is called while
// the request's emission is blocked in replicate, so that no event is missed.
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

// handOverRemaining lets the peer continue the requests that are still running and
// sends their readers the peer's address.
func (c *streamCopier) handOverRemaining(ctx context.Context) {
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

// stop ends the replication stream to the peer.
func (c *streamCopier) stop() {
	c.mu.Lock()
	peer := c.peer
	c.mu.Unlock()
	if peer != nil {
		peer.Stop()
	}
}
