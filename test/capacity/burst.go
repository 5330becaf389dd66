package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// upstreamsPerDaemon is 12,000 upstreams over 420 daemons.
const upstreamsPerDaemon = 12_000.0 / 420

// measureBurst measures the notices of a whole data centre of upstreams. As
// in internal/daemon, each daemon that follows the cloud learns of all of them
// and pushes them one after the other.
func measureBurst(r *run, f *gossipFleet) error {
	n := float64(len(f.members))
	lost := int(n * upstreamsPerDaemon / float64(f.centres))
	before := make(map[*member]int64)
	for _, m := range f.members {
		before[m] = m.items.Load()
	}
	origins := f.origins()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bytes, cpu := f.bytes(), processTime()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	start := time.Now()
	for origin := range origins {
		group.Go(func() { pushNotices(ctx, origin, lost) })
	}
	// An origin's own notices are not reported to it.
	elapsed, err := until(f.members, func(m *member) bool {
		return origins[m] || m.items.Load()-before[m] >= int64(lost)
	})
	if err != nil {
		return errors.Wrapf(err, "%d notices", lost)
	}
	seconds := time.Since(start).Seconds()
	r.at("burst.notices", "daemons", "upstreams of a data centre that leave at once", n, float64(lost))
	r.at("burst.notice_time", "daemons", "ms until all have all notices", n, milliseconds(elapsed))
	r.at("burst.notice_bytes", "daemons", "bytes sent and received by a daemon until then", n, float64(f.bytes()-bytes)/n)
	r.at("burst.notice_cpu", "daemons", "% of a core of a daemon until then", n, 100*(processTime()-cpu).Seconds()/seconds/n)
	return nil
}

// origins returns two daemons of each data centre, as many as follow the cloud.
func (f *gossipFleet) origins() map[*member]bool {
	chosen := make(map[*member]bool)
	for _, m := range f.members[:min(len(f.members), membership.RelaysPerDataCentre*f.centres)] {
		chosen[m] = true
	}
	return chosen
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
