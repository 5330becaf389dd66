package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

const (
	// noticePollTimeout is how long one call to the cloud waits for new reclaim
	// notices.
	noticePollTimeout = 20 * time.Second
	// cloudTimeout bounds the calls to the cloud.
	cloudTimeout = 5 * time.Second
	// daemonNoticePrefix starts the upstream name of a shared notice that
	// concerns a daemon; the name of the daemon's instance follows.
	daemonNoticePrefix = "daemon/"
)

// runReclaimNotices reads the reclaim notices of the cloud. Only the daemons that
// watch the store read them; they share the notices with the others.
func (d *Daemon) runReclaimNotices(ctx context.Context) error {
	after := uint64(0)
	for ctx.Err() == nil {
		if !d.gossip.Overlay().WatchesStore(d.id) {
			d.pause(ctx, d.settings.Platform.NoticeInterval)
			continue
		}
		notices, err := d.cloud.Notices(ctx, after, noticePollTimeout)
		if err != nil {
			d.log.Debug("reclaim notices not read", "error", err.Error())
			d.pause(ctx, d.settings.Platform.NoticeInterval)
			continue
		}
		for _, n := range notices {
			after = max(after, n.Sequence)
			d.onReclaim(n)
		}
	}
	return ctx.Err()
}

// pause waits for the interval or until ctx ends.
func (d *Daemon) pause(ctx context.Context, interval time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(interval):
	}
}

// onReclaim applies a reclaim notice to the upstreams and the daemon on an
// instance. Notices whose time has passed are ignored.
func (d *Daemon) onReclaim(n cloud.Notice) {
	if !n.At.After(d.clock.Now()) {
		return
	}
	d.log.Info("reclaim notice", "instance", n.Instance, "data_centre", n.DataCentre, "at", n.At.Format(time.RFC3339Nano))
	notice := upstreams.Notice{Signal: health.SignalReclaim, Observed: d.clock.Now(), Deadline: n.At}
	d.markInstanceLeaving(n.Instance, notice)
	notice.Upstream = daemonNoticePrefix + n.Instance
	if n.Instance == d.settings.Daemon.Name {
		d.Drain(n.At.Sub(d.clock.Now()))
		return
	}
	for _, m := range d.gossip.Members() {
		if m.Name == n.Instance && !m.State.Gone() {
			d.shareNotice(notice)
		}
	}
}

// markInstanceLeaving marks the upstreams on an instance as leaving.
func (d *Daemon) markInstanceLeaving(instance string, notice upstreams.Notice) {
	d.config.Current().Set.Each(object.KindUpstream, func(o *object.Object) {
		spec, ok := o.Spec.(*object.Upstream)
		if !ok || spec.Instance != instance {
			return
		}
		notice.Upstream, notice.Address = o.Metadata.Name, spec.Address
		d.directory.Leave(notice)
	})
}

// runInstanceList reads the cloud's list of instances to find leaving upstreams
// whose reclaim notice was missed. The list lags behind the notices.
func (d *Daemon) runInstanceList(ctx context.Context) error {
	return d.runEvery(ctx, d.settings.Platform.NoticeInterval, func() {
		if !d.gossip.Overlay().WatchesStore(d.id) {
			return
		}
		list, err := d.cloud.List(ctx)
		if err != nil {
			d.log.Debug("instance list not read", "error", err.Error())
			return
		}
		for _, i := range list {
			if i.State == cloud.StateLeaving || i.State == cloud.StateStopped {
				d.markInstanceLeaving(i.Name, upstreams.Notice{Signal: health.SignalInstanceList, Observed: d.clock.Now()})
			}
		}
	})
}

// applyDaemonNotice reports whether a shared notice concerns a daemon. If it
// concerns this one, it starts a drain.
func (d *Daemon) applyDaemonNotice(n upstreams.Notice) bool {
	name, ok := strings.CutPrefix(n.Upstream, daemonNoticePrefix)
	if !ok {
		return false
	}
	if name == d.settings.Daemon.Name && n.Deadline.After(d.clock.Now()) {
		d.Drain(n.Deadline.Sub(d.clock.Now()))
	}
	return true
}
