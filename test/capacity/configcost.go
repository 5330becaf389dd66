package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// changesPerSecond is the mean rate at 47,000 changes a day.
const changesPerSecond = 47_000.0 / 86_400

// controlCPUShare is the limit on the processor time of a daemon for control
// work, as a fraction of one core.
const controlCPUShare = 0.047

// Limits on the memory and the control traffic of a daemon.
const (
	controlMemoryBytes    = 128e6
	controlBytesPerSecond = 14e3
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// recordingBroadcaster records the items that a manager broadcasts.
type recordingBroadcaster struct{ items []*peerv1.Item }

// Broadcast implements config.Broadcaster.
func (c *recordingBroadcaster) Broadcast(_ context.Context, item *peerv1.Item) {
	c.items = append(c.items, item)
}

func newManager(s *memStore, b config.Broadcaster) (*config.Manager, error) {
	m := config.NewManager(config.Options{Store: s, Broadcaster: b, Logger: discardLogger(), Daemon: "capacity"})
	return m, m.LoadStore(context.Background())
}

func measureConfig(r *run) error {
	for _, n := range upstreamSizes {
		if err := measureConfigAt(r, n); err != nil {
			return errors.Wrapf(err, "%d upstreams", n)
		}
	}
	// The cost of a change at a reader includes the update of the routing directory.
	perChange := r.find("config.reader_cpu").last() + r.find("config.directory_cpu").last()
	r.addLimit("config: processor share of a reader at 47,000 changes a day and 12,000 upstreams",
		perChange*1e-6*changesPerSecond*100, controlCPUShare*100, "% of a core")
	r.addLimit("config: memory of the snapshot at 12,000 upstreams", r.find("config.memory").last()/1e6, controlMemoryBytes/1e6, "MB")
	r.addLimit("config: store writes a second of the fleet at 47,000 changes a day",
		r.find("config.store_writes").last()*changesPerSecond, 300, "1/s")
	r.addLimit("config: store reads a second of the fleet at 47,000 changes a day",
		r.find("config.store_reads").last()*changesPerSecond, 1500, "1/s")
	return nil
}

func measureConfigAt(r *run, n int) error {
	size := float64(n)
	s, err := newMemStore(newConfiguration(n))
	if err != nil {
		return err
	}
	broadcaster := &recordingBroadcaster{}
	var writer *config.Manager
	memory := heapGrowth(func() any {
		writer, err = newManager(s, broadcaster)
		return writer
	})
	if err != nil {
		return err
	}
	r.record("config.memory", "upstreams", "bytes", size, memory)
	changes := r.repeat(40)
	reads, writes, sent := s.reads, s.writes, s.sent
	write := perCall(changes, func(i int) { err = changeLabel(writer, i, n) })
	if err != nil {
		return err
	}
	total := float64(len(broadcaster.items))
	r.record("config.writer_cpu", "upstreams", "us a change", size, microseconds(write.cpu))
	r.record("config.store_reads", "upstreams", "reads a change", size, float64(s.reads-reads)/total)
	r.record("config.store_writes", "upstreams", "writes a change", size, float64(s.writes-writes)/total)
	r.record("config.store_bytes", "upstreams", "bytes a change", size, float64(s.sent-sent)/total)
	r.record("config.item_bytes", "upstreams", "bytes a change", size, float64(proto.Size(broadcaster.items[0])))
	if err := measureReader(r, n, broadcaster.items); err != nil {
		return err
	}
	return measureSnapshot(r, size, writer)
}

// changeLabel commits a change to a label of one upstream.
func changeLabel(m *config.Manager, i, n int) error {
	ref := object.Ref{Kind: object.KindUpstream, Name: upstreamName(i % n)}
	o := *m.Current().Set.Get(ref)
	labels := map[string]string{"change": fmt.Sprint(i)}
	for k, v := range o.Metadata.Labels {
		if k != "change" {
			labels[k] = v
		}
	}
	o.Metadata.Labels = labels
	_, err := m.Commit(context.Background(), config.Actor{Account: "ops", RemoteAddress: "127.0.0.1:1"}, []config.Change{{Put: &o}})
	return err
}

// measureReader applies the changes on a manager that starts from the same
// configuration, and then updates the routing directory with the snapshot.
func measureReader(r *run, n int, items []*peerv1.Item) error {
	s, err := newMemStore(newConfiguration(n))
	if err != nil {
		return err
	}
	reader, err := newManager(s, nil)
	if err != nil {
		return err
	}
	apply := perCall(len(items)/batches, func(i int) { reader.HandleItem(items[i]) })
	if got, want := reader.Current().Revision, int64(len(items)+1); got != want {
		return errors.Errorf("the reader is at revision %d, want %d", got, want)
	}
	r.record("config.reader_cpu", "upstreams", "us a change", float64(n), microseconds(apply.cpu))
	directory := newDirectory()
	directory.Update(reader.Current())
	update := perCall(r.repeat(20), func(int) { directory.Update(reader.Current()) })
	r.record("config.directory_cpu", "upstreams", "us a change", float64(n), microseconds(update.cpu))
	return nil
}

func newDirectory() *upstreams.Directory { return newDirectorySized(defaults.Upstreams.SubsetSize) }

func newDirectorySized(subset int) *upstreams.Directory {
	return upstreams.New(upstreams.Options{
		Clock: clockwork.NewRealClock(), Self: "capacity-1", DataCentre: "dc00", SubsetSize: subset,
	})
}

// fetchSink counts the bytes that a Fetch call sends.
type fetchSink struct {
	grpc.ServerStream
	bytes int
}

// Send implements grpc.ServerStreamingServer.
func (f *fetchSink) Send(response *peerv1.FetchResponse) error {
	f.bytes += proto.Size(response)
	return nil
}

// Context implements grpc.ServerStream.
func (f *fetchSink) Context() context.Context { return context.Background() }

func measureSnapshot(r *run, size float64, m *config.Manager) error {
	sink := &fetchSink{}
	start := time.Now()
	err := m.Fetch(&peerv1.FetchRequest{}, sink)
	r.record("config.snapshot_bytes", "upstreams", "bytes", size, float64(sink.bytes))
	r.record("config.snapshot_time", "upstreams", "ms", size, float64(time.Since(start).Microseconds())/1e3)
	return err
}
