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

// Bounds of joining and searching.
const (
	firstJoinDelay = 100 * time.Millisecond
	maxJoinDelay   = 5 * time.Second
	lostPerSearch  = 2
	seedsPerSearch = 1
)

// searchLoop joins through the seeds and then searches for members that share
// none with this daemon, as after a region was cut off.
func (g *Gossip) searchLoop(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstJoinDelay, maxJoinDelay
	for ctx.Err() == nil {
		delay := jitter(g.config.SearchInterval)
		if g.alone() {
			g.join(ctx, g.seeds())
		} else {
			delays.Reset()
		}
		if g.alone() && len(g.config.Seeds) > 0 {
			delay = min(delay, delays.NextBackOff())
		}
		if !g.sleep(ctx, delay) {
			return
		}
		g.search(ctx)
	}
}

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

// alone reports whether no other live member is known.
func (g *Gossip) alone() bool { return len(g.list.Targets()) == 0 }

// seeds returns the seeds that aren't the address of a live member, in random order.
func (g *Gossip) seeds() []string {
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
		if g.contact(ctx, seed) {
			g.config.Logger.Info("joined", "seed", seed)
			return
		}
	}
}

// search contacts a few members that were declared dead and a seed that isn't
// a known live member.
func (g *Gossip) search(ctx context.Context) {
	var addresses []string
	for _, m := range g.list.ReconnectTargets(lostPerSearch) {
		addresses = append(addresses, m.PeerAddress)
	}
	seeds := g.seeds()
	addresses = append(addresses, seeds[:min(seedsPerSearch, len(seeds))]...)
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { g.contact(ctx, address) })
	}
	group.Wait()
}

func (g *Gossip) contact(ctx context.Context, address string) bool {
	err := g.list.Join(ctx, g, address)
	if err == nil {
		return true
	}
	// The pool's other users may have calls on the connection, so it stays open.
	g.config.Pool.Redial(address)
	g.config.Logger.Debug("peer did not answer", "address", address, "error", err)
	return false
}

// BeginLeave announces that the daemon begins to leave: it drops out of
// address answers and of all choices of the overlay, but is still probed.
func (g *Gossip) BeginLeave(ctx context.Context) {
	g.list.SetLeaving()
	g.tell(ctx)
}

// Leave announces that the daemon has left and returns when its neighbours
// know it or ctx ends. Run must be stopped afterwards.
func (g *Gossip) Leave(ctx context.Context) {
	g.list.SetLeft()
	g.tell(ctx)
}

// tell sends the own record to all probe targets at once.
func (g *Gossip) tell(ctx context.Context) {
	var group sync.WaitGroup
	for _, target := range g.list.Targets() {
		group.Go(func() { g.tellOne(ctx, target) })
	}
	group.Wait()
}

func (g *Gossip) tellOne(ctx context.Context, target membership.Member) {
	reply, err := g.Exchange(ctx, target.PeerAddress, target.DaemonID, g.list.Request(target.DaemonID))
	if err == nil {
		g.list.Merge(reply)
	}
}
