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

const (
	// capacityInterval is the interval of the capacity duty.
	capacityInterval = 500 * time.Millisecond
	// configRetryInterval is the wait before the configuration is loaded again
	// after a failure.
	configRetryInterval = time.Second
	// noticeLifetime is the time after which a shared upstream notice expires.
	noticeLifetime = 10 * time.Minute
)

// runEvery calls f once in each interval until ctx ends.
func (d *Daemon) runEvery(ctx context.Context, interval time.Duration, f func()) error {
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

// runCapacity sets the admission capacity to the sum of the upstreams' limits and
// updates whether this daemon is overloaded.
func (d *Daemon) runCapacity(ctx context.Context) error {
	return d.runEvery(ctx, capacityInterval, func() {
		d.directory.Refresh()
		d.admission.SetCapacity(d.directory.Capacity())
		d.admission.Sweep()
		d.updateOverload()
	})
}

// Fill levels of the admission queue, from 0 to 1. Above the high watermark, the
// daemon is left out of the addresses that callers get; at or below the low one
// it is included again. The gap between them prevents a change with every
// request.
const (
	overloadHighWatermark = 0.8
	overloadLowWatermark  = 0.2
)

// updateOverload tells the other daemons whether this one is overloaded, so that
// they send it fewer callers.
func (d *Daemon) updateOverload() {
	fill := float64(d.admission.Stats().Waiting) / float64(d.settings.Limits.QueueLength)
	overloaded := d.gossip.Self().Overloaded
	if next := fill > overloadHighWatermark || overloaded && fill > overloadLowWatermark; next != overloaded {
		d.log.Info("overload changed", "overloaded", next, "waiting", d.admission.Stats().Waiting)
		d.gossip.SetSelf(func(m *membership.Member) { m.Overloaded = next })
	}
}

// runPeerConnections closes idle connections to other daemons.
func (d *Daemon) runPeerConnections(ctx context.Context) error {
	return d.runEvery(ctx, peerIdleTimeout/2, d.pool.CloseIdle)
}

// runConfigLoad loads the configuration at the start of the daemon: from the store
// or, while the store is unavailable, from a peer. It retries until one of them
// has answered; then the daemon starts serving.
func (d *Daemon) runConfigLoad(ctx context.Context) error {
	d.fire("configured")
	for d.config.Current().Revision == 0 {
		err := d.config.LoadStore(ctx)
		if err == nil {
			break
		}
		d.log.Warn("configuration not loaded from the store", "error", err.Error())
		if client, err := d.newestConfigPeer(ctx); err == nil {
			_ = d.config.FetchFrom(ctx, client)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(configRetryInterval):
		}
	}
	d.fire("joined")
	<-ctx.Done()
	return ctx.Err()
}

// shareNotice queues the notice that an upstream is leaving for the other daemons.
// Notices that came from another daemon are not sent again.
func (d *Daemon) shareNotice(n upstreams.Notice) {
	if n.Shared {
		return
	}
	d.log.Info("upstream is leaving", "upstream", n.Upstream, "signal", string(n.Signal))
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

// onUpstreamNotice applies a notice that another daemon shared.
func (d *Daemon) onUpstreamNotice(n *peerv1.UpstreamNotice) {
	notice := upstreams.Notice{
		Upstream: n.GetUpstream(), Address: n.GetAddress(), Signal: health.Signal(n.GetCause()),
		Observed: time.UnixMilli(n.GetObservedUnixMs()), Shared: true,
	}
	if ms := n.GetDeadlineUnixMs(); ms > 0 {
		notice.Deadline = time.UnixMilli(ms)
	}
	if !d.applyDaemonNotice(notice) {
		d.directory.Leave(notice)
	}
}

// runAuditTrim deletes the records beyond the retention from the audit trail. Only the one daemon that the overlay selects does it.
func (d *Daemon) runAuditTrim(ctx context.Context) error {
	trim := audit.Trimmer{
		Trail: d.trail, Clock: d.clock, Logger: d.log,
		HoldsDuty: func() bool { return d.gossip.Overlay().Candidate("audit-trim", 1) },
	}
	return trim.Run(ctx)
}
