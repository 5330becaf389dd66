package daemon

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/ring"
)

// Capacities of the rings that join duties.
const (
	// noticeRingItems covers the upstreams of one data centre of the largest
	// fleet, 600, on one daemon's subset. Notices are repeated by gossip, so
	// the oldest may be dropped.
	noticeRingItems = 1024
	// takeoverRingItems is the largest number of streams that one daemon gives
	// away at once. A record that is dropped here waits for its caller.
	takeoverRingItems = 4096
)

// rings are the bounded queues between the duties of a daemon.
type rings struct {
	notices   *ring.Ring[*peerv1.Item]
	takeovers *ring.Ring[string] // record IDs
}

func newRings() rings {
	r := rings{
		notices:   ring.New[*peerv1.Item]("upstream-notices", noticeRingItems, ring.DropOldest),
		takeovers: ring.New[string]("takeovers", takeoverRingItems, ring.DropNewest),
	}
	exportRing(r.notices)
	exportRing(r.takeovers)
	return r
}

// exportRing publishes the depth of a ring and the items that it dropped.
func exportRing[T any](r *ring.Ring[T]) {
	label := `{ring="` + r.Name() + `"}`
	metrics.GetOrCreateGauge("rudder_ring_depth"+label, func() float64 { return float64(r.Depth()) })
	metrics.GetOrCreateGauge("rudder_ring_dropped"+label, func() float64 { return float64(r.Dropped()) })
}

// ConcurrentNotices is the number of notices that are pushed at once. Pushes to
// the same daemon share messages, so that a data centre's worth of notices takes
// few round trips.
const ConcurrentNotices = 64

// runNoticeShare pushes upstream notices to the other daemons.
func (d *Daemon) runNoticeShare(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(ConcurrentNotices)
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

// takeOverStream is called by the keeper and must not block.
func (d *Daemon) takeOverStream(recordID string) {
	d.rings.takeovers.Put(context.Background(), recordID)
}

// runTakeovers finishes the requests that leaving daemons gave away.
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
