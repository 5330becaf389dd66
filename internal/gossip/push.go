package gossip

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Hops of a pushed item, in the wire format of Deliver.
const (
	hopRelay     = 0 // origin to relay
	hopNeighbour = 1 // relay to neighbour
)

// maxRelayAttempts bounds the relays tried in one data centre. With two at a
// time and the default push time-out, the three rounds take up to 1.2 s.
const maxRelayAttempts = 6

// Broadcast pushes an item to the relays of all data centres and returns when all
// attempts have ended. The error names a data centre in which no relay accepted
// the item; its live members get the item with probes or by fetching the
// configuration.
func (g *Gossip) Broadcast(ctx context.Context, item *peerv1.Item) error {
	key := identity(item)
	if key == "" {
		return errors.New("item has no content")
	}
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	g.items.add(item, g.list.Self().DaemonID, g.config.Clock.Now())
	overlay := g.list.Overlay()
	var group errgroup.Group
	for _, dataCentre := range overlay.DataCentres() {
		order := overlay.RelayOrder(dataCentre, key)
		group.Go(func() error {
			return errors.Wrapf(g.pushToRelays(ctx, order, item), "data centre %s", dataCentre)
		})
	}
	return group.Wait()
}

// pushToRelays sends an item to the first RelaysPerDataCentre members of order,
// and to the next member for each that fails.
func (g *Gossip) pushToRelays(ctx context.Context, order []membership.Member, item *peerv1.Item) error {
	order = order[:min(len(order), maxRelayAttempts)]
	results := make(chan error, len(order))
	next, pending, accepted := 0, 0, 0
	start := func() {
		if next < len(order) {
			g.pushToRelay(order[next], item, results)
			next++
			pending++
		}
	}
	for range membership.RelaysPerDataCentre {
		start()
	}
	var last error
	for pending > 0 {
		select {
		case err := <-results:
			pending--
			if err == nil {
				accepted++
				continue
			}
			last = err
			start()
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "push to relays")
		}
	}
	if accepted == 0 {
		return errors.Wrap(last, "no relay accepted the item")
	}
	return nil
}

func (g *Gossip) pushToRelay(relay membership.Member, item *peerv1.Item, results chan<- error) {
	if relay.DaemonID == g.list.Self().DaemonID {
		g.forward(item, "")
		results <- nil
		return
	}
	g.outbox.enqueue(destination{relay.PeerAddress, hopRelay}, item, func(err error) { results <- err })
}

// forward sends an item to the neighbours except the one it came from. A failed
// call is repeated once. If that fails too, the neighbour gets the item with
// probes or by fetching the configuration.
func (g *Gossip) forward(item *peerv1.Item, from string) {
	for _, m := range g.list.Overlay().Neighbours() {
		if m.DaemonID == from {
			continue
		}
		to := destination{m.PeerAddress, hopNeighbour}
		g.outbox.enqueue(to, item, func(err error) {
			if err != nil {
				g.outbox.enqueue(to, item, func(error) {})
			}
		})
	}
}

// deliver makes one Deliver call for the outbox.
func (g *Gossip) deliver(ctx context.Context, to destination, batch []*peerv1.Item) error {
	client, err := g.config.Pool.Client(to.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.PushTimeout)
	defer cancel()
	_, err = client.Deliver(ctx, &peerv1.DeliverRequest{
		Origin: g.list.Self().DaemonID,
		Hop:    to.hop,
		Items:  batch,
	})
	return errors.Wrapf(err, "deliver to %s", to.address)
}

// Deliver receives pushed items and, as a relay, forwards them.
func (g *Gossip) Deliver(_ context.Context, request *peerv1.DeliverRequest) (*peerv1.DeliverResponse, error) {
	for _, item := range g.receive(request.GetItems(), request.GetOrigin()) {
		if request.GetHop() == hopRelay {
			g.forward(item, request.GetOrigin())
		}
	}
	return &peerv1.DeliverResponse{ConfigRevision: g.list.Self().ConfigRevision}, nil
}

// receive passes new items to the OnItem callbacks and returns them.
func (g *Gossip) receive(received []*peerv1.Item, from string) []*peerv1.Item {
	var added []*peerv1.Item
	for _, item := range received {
		if g.items.add(item, from, g.config.Clock.Now()) {
			added = append(added, item)
		}
	}
	g.mu.RLock()
	callbacks := g.onItem
	g.mu.RUnlock()
	for _, item := range added {
		for _, f := range callbacks {
			f(item)
		}
	}
	return added
}
