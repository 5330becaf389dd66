// Package gossip exchanges the messages of package membership over the Peer
// protocol and distributes items that every daemon must receive within seconds.
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

// Defaults of Config and limits of the calls.
const (
	defaultProbeTimeout      = 400 * time.Millisecond
	defaultIndirectTimeout   = 600 * time.Millisecond
	defaultPushTimeout       = 400 * time.Millisecond
	defaultReconnectInterval = 10 * time.Second
	broadcastTimeout         = 2 * time.Second
	maxConcurrentProbes      = 64
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
	PushTimeout     time.Duration // of a Deliver call
	// ReconnectInterval is the mean time between two attempts to reconnect to a
	// partition that has no live member in common with this daemon's.
	ReconnectInterval time.Duration
}

// Gossip runs the daemon's member list and distributes items. Its Probe and
// Deliver methods handle calls of other daemons and may be called before Run.
type Gossip struct {
	config         Config
	list           *membership.List
	items          *itemCache
	outbox         *outbox
	membersChanged chan struct{} // capacity 1; signalled when the member list changed
	selfChanged    chan struct{} // capacity 1; signalled when the own record must be sent at once

	mu             sync.RWMutex
	onItem         []func(*peerv1.Item)
	onMembers      []func([]membership.Member)
	onNewerConfig  []func(string, int64)
	onDeclaredDead []func(membership.Member)
}

var _ peer.GossipHandler = (*Gossip)(nil)

// New returns a Gossip whose member list holds only this daemon.
func New(config Config) *Gossip {
	for field, value := range map[*time.Duration]time.Duration{
		&config.ProbeTimeout:      defaultProbeTimeout,
		&config.IndirectTimeout:   defaultIndirectTimeout,
		&config.PushTimeout:       defaultPushTimeout,
		&config.ReconnectInterval: defaultReconnectInterval,
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
		config:         config,
		items:          newItemCache(),
		membersChanged: make(chan struct{}, 1),
		selfChanged:    make(chan struct{}, 1),
	}
	config.Membership.Hooks = membership.Hooks{Changed: g.notifyMembersChanged, DeclaredDead: g.declaredDead, Conflict: g.conflict}
	g.list = membership.NewList(config.Membership, config.Self, config.Clock)
	g.outbox = newOutbox(g.deliver)
	return g
}

// signal makes c readable without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *Gossip) notifyMembersChanged() { signal(g.membersChanged) }

// OnItem registers a callback for items from other daemons. Items with the same
// identity are reported once. Callbacks run on the receiving goroutine and must
// not block.
func (g *Gossip) OnItem(f func(*peerv1.Item)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onItem = append(g.onItem, f)
}

// OnMembers registers a callback that gets the member list after it changed.
// Changes in quick succession are reported together.
func (g *Gossip) OnMembers(f func([]membership.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onMembers = append(g.onMembers, f)
}

// OnNewerConfig registers a callback that gets the peer address and the
// configuration revision of a member whose revision is higher than this daemon's.
func (g *Gossip) OnNewerConfig(f func(peerAddress string, revision int64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onNewerConfig = append(g.onNewerConfig, f)
}

// OnDeclaredDead registers a callback that is called after this daemon learned
// that others declared it dead. The argument is its own record with the new
// incarnation.
func (g *Gossip) OnDeclaredDead(f func(membership.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onDeclaredDead = append(g.onDeclaredDead, f)
}

func (g *Gossip) declaredDead(m membership.Member) {
	g.config.Logger.Warn("other members declared this daemon dead; it raised its incarnation", "daemon", m.DaemonID, "incarnation", m.Incarnation)
	g.mu.RLock()
	callbacks := g.onDeclaredDead
	g.mu.RUnlock()
	for _, f := range callbacks {
		f(m)
	}
}

func (g *Gossip) conflict(m membership.Member) {
	g.config.Logger.Warn("another live process has this daemon's name and peer address",
		"daemon", m.DaemonID, "name", m.Name, "address", m.PeerAddress, "incarnation", m.Incarnation)
}

// SetSelf changes the configuration revision, overload flag or successor in
// the daemon's own record. Other changes are ignored. If the change raised the
// incarnation, the record is sent to all probe targets at once.
func (g *Gossip) SetSelf(change func(*membership.Member)) {
	before := g.list.Self().Incarnation
	g.list.SetSelf(change)
	if g.list.Self().Incarnation != before {
		signal(g.selfChanged)
	}
}

// Self returns the daemon's own record.
func (g *Gossip) Self() membership.Member { return g.list.Self() }

// Members returns all records, including this daemon's own and those of gone
// members that are still retained.
func (g *Gossip) Members() []membership.Member { return g.list.Members() }

// Overlay returns the selections that follow from the current members.
func (g *Gossip) Overlay() *membership.Overlay { return g.list.Overlay() }

// Run joins the fleet, probes the targets and sends queued items until ctx ends.
// It returns nil.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){g.probeLoop, g.joinLoop, g.memberLoop} {
		group.Go(func() error { loop(ctx); return nil })
	}
	for range pushWorkers {
		group.Go(func() error { g.outbox.run(ctx); return nil })
	}
	return group.Wait()
}

// memberLoop calls the OnMembers callbacks after changes of the member list and
// closes connections to members that are gone.
func (g *Gossip) memberLoop(ctx context.Context) {
	gone := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.membersChanged:
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

// closeGone logs each member that is gone but isn't in before, closes the
// connection to it unless a live member has the same address, and returns the
// daemon IDs of all gone members.
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
