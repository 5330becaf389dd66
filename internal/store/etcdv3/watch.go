package etcdv3

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// watchBufferBatches is the number of batches that a watch buffers for its reader.
// While the buffer is full, the watch doesn't read from its stream.
const watchBufferBatches = 16

var errRevisionDecreased = errors.New("store revision decreased")

// watcher runs a watch across connections.
type watcher struct {
	client  *Client
	prefix  string
	last    int64 // revision up to which all changes were sent to batches
	batches chan store.WatchBatch
	backoff *backoff.ExponentialBackOff
}

// Watch implements store.Store. If the stream fails, the watch opens another one
// with jittered backoff and resumes after the last revision that it delivered. It
// ends with ErrCompacted if that revision is compacted or if the store now has a
// lower revision, for example after a restore, and with ErrUnavailable if c is
// closed.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision int64) <-chan store.WatchBatch {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = c.options.MinBackoff
	delays.MaxInterval = c.options.MaxBackoff
	delays.RandomizationFactor = backoffJitter
	w := &watcher{
		client: c, prefix: prefix, last: afterRevision,
		batches: make(chan store.WatchBatch, watchBufferBatches), backoff: delays,
	}
	go w.run(ctx)
	return w.batches
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.batches)
	for ctx.Err() == nil {
		start := time.Now()
		err := w.readStream(ctx)
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, errClosed) {
			w.send(ctx, store.WatchBatch{Revision: w.last, Err: err})
			return
		}
		// The backoff is reset only after a stream of some duration, so that it
		// also applies to a store that accepts watches and fails soon after.
		if time.Since(start) > w.client.options.MaxBackoff {
			w.backoff.Reset()
		}
		select {
		case <-time.After(w.backoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// readStream opens a stream and sends its events to batches until it fails.
func (w *watcher) readStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, i, err := w.client.conn()
	if err != nil {
		return err
	}
	// The time-out applies until the store has confirmed the watch.
	confirmTimeout := time.AfterFunc(w.client.options.Timeout, cancel)
	defer confirmTimeout.Stop()
	stream, err := etcdpb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		w.client.failOver(i)
		return err
	}
	if err := stream.Send(w.createRequest()); err != nil {
		w.client.failOver(i)
		return err
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			w.client.failOver(i)
			return err
		}
		if response.Created {
			confirmTimeout.Stop()
		}
		if err := w.handleResponse(ctx, response); err != nil {
			return err
		}
	}
}

func (w *watcher) createRequest() *etcdpb.WatchRequest {
	key, end := prefixRange(w.prefix)
	return &etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdpb.WatchCreateRequest{Key: key, RangeEnd: end, StartRevision: w.last + 1},
	}}
}

func (w *watcher) handleResponse(ctx context.Context, response *etcdpb.WatchResponse) error {
	revision := response.Header.GetRevision()
	switch {
	case response.CompactRevision != 0:
		return errors.Wrapf(store.ErrCompacted, "watch %q after revision %d", w.prefix, w.last)
	case response.Created && revision < w.last:
		return errors.Wrapf(store.ErrCompacted, "%v from %d to %d", errRevisionDecreased, w.last, revision)
	case response.Canceled:
		return errors.Errorf("watch %q cancelled by the store: %s", w.prefix, response.CancelReason)
	}
	for _, batch := range groupByRevision(response.Events) {
		if !w.send(ctx, batch) {
			return ctx.Err()
		}
		w.last = batch.Revision
	}
	return nil
}

// groupByRevision returns a batch for each revision of events, which are in
// revision order.
func groupByRevision(events []*etcdpb.Event) []store.WatchBatch {
	var batches []store.WatchBatch
	for _, event := range events {
		revision := event.Kv.ModRevision
		if len(batches) == 0 || batches[len(batches)-1].Revision != revision {
			batches = append(batches, store.WatchBatch{Revision: revision})
		}
		last := &batches[len(batches)-1]
		last.Events = append(last.Events, store.Event{
			KeyValue: fromWire(event.Kv), Deleted: event.Type == etcdpb.Event_DELETE,
		})
	}
	return batches
}

// send sends a batch and reports whether it did so before ctx ended.
func (w *watcher) send(ctx context.Context, batch store.WatchBatch) bool {
	select {
	case w.batches <- batch:
		return true
	case <-ctx.Done():
		return false
	}
}
