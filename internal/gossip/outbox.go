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
	maxDestinations  = 4096
	maxPending       = 1024 // items waiting for one destination
	maxItemsPerBatch = 64
)

var errOutboxFull = errors.New("gossip outbox is full")

// outbox sends pushed items. Items for the same destination that wait are sent
// together, so a burst of changes takes few calls, and each destination has at
// most one call in progress.
type outbox struct {
	send  func(ctx context.Context, to destination, batch []*peerv1.Item) error
	ready *ring.Ring[destination]

	mu      sync.Mutex
	pending map[destination][]push
}

type destination struct {
	address string
	hop     uint32
}

type push struct {
	item *peerv1.Item
	done func(error)
}

func newOutbox(send func(context.Context, destination, []*peerv1.Item) error) *outbox {
	return &outbox{
		send:    send,
		ready:   ring.New[destination]("gossip outbox", maxDestinations, ring.DropNewest),
		pending: make(map[destination][]push),
	}
}

// put queues an item. done is called once with the result of the call.
func (o *outbox) put(to destination, item *peerv1.Item, done func(error)) {
	if !o.enqueue(to, push{item, done}) {
		done(errOutboxFull)
	}
}

func (o *outbox) enqueue(to destination, p push) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting, active := o.pending[to]
	if len(waiting) >= maxPending {
		return false
	}
	if !active && !o.ready.Put(context.Background(), to) {
		return false
	}
	o.pending[to] = append(waiting, p)
	return true
}

// work sends batches until ctx ends.
func (o *outbox) work(ctx context.Context) {
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

// next takes a batch. The destination stays in pending and so isn't put into
// the ring again before finish.
func (o *outbox) next(to destination) []push {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.pending[to]
	n := min(len(waiting), maxItemsPerBatch)
	o.pending[to] = waiting[n:]
	return waiting[:n:n]
}

// finish schedules the items that arrived meanwhile and returns the pushes
// whose result is known. If there is no room to schedule, the waiting pushes
// fail together with the batch.
func (o *outbox) finish(to destination, batch []push) []push {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.pending[to]
	if len(waiting) > 0 && o.ready.Put(context.Background(), to) {
		return batch
	}
	delete(o.pending, to)
	for _, p := range waiting {
		go p.done(errOutboxFull)
	}
	return batch
}
