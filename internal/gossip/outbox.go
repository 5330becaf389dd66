package gossip

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/ring"
)

// Bounds of the outbox.
const (
	pushWorkers      = 32
	maxDestinations  = 4096 // destinations with queued items
	maxQueuedItems   = 1024 // per destination
	maxItemsPerBatch = 64
)

var errOutboxFull = errors.New("gossip outbox is full")

// outbox sends pushed items. Queued items for the same destination are sent in
// one batch, so that a burst of changes takes few calls. Each destination has at
// most one call in progress.
type outbox struct {
	send  func(ctx context.Context, to destination, batch []*peerv1.Item) error
	ready *ring.Ring[destination] // destinations with queued items and no call in progress

	mu      sync.Mutex
	pending map[destination][]queuedItem // has an entry for each destination that is ready or has a call in progress
}

type destination struct {
	address string // peer address
	hop     uint32 // hopRelay or hopNeighbour
}

type queuedItem struct {
	item *peerv1.Item
	done func(error)
}

func newOutbox(send func(context.Context, destination, []*peerv1.Item) error) *outbox {
	return &outbox{
		send:    send,
		ready:   ring.New[destination]("gossip outbox", maxDestinations, ring.DropNewest),
		pending: make(map[destination][]queuedItem),
	}
}

// enqueue queues an item. done is called once with the result of the call, or
// with errOutboxFull if the item can't be queued.
func (o *outbox) enqueue(to destination, item *peerv1.Item, done func(error)) {
	if !o.tryEnqueue(to, queuedItem{item, done}) {
		done(errOutboxFull)
	}
}

func (o *outbox) tryEnqueue(to destination, p queuedItem) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	queued, active := o.pending[to]
	if len(queued) >= maxQueuedItems {
		return false
	}
	if !active && !o.ready.Put(context.Background(), to) {
		return false
	}
	o.pending[to] = append(queued, p)
	return true
}

// run sends batches until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for {
		to, ok := o.ready.Get(ctx)
		if !ok {
			return
		}
		batch := o.next(to)
		list := make([]*peerv1.Item, 0, len(batch))
		for _, p := range batch {
			list = append(list, p.item)
		}
		err := o.send(ctx, to, list)
		for _, p := range o.finish(to, batch) {
			p.done(err)
		}
	}
}

// next removes a batch from the queue. The destination stays in pending, so that
// it isn't put into the ring again before finish is called.
func (o *outbox) next(to destination) []queuedItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	queued := o.pending[to]
	n := min(len(queued), maxItemsPerBatch)
	o.pending[to] = queued[n:]
	return queued[:n:n]
}

// finish ends the call for batch and returns batch. It schedules the destination
// again if items were queued during the call. If the ring is full, these items
// fail with errOutboxFull.
func (o *outbox) finish(to destination, batch []queuedItem) []queuedItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	queued := o.pending[to]
	if len(queued) > 0 && o.ready.Put(context.Background(), to) {
		return batch
	}
	delete(o.pending, to)
	for _, p := range queued {
		go p.done(errOutboxFull)
	}
	return batch
}
