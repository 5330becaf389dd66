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

// controlShare is a daemon's limit of processor time for control, as a part of
// one core.
const controlShare = 0.047

// controlMemory and controlBytes are the other limits of a daemon.
const (
	controlMemory = 128e6
	controlBytes  = 14e3 // per second
)

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// captured keeps the items that a manager broadcasts.
type captured struct{ items []*peerv1.Item }

// Broadcast implements config.Broadcaster.
func (c *captured) Broadcast(_ context.Context, item *peerv1.Item) { c.items = append(c.items, item) }

func newManager(s *memStore, b config.Broadcaster) (*config.Manager, error) {
	m := config.NewManager(config.Options{Store: s, Broadcaster: b, Logger: quiet(), Daemon: "capacity"})
	return m, m.LoadStore(context.Background())
}

func measureConfig(r *run) error {
	for _, n := range upstreamSizes {
		if err := measureConfigAt(r, n); err != nil {
			return errors.Wrapf(err, "%d upstreams", n)
		}
	}
	// The reader's processor time includes the candidates of the request path.
	perChange := r.find("config.reader_cpu").last() + r.find("config.directory_cpu").last()
	r.atMost("config: processor share of a reader at 47,000 changes a day and 12,000 upstreams",
		perChange*1e-6*changesPerSecond*100, controlShare*100, "% of a core")
	r.atMost("config: memory of the snapshot at 12,000 upstreams", r.find("config.memory").last()/1e6, controlMemory/1e6, "MB")
	r.atMost("config: store writes a second of the fleet at 47,000 changes a day",
		r.find("config.store_writes").last()*changesPerSecond, 300, "1/s")
	r.atMost("config: store reads a second of the fleet at 47,000 changes a day",
		r.find("config.store_reads").last()*changesPerSecond, 1500, "1/s")
	return nil
}

func measureConfigAt(r *run, n int) error {
	size := float64(n)
	s, err := newMemStore(fleet(n))
	if err != nil {
		return err
	}
	sink := &captured{}
	var writer *config.Manager
	memory := held(func() any {
		writer, err = newManager(s, sink)
		return writer
	})
	if err != nil {
		return err
	}
	r.at("config.memory", "upstreams", "bytes", size, memory)
	changes := r.repeat(40)
	reads, writes, sent := s.reads, s.writes, s.sent
	write := perCall(changes, func(i int) { err = relabel(writer, i, n) })
	if err != nil {
		return err
	}
	total := float64(len(sink.items))
	r.at("config.writer_cpu", "upstreams", "us a change", size, microseconds(write.cpu))
	r.at("config.store_reads", "upstreams", "reads a change", size, float64(s.reads-reads)/total)
	r.at("config.store_writes", "upstreams", "writes a change", size, float64(s.writes-writes)/total)
	r.at("config.store_bytes", "upstreams", "bytes a change", size, float64(s.sent-sent)/total)
	r.at("config.item_bytes", "upstreams", "bytes a change", size, float64(proto.Size(sink.items[0])))
	if err := measureReader(r, n, sink.items); err != nil {
		return err
	}
	return measureSnapshot(r, size, writer)
}

// relabel commits a change of one upstream.
func relabel(m *config.Manager, i, n int) error {
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
// configuration, and then gives the snapshots to the request path.
func measureReader(r *run, n int, items []*peerv1.Item) error {
	s, err := newMemStore(fleet(n))
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
	r.at("config.reader_cpu", "upstreams", "us a change", float64(n), microseconds(apply.cpu))
	directory := newDirectory()
	directory.Update(reader.Current())
	update := perCall(r.repeat(20), func(int) { directory.Update(reader.Current()) })
	r.at("config.directory_cpu", "upstreams", "us a change", float64(n), microseconds(update.cpu))
	return nil
}

func newDirectory() *upstreams.Directory { return newDirectorySized(defaults.Upstreams.SubsetSize) }

func newDirectorySized(subset int) *upstreams.Directory {
	return upstreams.New(upstreams.Options{
		Clock: clockwork.NewRealClock(), Self: "capacity-1", DataCentre: "dc00", SubsetSize: subset,
	})
}

// fetchSink counts the bytes of a Fetch.
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
	r.at("config.snapshot_bytes", "upstreams", "bytes", size, float64(sink.bytes))
	r.at("config.snapshot_time", "upstreams", "ms", size, float64(time.Since(start).Microseconds())/1e3)
	return err
}
