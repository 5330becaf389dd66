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
	// noticePoll is how long one call waits for reclaim notices.
	noticePoll   = 20 * time.Second
	cloudTimeout = 5 * time.Second
	// daemonNoticePrefix marks a notice that concerns an entry instance.
	daemonNoticePrefix = "daemon/"
)

// runNotices follows the reclaim notices of the cloud. Only the daemons that
// watch the store ask the cloud; the others learn from them.
func (d *Daemon) runNotices(ctx context.Context) error {
	after := uint64(0)
	for ctx.Err() == nil {
		if !d.gossip.Overlay().WatchesStore(d.id) {
			d.pause(ctx, d.settings.Platform.NoticeInterval)
			continue
		}
		notices, err := d.cloud.Notices(ctx, after, noticePoll)
		if err != nil {
			d.log.Debug("no reclaim notices read", "error", err.Error())
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

func (d *Daemon) pause(ctx context.Context, interval time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(interval):
	}
}

// onReclaim applies a reclaim notice to the upstreams and daemons of an
// instance.
func (d *Daemon) onReclaim(n cloud.Notice) {
	if !n.At.After(d.clock.Now()) {
		return
	}
	d.log.Info("reclaim notice", "instance", n.Instance, "data_centre", n.DataCentre, "at", n.At.Format(time.RFC3339Nano))
	notice := upstreams.Notice{Signal: health.SignalReclaim, Observed: d.clock.Now(), Deadline: n.At}
	d.leaveInstance(n.Instance, notice)
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

// leaveInstance marks the upstreams on an instance as leaving.
func (d *Daemon) leaveInstance(instance string, notice upstreams.Notice) {
	d.config.Current().Set.Each(object.KindUpstream, func(o *object.Object) {
		spec, ok := o.Spec.(*object.Upstream)
		if !ok || spec.Instance != instance {
			return
		}
		notice.Upstream, notice.Address = o.Metadata.Name, spec.Address
		d.directory.Leave(notice)
	})
}

// runInstanceList reads the cloud's list, which lags, as a second source of
// leaving upstreams.
func (d *Daemon) runInstanceList(ctx context.Context) error {
	return d.every(ctx, d.settings.Platform.NoticeInterval, func() {
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
				d.leaveInstance(i.Name, upstreams.Notice{Signal: health.SignalInstanceList, Observed: d.clock.Now()})
			}
		}
	})
}

// daemonNotice drains this daemon if a shared notice names it.
func (d *Daemon) daemonNotice(n upstreams.Notice) bool {
	name, ok := strings.CutPrefix(n.Upstream, daemonNoticePrefix)
	if !ok {
		return false
	}
	if name == d.settings.Daemon.Name && n.Deadline.After(d.clock.Now()) {
		d.Drain(n.Deadline.Sub(d.clock.Now()))
	}
	return true
}
