package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// Prompt of the routing measurements: a document of about 12,000 tokens.
const (
	promptBlocks = 188
	blockTokens  = upstreams.BlockBytes / 4
)

// requestsPerSecondPerDaemon is 21,000 requests per second over 420 daemons.
const requestsPerSecondPerDaemon = 50

func measureRouting(r *run) error {
	for _, n := range upstreamSizes {
		measurePick(r, n)
		if err := measureDirectory(r, n); err != nil {
			return errors.Wrapf(err, "%d upstreams", n)
		}
	}
	for _, blocks := range []int{1 << 14, 1 << 16, 1 << 18} {
		measurePrefixIndex(r, blocks)
	}
	refreshShare := r.find("routing.refresh_cpu").last() * 1e-6 / 0.5 // every 500 ms
	r.addLimit("routing: processor share of the refresh of health and limits at 12,000 upstreams", refreshShare*100, controlCPUShare*100, "% of a core")
	memory := r.find("routing.directory_memory").last() + r.find("routing.prefix_index_memory").last() + r.find("config.memory").lastOrZero()
	r.addLimit("routing: memory of upstream state, prefix index and configuration at 12,000 upstreams", memory/1e6, controlMemoryBytes/1e6, "MB")
	return nil
}

// lastOrZero is like last, but returns 0 if the section of the series has not run.
func (s *series) lastOrZero() float64 {
	if s == nil {
		return 0
	}
	return s.last()
}

// measurePick measures a routing decision over n candidates, without subsetting.
func measurePick(r *run, n int) {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	index := routing.NewPrefixIndex(1 << 18)
	scheduler := routing.NewDefault(nil, index)
	candidates := make([]*routing.Candidate, 0, n)
	for i := range n {
		spec := upstreamSpec(i)
		c := routing.NewCandidate(routing.Upstream{
			Name: upstreamName(i), Service: "s0", Version: "v0", DataCentre: spec.DataCentre, PricePerHour: spec.PricePerHour,
		})
		c.SetLimit(64)
		c.Begin(object.ClassShort, float64(random.IntN(4000)))
		c.SetReportedLoad(routing.Load{Work: float64(random.IntN(8000)), At: time.Now()})
		candidates = append(candidates, c)
	}
	documents := make([][]uint64, 32)
	for i := range documents {
		for range promptBlocks {
			documents[i] = append(documents[i], random.Uint64())
		}
	}
	pick := perCall(r.repeat(400), func(i int) {
		_, _ = scheduler.Pick(context.Background(), routing.Request{
			Service: "s0", Version: "v0", Class: object.ClassLong, DataCentre: "dc00",
			Blocks: documents[i%len(documents)], BlockWork: blockTokens, Work: promptBlocks * blockTokens,
		}, candidates)
	})
	r.record("routing.pick_cpu", "candidates", "us a pick", float64(n), microseconds(pick.cpu))
	r.record("routing.pick_allocs", "candidates", "allocations a pick", float64(n), pick.allocs)
}

// measureDirectory measures the directory for a configuration of n upstreams. The
// subset size applies to each version, so with many versions all upstreams are
// kept.
func measureDirectory(r *run, n int) error {
	set := object.NewSet(1, newConfiguration(n)...)
	if err := set.Validate(); err != nil {
		return err
	}
	snapshot := config.NewSnapshot(set, "c1")
	var directory *upstreams.Directory
	memory := heapGrowth(func() any {
		directory = newDirectory()
		directory.Update(snapshot)
		return directory
	})
	r.record("routing.directory_memory", "upstreams", "bytes", float64(n), memory)
	r.record("routing.directory_entries", "upstreams", "upstreams kept", float64(n), float64(len(directory.Status())))
	refresh := perCall(r.repeat(40), func(int) { directory.Refresh() })
	r.record("routing.refresh_cpu", "upstreams", "us a refresh", float64(n), microseconds(refresh.cpu))
	attempt := perCall(r.repeat(2000), func(i int) {
		a, err := directory.Pick(context.Background(), routing.Request{
			Service: "s0", Version: "s0-v0", Class: object.ClassShort, Session: fmt.Sprint(i), Work: 200,
		})
		if err == nil {
			a.FirstByte()
			a.End(upstreams.FailureNone)
		}
	})
	r.record("routing.attempt_cpu", "upstreams", "us an attempt", float64(n), microseconds(attempt.cpu))
	r.record("routing.attempt_allocs", "upstreams", "allocations an attempt", float64(n), attempt.allocs)
	return nil
}

// measurePrefixIndex fills the index with distinct blocks.
func measurePrefixIndex(r *run, blocks int) {
	candidate := routing.NewCandidate(routing.Upstream{Name: "engine-1", Service: "s0", Version: "v0"})
	memory := heapGrowth(func() any {
		index := routing.NewPrefixIndex(1 << 18)
		scheduler := routing.NewDefault(nil, index)
		random := rand.New(rand.NewPCG(2, uint64(blocks)))
		for range blocks / promptBlocks {
			document := make([]uint64, promptBlocks)
			for i := range document {
				document[i] = random.Uint64()
			}
			_, _ = scheduler.Pick(context.Background(), routing.Request{
				Service: "s0", Version: "v0", Blocks: document, BlockWork: blockTokens, Work: promptBlocks * blockTokens,
			}, []*routing.Candidate{candidate})
		}
		return index
	})
	r.record("routing.prefix_index_memory", "blocks", "bytes", float64(blocks), memory)
}
