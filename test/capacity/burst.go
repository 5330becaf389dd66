package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/daemon"
)

// upstreamsPerDaemon is 12,000 upstreams over 420 daemons.
const upstreamsPerDaemon = 12_000.0 / 420

// measureBurst has one daemon send reclaim notices for the upstreams of a data
// centre and measures their delivery to all daemons. Only one of the 40 daemons
// that watch the cloud for notices sends them here: all 40 would take minutes
// of processor time, because the whole fleet runs on one machine.
func measureBurst(r *run, f *gossipFleet) error {
	n := float64(len(f.members))
	upstreams := n * upstreamsPerDaemon / float64(f.centres)
	notices := max(1, int(upstreams))
	before := make(map[*member]int64)
	for _, m := range f.members {
		before[m] = m.items.Load()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	bytes, cpu := f.bytes(), processTime()
	origin := f.members[0]
	group.Go(func() { broadcastNotices(ctx, origin, notices) })
	// The origin's own notices are not passed to its OnItem callback.
	elapsed, err := waitForAll(f.members, func(m *member) bool {
		return m == origin || m.items.Load()-before[m] >= int64(notices)
	})
	if err != nil {
		return errors.Wrapf(err, "%d notices", notices)
	}
	r.record("burst.notice_time", "daemons", "ms a notice, 64 at a time", n, milliseconds(elapsed)/float64(notices))
	r.record("burst.notice_bytes", "daemons", "bytes a notice sent and received by a daemon", n, float64(f.bytes()-bytes)/n/float64(notices))
	r.record("burst.notice_cpu", "daemons", "us a notice of a daemon", n, 1e6*(processTime()-cpu).Seconds()/n/float64(notices))
	r.record("burst.time", "daemons", "ms for a data centre of upstreams", n, milliseconds(elapsed))
	return nil
}

func broadcastNotices(ctx context.Context, origin *member, count int) {
	now := time.Now()
	var group errgroup.Group
	group.SetLimit(daemon.MaxConcurrentNotices)
	for i := range count {
		item := &peerv1.Item{Kind: &peerv1.Item_UpstreamNotice{UpstreamNotice: &peerv1.UpstreamNotice{
			Upstream: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), Cause: "reclaim notice",
			ObservedUnixMs: now.UnixMilli(), ExpiresUnixMs: now.Add(10 * time.Minute).UnixMilli(),
		}}}
		group.Go(func() error { return origin.Broadcast(ctx, item) })
	}
	_ = group.Wait() // gossip delivers the items of failed pushes, and the caller waits for them
}
