package daemon

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/ring"
)

// Capacities of the rings between duties, in items.
const (
	// noticeRingCapacity covers notices for all upstreams of one data centre of
	// the largest fleet, 600, in the subset of one daemon. Gossip repeats notices,
	// so the oldest may be dropped.
	noticeRingCapacity = 1024
	// takeoverRingCapacity is the maximum number of streams that one daemon hands
	// over at once. A request that is dropped here continues when its caller
	// resumes it.
	takeoverRingCapacity = 4096
)

// rings are the bounded queues between the duties of a daemon.
type rings struct {
	notices   *ring.Ring[*peerv1.Item]
	takeovers *ring.Ring[string] // record IDs
}

func newRings() rings {
	r := rings{
		notices:   ring.New[*peerv1.Item]("upstream-notices", noticeRingCapacity, ring.DropOldest),
		takeovers: ring.New[string]("takeovers", takeoverRingCapacity, ring.DropNewest),
	}
	exportRing(r.notices)
	exportRing(r.takeovers)
	return r
}

// exportRing exports the depth of a ring and the number of dropped items as
// metrics.
func exportRing[T any](r *ring.Ring[T]) {
	label := `{ring="` + r.Name() + `"}`
	metrics.GetOrCreateGauge("rudder_ring_depth"+label, func() float64 { return float64(r.Depth()) })
	metrics.GetOrCreateGauge("rudder_ring_dropped"+label, func() float64 { return float64(r.Dropped()) })
}

// MaxConcurrentNotices is the maximum number of notices that are broadcast
// concurrently. Items for the same daemon are sent in shared messages, so that the
// notices for a whole data centre take few round trips.
const MaxConcurrentNotices = 64

// runNoticeShare broadcasts the queued upstream notices to the other daemons.
func (d *Daemon) runNoticeShare(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(MaxConcurrentNotices)
	for {
		item, ok := d.rings.notices.Get(ctx)
		if !ok {
			_ = group.Wait()
			return ctx.Err()
		}
		group.Go(func() error {
			broadcaster{d.gossip, d.log}.Broadcast(ctx, item)
			return nil
		})
	}
}

// takeOverStream queues a request to be continued on this daemon. The receiver
// calls it, so it must not block.
func (d *Daemon) takeOverStream(recordID string) {
	d.rings.takeovers.Put(context.Background(), recordID)
}

// runTakeovers continues the requests that leaving daemons handed over to this one.
func (d *Daemon) runTakeovers(ctx context.Context) error {
	for {
		id, ok := d.rings.takeovers.Get(ctx)
		if !ok {
			return ctx.Err()
		}
		if err := d.proxy.TakeOver(id); err != nil {
			d.log.Warn("request not taken over", "request", id, "error", err.Error())
		}
	}
}
