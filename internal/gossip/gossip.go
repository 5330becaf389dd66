// Package gossip runs the membership of a daemon over the Peer protocol and
// spreads items that every daemon must receive within seconds.
package gossip

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Time-outs and intervals.
const (
	defaultProbeTimeout    = 400 * time.Millisecond
	defaultIndirectTimeout = 600 * time.Millisecond
	defaultPushTimeout     = 400 * time.Millisecond
	defaultSearchInterval  = 10 * time.Second
	broadcastTimeout       = 2 * time.Second
	probeConcurrency       = 64
)

// Config holds the parameters of Gossip. Zero durations take the defaults.
type Config struct {
	Self       membership.Member
	Membership membership.Config // its Hooks are set by New
	Seeds      []string          // peer ip:port addresses to join through
	Pool       *peer.Pool
	Clock      clockwork.Clock
	Logger     *slog.Logger

	ProbeTimeout    time.Duration // of a direct probe
	IndirectTimeout time.Duration // of an indirect probe, longer than ProbeTimeout
	PushTimeout     time.Duration // of one Deliver call
	// SearchInterval is the mean time between two searches for members that
	// share none with this daemon.
	SearchInterval time.Duration
}

// Gossip is the membership duty. Its Probe and Deliver methods serve the other
// daemons and may be called before Run.
type Gossip struct {
	config Config
	list   *membership.List
	items  *items
	outbox *outbox
	dirty  chan struct{}
	urgent chan struct{}

	mu        sync.RWMutex
	onItem    []func(*peerv1.Item)
	onMembers []func([]membership.Member)
	onLag     []func(string, int64)
	onGivenUp []func(membership.Member)
}

var _ peer.GossipHandler = (*Gossip)(nil)

// New returns a Gossip that knows only itself.
func New(config Config) *Gossip {
	for field, value := range map[*time.Duration]time.Duration{
		&config.ProbeTimeout:    defaultProbeTimeout,
		&config.IndirectTimeout: defaultIndirectTimeout,
		&config.PushTimeout:     defaultPushTimeout,
		&config.SearchInterval:  defaultSearchInterval,
	} {
		if *field <= 0 {
			*field = value
		}
	}
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	g := &Gossip{
		config: config,
		items:  newItems(),
		dirty:  make(chan struct{}, 1),
		urgent: make(chan struct{}, 1),
	}
	config.Membership.Hooks = membership.Hooks{Changed: g.markDirty, DeclaredDead: g.givenUp, Conflict: g.conflict}
	g.list = membership.NewList(config.Membership, config.Self, config.Clock)
	g.outbox = newOutbox(g.deliver)
	return g
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *Gossip) markDirty() { notify(g.dirty) }

// OnItem registers a callback for items from other daemons. Each identity is
// reported once. Callbacks run on the receiving goroutine and must not block.
func (g *Gossip) OnItem(f func(*peerv1.Item)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onItem = append(g.onItem, f)
}

// OnMembers registers a callback for changes of the member list. Changes that
// follow each other closely are reported together.
func (g *Gossip) OnMembers(f func([]membership.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onMembers = append(g.onMembers, f)
}

// OnLag registers a callback with the peer address and the configuration
// revision of a member whose revision is higher than the own one.
func (g *Gossip) OnLag(f func(peerAddress string, revision int64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onLag = append(g.onLag, f)
}

// OnGivenUp registers a callback for the event that this daemon learned that
// others declared it dead. The argument is its record with the new incarnation.
func (g *Gossip) OnGivenUp(f func(membership.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onGivenUp = append(g.onGivenUp, f)
}

func (g *Gossip) givenUp(m membership.Member) {
	g.config.Logger.Warn("declared dead by other members", "daemon", m.DaemonID, "incarnation", m.Incarnation)
	g.mu.RLock()
	callbacks := g.onGivenUp
	g.mu.RUnlock()
	for _, f := range callbacks {
		f(m)
	}
}

func (g *Gossip) conflict(m membership.Member) {
	g.config.Logger.Warn("another process claims the own name and address",
		"daemon", m.DaemonID, "name", m.Name, "address", m.PeerAddress, "incarnation", m.Incarnation)
}

// SetSelf changes the configuration revision, overload flag or successor in
// the daemon's own record. Other changes are ignored.
func (g *Gossip) SetSelf(change func(*membership.Member)) {
	before := g.list.Self().Incarnation
	g.list.SetSelf(change)
	if g.list.Self().Incarnation != before {
		notify(g.urgent)
	}
}

// Self returns the daemon's own record.
func (g *Gossip) Self() membership.Member { return g.list.Self() }

// Members returns all known members, including self and the gone ones that are
// still kept.
func (g *Gossip) Members() []membership.Member { return g.list.Members() }

// Overlay returns the choices that follow from the present members.
func (g *Gossip) Overlay() *membership.Overlay { return g.list.Overlay() }

// Run joins the fleet and probes until ctx ends. It returns nil then.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context){g.probeLoop, g.searchLoop, g.reportLoop} {
		group.Go(func() error { duty(ctx); return nil })
	}
	for range pushWorkers {
		group.Go(func() error { g.outbox.work(ctx); return nil })
	}
	return group.Wait()
}

// reportLoop calls OnMembers and closes connections to members that are gone.
func (g *Gossip) reportLoop(ctx context.Context) {
	gone := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.dirty:
		}
		members := g.list.Members()
		gone = g.closeGone(members, gone)
		g.mu.RLock()
		callbacks := g.onMembers
		g.mu.RUnlock()
		for _, f := range callbacks {
			f(members)
		}
	}
}

// closeGone logs members that left the list of live members and returns the
// daemon IDs of all gone ones.
func (g *Gossip) closeGone(members []membership.Member, before map[string]bool) map[string]bool {
	inUse := make(map[string]bool, len(members))
	for _, m := range members {
		if !m.State.Gone() {
			inUse[m.PeerAddress] = true
		}
	}
	gone := make(map[string]bool)
	for _, m := range members {
		if !m.State.Gone() {
			continue
		}
		gone[m.DaemonID] = true
		if before[m.DaemonID] {
			continue
		}
		g.config.Logger.Info("member is gone", "daemon", m.DaemonID, "name", m.Name, "state", m.State.String())
		if !inUse[m.PeerAddress] {
			g.config.Pool.CloseConn(m.PeerAddress)
		}
	}
	return gone
}
