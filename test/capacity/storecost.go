package main

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/etcdv3"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	standin "github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

// Limits of the platform's store for this project.
const (
	storeWrites = store.FleetWritesPerSecond
	storeReads  = store.FleetReadsPerSecond
)

// loadRetryInterval is the pause of a daemon that has no configuration yet
// between two reads (internal/daemon).
const loadRetryInterval = time.Second

func measureStore(r *run) error {
	var group sync.WaitGroup
	failures := make([]error, len(daemonSizes))
	outages := make([]*outage, len(daemonSizes))
	for i, n := range daemonSizes {
		group.Go(func() { outages[i], failures[i] = runOutage(n) })
	}
	group.Wait()
	for i, n := range daemonSizes {
		if failures[i] != nil {
			return errors.Wrapf(failures[i], "%d daemons", n)
		}
		o, size := outages[i], float64(n)
		r.at("store.rest_reads", "daemons", "reads/s of the fleet, waiting watches included", size, o.rest.reads)
		r.at("store.rest_writes", "daemons", "writes/s of the fleet", size, o.rest.writes)
		r.at("store.outage_peak_reads", "daemons", "reads in the worst second after an outage", size, o.peak.reads)
		r.at("store.outage_peak_writes", "daemons", "writes in the worst second after an outage", size, o.peak.writes)
		r.at("store.outage_mean_reads", "daemons", "reads/s in 10 s after an outage", size, o.mean.reads)
	}
	r.atMost("store: reads in the worst second after an outage, 420 daemons", r.find("store.outage_peak_reads").last(), storeReads, "1/s")
	r.atMost("store: writes in the worst second after an outage, 420 daemons", r.find("store.outage_peak_writes").last(), storeWrites, "1/s")
	r.atMost("store: reads a second at rest, 420 daemons", r.find("store.rest_reads").last(), storeReads, "1/s")
	measureShares(r)
	return nil
}

// measureShares compares what a daemon must do with its share of the limits at
// the default settings.
func measureShares(r *run) {
	for _, n := range daemonSizes {
		b := store.NewBudget(idleStore{}, store.BudgetOptions{
			WritesPerSecond: defaults.Store.WritesPerSecond, ReadsPerSecond: defaults.Store.ReadsPerSecond, Daemons: n,
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := b.Watch(ctx, "/", 0)
		_, reads := b.Share()
		for i := 0; i < 100 && reads == defaults.Store.ReadsPerSecond/float64(n); i++ { // until the watch counts
			time.Sleep(time.Millisecond)
			_, reads = b.Share()
		}
		writes, _ := b.Share()
		cancel()
		for range ended {
			continue
		}
		r.at("store.share_writes", "daemons", "writes/s that one daemon may make by default", float64(n), writes)
		r.at("store.share_reads", "daemons", "reads/s that a watching daemon may make by default", float64(n), reads)
	}
	// A watching daemon reads the head every 10 s.
	r.atMost("store: head checks a second of a watching daemon against its default share, 420 daemons",
		0.1, r.find("store.share_reads").last(), "1/s")
	r.atMost("store: 47,000 changes a day through one daemon against its default share, 420 daemons",
		changesPerSecond, r.find("store.share_writes").last(), "1/s")
}

// idleStore is a store whose watches wait.
type idleStore struct{ store.Store }

// Watch implements store.Store.
func (idleStore) Watch(ctx context.Context, _ string, _ int64) <-chan store.WatchBatch {
	batches := make(chan store.WatchBatch)
	context.AfterFunc(ctx, func() { close(batches) })
	return batches
}

type rates struct{ reads, writes float64 }

// outage is what a fleet asked of the store.
type outage struct{ rest, peak, mean rates }

// runOutage runs n daemons, two of each data centre watching, and n further
// ones that start during an outage, read the configuration once a second until
// the store is back and know no peer.
func runOutage(n int) (*outage, error) {
	server := standin.New(standin.Options{WritesPerSecond: 500, ReadsPerSecond: 2000})
	if err := server.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	defer server.Close()
	f := &storeFleet{server: server, n: n}
	defer f.stop()
	if err := f.fill(); err != nil {
		return nil, errors.Wrap(err, "store the configuration")
	}
	f.startWatchers()
	time.Sleep(time.Second)
	rest := f.sample(4 * time.Second)
	if err := server.SetFaults(standin.Faults{Down: standin.DownRefuse}); err != nil {
		return nil, err
	}
	f.startLoaders()
	time.Sleep(5 * time.Second)
	if err := server.SetFaults(standin.Faults{}); err != nil {
		return nil, err
	}
	after := f.sample(10 * time.Second)
	if loaded := f.loaded(); loaded < n {
		return nil, errors.Errorf("%d of %d daemons have the configuration 10 s after the outage", loaded, n)
	}
	return &outage{rest: mean(rest), peak: peak(after), mean: mean(after)}, nil
}

// storeFleet is a number of clients of one store.
type storeFleet struct {
	server *standin.Server
	n      int
	group  sync.WaitGroup
	ends   []func()

	mu      sync.Mutex
	loaders []*config.Manager
}

func (f *storeFleet) manager(daemons int) (*config.Manager, error) {
	client, err := etcdv3.New(etcdv3.Options{Addresses: []string{f.server.Address()}, Timeout: 2 * time.Second})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.ends = append(f.ends, func() { _ = client.Close() })
	f.mu.Unlock()
	budget := store.NewBudget(client, store.BudgetOptions{WritesPerSecond: storeWrites, ReadsPerSecond: storeReads, Daemons: daemons})
	return config.NewManager(config.Options{Store: budget, Logger: quiet(), Daemon: "capacity"}), nil
}

func (f *storeFleet) fill() error {
	m, err := f.manager(1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	objects := fleet(20)
	for _, o := range objects {
		o.Metadata.Revision = 0
	}
	_, err = config.NewOperatorService(m).Apply(ctx, config.Actor{Account: "ops"}, objects)
	return err
}

func (f *storeFleet) startWatchers() {
	for range min(f.n, membership.RelaysPerDataCentre*dataCentres(f.n)) {
		f.start(func(ctx context.Context, m *config.Manager) { _ = m.WatchStore(ctx) })
	}
}

// startLoaders starts daemons as internal/daemon does while the store is down.
func (f *storeFleet) startLoaders() {
	for range f.n {
		f.start(func(ctx context.Context, m *config.Manager) {
			f.mu.Lock()
			f.loaders = append(f.loaders, m)
			f.mu.Unlock()
			for m.LoadStore(ctx) != nil && ctx.Err() == nil {
				select {
				case <-time.After(loadRetryInterval):
				case <-ctx.Done():
				}
			}
		})
	}
}

func (f *storeFleet) start(duty func(context.Context, *config.Manager)) {
	m, err := f.manager(f.n)
	if err != nil {
		return // an address that was valid before
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	f.ends = append(f.ends, cancel)
	f.mu.Unlock()
	f.group.Go(func() { duty(ctx, m) })
}

func (f *storeFleet) loaded() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.loaders {
		if m.Current().Revision > 0 {
			n++
		}
	}
	return n
}

func (f *storeFleet) stop() {
	for _, end := range f.ends {
		end()
	}
	f.group.Wait()
}

// counts returns the calls that the store has received, refused ones included.
func (f *storeFleet) counts() rates {
	var c rates
	for kind, n := range f.server.Stats().Calls {
		switch kind {
		case "range", "watch", "watch_wait":
			c.reads += float64(n)
		case "limited", "lost_reply": // counted under their own kind as well
		default:
			c.writes += float64(n)
		}
	}
	return c
}

// sampleInterval is the resolution of the rates.
const sampleInterval = 100 * time.Millisecond

// sample returns the calls in each interval of a duration.
func (f *storeFleet) sample(duration time.Duration) []rates {
	var samples []rates
	before := f.counts()
	for range duration / sampleInterval {
		time.Sleep(sampleInterval)
		now := f.counts()
		samples = append(samples, rates{now.reads - before.reads, now.writes - before.writes})
		before = now
	}
	return samples
}

func mean(samples []rates) rates {
	var sum rates
	for _, s := range samples {
		sum.reads += s.reads
		sum.writes += s.writes
	}
	seconds := float64(len(samples)) * sampleInterval.Seconds()
	return rates{sum.reads / seconds, sum.writes / seconds}
}

// peak returns the most calls in any second.
func peak(samples []rates) rates {
	window := int(time.Second / sampleInterval)
	var most rates
	for i := range samples {
		var sum rates
		for _, s := range samples[max(0, i-window+1) : i+1] {
			sum.reads += s.reads
			sum.writes += s.writes
		}
		most.reads, most.writes = math.Max(most.reads, sum.reads), math.Max(most.writes, sum.writes)
	}
	return most
}
