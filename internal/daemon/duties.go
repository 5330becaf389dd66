package daemon

import (
	"context"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Intervals of small duties.
const (
	capacityInterval  = 500 * time.Millisecond
	loadRetryInterval = time.Second
	noticeLifetime    = 10 * time.Minute
)

// every calls f in each interval until ctx ends.
func (d *Daemon) every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := d.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			f()
		}
	}
}

// runCapacity follows the limits of the upstreams with the admission capacity.
func (d *Daemon) runCapacity(ctx context.Context) error {
	return d.every(ctx, capacityInterval, func() {
		d.directory.Refresh()
		d.admission.SetCapacity(d.directory.Capacity())
		d.admission.Sweep()
		d.noteOverload()
	})
}

// Shares of the admission queue at which a daemon leaves the address answers
// and returns to them. The gap keeps it from changing with every request.
const (
	overloadedAbove = 0.8
	relievedBelow   = 0.2
)

// noteOverload tells the other daemons when this one should get fewer callers.
func (d *Daemon) noteOverload() {
	filled := float64(d.admission.Stats().Waiting) / float64(d.settings.Limits.QueueLength)
	overloaded := d.gossip.Self().Overloaded
	if next := filled > overloadedAbove || overloaded && filled > relievedBelow; next != overloaded {
		d.log.Info("overload changed", "overloaded", next, "waiting", d.admission.Stats().Waiting)
		d.gossip.SetSelf(func(m *membership.Member) { m.Overloaded = next })
	}
}

func (d *Daemon) runPeerConnections(ctx context.Context) error {
	return d.every(ctx, peerIdleTimeout/2, d.pool.CloseIdle)
}

// runConfigLoad reads the configuration at start, from the store or, while the
// store is down, from a peer. It ends when either has answered.
func (d *Daemon) runConfigLoad(ctx context.Context) error {
	d.fire("configured")
	for d.config.Current().Revision == 0 {
		err := d.config.LoadStore(ctx)
		if err == nil {
			break
		}
		d.log.Warn("configuration not loaded from the store", "error", err.Error())
		if client, err := d.peerAhead(ctx); err == nil {
			_ = d.config.FetchFrom(ctx, client)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(loadRetryInterval):
		}
	}
	d.fire("joined")
	<-ctx.Done()
	return ctx.Err()
}

// shareNotice tells the other daemons that an upstream leaves.
func (d *Daemon) shareNotice(n upstreams.Notice) {
	if n.Shared {
		return
	}
	d.log.Info("upstream leaves", "upstream", n.Upstream, "signal", string(n.Signal))
	notice := &peerv1.UpstreamNotice{
		Upstream: n.Upstream, Address: n.Address, Cause: string(n.Signal),
		ObservedUnixMs: n.Observed.UnixMilli(), ExpiresUnixMs: n.Observed.Add(noticeLifetime).UnixMilli(),
	}
	if !n.Deadline.IsZero() {
		notice.DeadlineUnixMs = n.Deadline.UnixMilli()
	}
	item := &peerv1.Item{Kind: &peerv1.Item_UpstreamNotice{UpstreamNotice: notice}}
	d.rings.notices.Put(context.Background(), item)
}

func (d *Daemon) onUpstreamNotice(n *peerv1.UpstreamNotice) {
	notice := upstreams.Notice{
		Upstream: n.GetUpstream(), Address: n.GetAddress(), Signal: health.Signal(n.GetCause()),
		Observed: time.UnixMilli(n.GetObservedUnixMs()), Shared: true,
	}
	if ms := n.GetDeadlineUnixMs(); ms > 0 {
		notice.Deadline = time.UnixMilli(ms)
	}
	if !d.daemonNotice(notice) {
		d.directory.Leave(notice)
	}
}

// runAuditTrim keeps the audit trail within its retention. One daemon of the
// fleet does it.
func (d *Daemon) runAuditTrim(ctx context.Context) error {
	trim := audit.Trim{
		Trail: d.trail, Clock: d.clock, Logger: d.log,
		Holds: func() bool { return d.gossip.Overlay().Candidate("audit-trim", 1) },
	}
	return trim.Run(ctx)
}
