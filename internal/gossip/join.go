package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Delays between attempts to join, and numbers of addresses per attempt to
// reconnect.
const (
	initialJoinDelay  = 100 * time.Millisecond
	maxJoinDelay      = 5 * time.Second
	deadPerReconnect  = 2
	seedsPerReconnect = 1
)

// joinLoop joins the fleet through the seeds and then tries at intervals to
// reconnect to partitions that have no live member in common with this daemon's,
// for example after a network partition of a region.
func (g *Gossip) joinLoop(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialJoinDelay, maxJoinDelay
	for ctx.Err() == nil {
		delay := jitter(g.config.ReconnectInterval)
		if g.isolated() {
			g.join(ctx, g.unreachedSeeds())
		} else {
			delays.Reset()
		}
		if g.isolated() && len(g.config.Seeds) > 0 {
			delay = min(delay, delays.NextBackOff())
		}
		if !g.sleep(ctx, delay) {
			return
		}
		g.reconnect(ctx)
	}
}

// sleep waits for d and reports whether ctx is still active.
func (g *Gossip) sleep(ctx context.Context, d time.Duration) bool {
	timer := g.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// isolated reports whether this daemon knows no other live member.
func (g *Gossip) isolated() bool { return len(g.list.Targets()) == 0 }

// unreachedSeeds returns the seeds that aren't the address of a live member, in
// random order.
func (g *Gossip) unreachedSeeds() []string {
	inUse := make(map[string]bool)
	for _, m := range g.list.Members() {
		if !m.State.Gone() {
			inUse[m.PeerAddress] = true
		}
	}
	seeds := slices.DeleteFunc(slices.Clone(g.config.Seeds), func(s string) bool { return inUse[s] })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// join tries seeds until one answers.
func (g *Gossip) join(ctx context.Context, seeds []string) {
	for _, seed := range seeds {
		if g.joinThrough(ctx, seed) {
			g.config.Logger.Info("joined the fleet", "seed", seed)
			return
		}
	}
}

// reconnect sends join requests to members that were declared dead and to a seed
// that isn't the address of a live member.
func (g *Gossip) reconnect(ctx context.Context) {
	var addresses []string
	for _, m := range g.list.ReconnectTargets(deadPerReconnect) {
		addresses = append(addresses, m.PeerAddress)
	}
	seeds := g.unreachedSeeds()
	addresses = append(addresses, seeds[:min(seedsPerReconnect, len(seeds))]...)
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { g.joinThrough(ctx, address) })
	}
	group.Wait()
}

// joinThrough sends a join request to an address and reports whether it was
// answered.
func (g *Gossip) joinThrough(ctx context.Context, address string) bool {
	err := g.list.Join(ctx, g, address)
	if err == nil {
		return true
	}
	// The connection stays open, because other users of the pool may have calls on it.
	g.config.Pool.Redial(address)
	g.config.Logger.Debug("join request failed", "address", address, "error", err)
	return false
}

// BeginLeave announces that the daemon has started to leave. Other members remove
// it from the answers to address lookups and from all selections of the overlay,
// but still probe it.
func (g *Gossip) BeginLeave(ctx context.Context) {
	g.list.SetLeaving()
	g.announce(ctx)
}

// Leave announces that the daemon has left and returns when each probe target
// has answered or failed. Stop Run afterwards.
func (g *Gossip) Leave(ctx context.Context) {
	g.list.SetLeft()
	g.announce(ctx)
}

// announce sends the daemon's own record to all probe targets concurrently.
func (g *Gossip) announce(ctx context.Context) {
	var group sync.WaitGroup
	for _, target := range g.list.Targets() {
		group.Go(func() { g.announceTo(ctx, target) })
	}
	group.Wait()
}

func (g *Gossip) announceTo(ctx context.Context, target membership.Member) {
	reply, err := g.Exchange(ctx, target.PeerAddress, target.DaemonID, g.list.Request(target.DaemonID))
	if err == nil {
		g.list.Merge(reply)
	}
}
