package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
)

// upstreamsPerDaemon is 12,000 upstreams over 420 daemons.
const upstreamsPerDaemon = 12_000.0 / 420

// burstShare is the part of a data centre whose notices are pushed. All 600
// notices from all 40 origins would take minutes of processor time, because
// all daemons of the fleet share one machine here.
const burstShare = 0.1

// measureBurst measures the notices of many upstreams. As in internal/daemon,
// a daemon that follows the cloud pushes them one after the other.
func measureBurst(r *run, f *gossipFleet) error {
	n := float64(len(f.members))
	lost := n * upstreamsPerDaemon / float64(f.centres)
	pushed := max(1, int(lost*burstShare))
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
	group.Go(func() { pushNotices(ctx, origin, pushed) })
	// An origin's own notices are not reported to it.
	elapsed, err := until(f.members, func(m *member) bool {
		return m == origin || m.items.Load()-before[m] >= int64(pushed)
	})
	if err != nil {
		return errors.Wrapf(err, "%d notices", pushed)
	}
	r.at("burst.notice_time", "daemons", "ms a notice, one after the other", n, milliseconds(elapsed)/float64(pushed))
	r.at("burst.notice_bytes", "daemons", "bytes a notice sent and received by a daemon", n, float64(f.bytes()-bytes)/n/float64(pushed))
	r.at("burst.notice_cpu", "daemons", "us a notice of a daemon", n, 1e6*(processTime()-cpu).Seconds()/n/float64(pushed))
	r.at("burst.time", "daemons", "ms for a data centre of upstreams, extrapolated", n, milliseconds(elapsed)/float64(pushed)*lost)
	return nil
}

func pushNotices(ctx context.Context, origin *member, count int) {
	now := time.Now()
	for i := range count {
		item := &peerv1.Item{Kind: &peerv1.Item_UpstreamNotice{UpstreamNotice: &peerv1.UpstreamNotice{
			Upstream: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), Cause: "reclaim notice",
			ObservedUnixMs: now.UnixMilli(), ExpiresUnixMs: now.Add(10 * time.Minute).UnixMilli(),
		}}}
		if ctx.Err() != nil || origin.Broadcast(ctx, item) != nil && ctx.Err() != nil {
			return
		}
	}
}
