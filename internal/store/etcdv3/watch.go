package etcdv3

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	etcdpb "github.com/dogwoodrudder/dogwoodrudder/api/etcd"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// watchBuffer holds batches that the reader has not taken yet; a full buffer
// holds back the stream.
const watchBuffer = 16

var errStoreWentBack = errors.New("store revision went back")

type watcher struct {
	client  *Client
	prefix  string
	last    int64 // revision up to which the reader has seen all changes
	batches chan store.WatchBatch
	backoff *backoff.ExponentialBackOff
}

// Watch implements store.Store. A lost connection is replaced with jittered
// backoff and the watch resumes after the last revision it delivered. The
// watch ends with ErrCompacted if that revision is compacted or if the store
// came back with an older revision, and with ErrUnavailable if c is closed.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision int64) <-chan store.WatchBatch {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.options.MinBackoff
	pause.MaxInterval = c.options.MaxBackoff
	pause.RandomizationFactor = backoffJitter
	w := &watcher{
		client: c, prefix: prefix, last: afterRevision,
		batches: make(chan store.WatchBatch, watchBuffer), backoff: pause,
	}
	go w.run(ctx)
	return w.batches
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.batches)
	for ctx.Err() == nil {
		start := time.Now()
		err := w.follow(ctx)
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, errClosed) {
			w.put(ctx, store.WatchBatch{Revision: w.last, Err: err})
			return
		}
		// A store that accepts watches and fails soon after is not asked faster.
		if time.Since(start) > w.client.options.MaxBackoff {
			w.backoff.Reset()
		}
		select {
		case <-time.After(w.backoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// follow opens one stream and reads it until it fails.
func (w *watcher) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, i, err := w.client.conn()
	if err != nil {
		return err
	}
	// The deadline covers the time until the store confirms the watch.
	deadline := time.AfterFunc(w.client.options.Timeout, cancel)
	defer deadline.Stop()
	stream, err := etcdpb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		w.client.avoid(i)
		return err
	}
	if err := stream.Send(w.createRequest()); err != nil {
		w.client.avoid(i)
		return err
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			w.client.avoid(i)
			return err
		}
		if response.Created {
			deadline.Stop()
		}
		if err := w.handle(ctx, response); err != nil {
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

func (w *watcher) handle(ctx context.Context, response *etcdpb.WatchResponse) error {
	revision := response.Header.GetRevision()
	switch {
	case response.CompactRevision != 0:
		return errors.Wrapf(store.ErrCompacted, "watch %q after revision %d", w.prefix, w.last)
	case response.Created && revision < w.last:
		return errors.Wrapf(store.ErrCompacted, "%v from %d to %d", errStoreWentBack, w.last, revision)
	case response.Canceled:
		return errors.Errorf("watch %q cancelled by the store: %s", w.prefix, response.CancelReason)
	}
	for _, batch := range split(response.Events) {
		if !w.put(ctx, batch) {
			return ctx.Err()
		}
		w.last = batch.Revision
	}
	return nil
}

// split groups events, which arrive in revision order, by revision.
func split(events []*etcdpb.Event) []store.WatchBatch {
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

func (w *watcher) put(ctx context.Context, batch store.WatchBatch) bool {
	select {
	case w.batches <- batch:
		return true
	case <-ctx.Done():
		return false
	}
}
