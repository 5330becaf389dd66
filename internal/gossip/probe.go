package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// probeLoop probes each target once per probe interval. The probes are spread
// over the interval, so that an update can travel several hops within it.
func (g *Gossip) probeLoop(ctx context.Context) {
	config := g.list.Config()
	ticker := g.config.Clock.NewTicker(config.ProbeInterval / time.Duration(config.Neighbours))
	defer ticker.Stop()
	prober := newProber(g)
	defer prober.group.Wait() //nolint:errcheck // probes return no error
	for slot := 0; ; slot = (slot + 1) % config.Neighbours {
		select {
		case <-ctx.Done():
			return
		case <-g.selfChanged:
			prober.start(ctx, g.list.Targets())
			continue
		case <-ticker.Chan():
		}
		g.list.Tick()
		if targets := g.list.Targets(); slot < len(targets) {
			prober.start(ctx, targets[slot:slot+1])
		}
	}
}

// prober runs at most one probe of each target at a time.
type prober struct {
	gossip     *Gossip
	group      errgroup.Group
	mu         sync.Mutex
	inProgress map[string]bool // by daemon ID
}

func newProber(g *Gossip) *prober {
	p := &prober{gossip: g, inProgress: make(map[string]bool)}
	p.group.SetLimit(maxConcurrentProbes)
	return p
}

// start starts a probe of each target that isn't being probed, up to
// maxConcurrentProbes in all.
func (p *prober) start(ctx context.Context, targets []membership.Member) {
	for _, target := range targets {
		if !p.acquire(target.DaemonID) {
			continue
		}
		started := p.group.TryGo(func() error {
			defer p.release(target.DaemonID)
			p.gossip.list.Probe(ctx, p.gossip, target)
			return nil
		})
		if !started {
			p.release(target.DaemonID)
		}
	}
}

func (p *prober) acquire(daemonID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[daemonID] {
		return false
	}
	p.inProgress[daemonID] = true
	return true
}

func (p *prober) release(daemonID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, daemonID)
}

// Exchange sends a probe. It implements membership.Transport.
func (g *Gossip) Exchange(ctx context.Context, address, daemonID string, m membership.Message) (membership.Message, error) {
	client, err := g.config.Pool.Client(address)
	if err != nil {
		return membership.Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.ProbeTimeout)
	defer cancel()
	request := RequestToProto(daemonID, m)
	if daemonID != "" {
		request.Items = g.items.selectFor(daemonID, g.config.Clock.Now())
	}
	response, err := client.Probe(ctx, request)
	g.items.recordResult(daemonID, request.Items, err == nil)
	if err != nil {
		return membership.Message{}, errors.Wrapf(err, "probe %s", address)
	}
	sender := fromProto(response.GetResponder())
	g.receive(response.GetItems(), sender.DaemonID)
	g.reportNewerConfig(sender)
	return membership.Message{
		Sender:  sender,
		Updates: updatesFromProto(response.GetUpdates()),
		Full:    m.Full,
		Hash:    response.GetStateHash(),
	}, nil
}

// Indirect asks helpers to probe the target. It implements membership.Transport.
func (g *Gossip) Indirect(ctx context.Context, helpers []membership.Member, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, g.config.IndirectTimeout)
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { answers <- g.probeThrough(ctx, helper, target) }()
	}
	answered := false
	for range helpers {
		if <-answers {
			answered = true
			cancel()
		}
	}
	return answered
}

func (g *Gossip) probeThrough(ctx context.Context, helper, target membership.Member) bool {
	client, err := g.config.Pool.Client(helper.PeerAddress)
	if err != nil {
		return false
	}
	request := RequestToProto(target.DaemonID, membership.Message{Sender: g.list.Self()})
	request.IndirectAddress = target.PeerAddress
	response, err := client.Probe(ctx, request)
	return err == nil && response.GetIndirectAnswered()
}

// Probe answers a probe. A request with an indirect address asks it to probe the
// member at that address on behalf of the sender.
func (g *Gossip) Probe(ctx context.Context, request *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	if request.GetIndirectAddress() != "" {
		return g.probeIndirectly(ctx, request)
	}
	sender := fromProto(request.GetSender())
	reply := g.list.Answer(membership.Message{
		Sender:  sender,
		Updates: updatesFromProto(request.GetUpdates()),
		Full:    request.GetFullState(),
		Hash:    request.GetStateHash(),
	})
	g.receive(request.GetItems(), sender.DaemonID)
	g.reportNewerConfig(sender)
	response := ResponseToProto(reply)
	response.Items = g.items.selectFor(sender.DaemonID, g.config.Clock.Now())
	return response, nil
}

func (g *Gossip) probeIndirectly(ctx context.Context, request *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	id := request.GetTargetDaemonId()
	reply, err := g.Exchange(ctx, request.GetIndirectAddress(), id, g.list.Request(id))
	if err == nil {
		g.list.Merge(reply)
	}
	return &peerv1.ProbeResponse{
		Responder:        toProto(g.list.Self()),
		IndirectAnswered: err == nil && reply.Sender.DaemonID == id,
	}, nil
}

// reportNewerConfig calls the OnNewerConfig callbacks if m has a newer
// configuration than this daemon.
func (g *Gossip) reportNewerConfig(m membership.Member) {
	if m.ConfigRevision <= g.list.Self().ConfigRevision {
		return
	}
	g.mu.RLock()
	callbacks := g.onNewerConfig
	g.mu.RUnlock()
	for _, f := range callbacks {
		f(m.PeerAddress, m.ConfigRevision)
	}
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
