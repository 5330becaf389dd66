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

// Limits of the platform on the store calls of the whole fleet.
const (
	storeWritesPerSecond = store.FleetWritesPerSecond
	storeReadsPerSecond  = store.FleetReadsPerSecond
)

// loadRetryInterval is the pause between two reads by a daemon that has no
// configuration yet, as in internal/daemon.
const loadRetryInterval = time.Second

func measureStore(r *run) error {
	var group sync.WaitGroup
	failures := make([]error, len(daemonSizes))
	outages := make([]*outageRates, len(daemonSizes))
	for i, n := range daemonSizes {
		group.Go(func() { outages[i], failures[i] = runOutage(n) })
	}
	group.Wait()
	for i, n := range daemonSizes {
		if failures[i] != nil {
			return errors.Wrapf(failures[i], "%d daemons", n)
		}
		o, size := outages[i], float64(n)
		r.record("store.rest_reads", "daemons", "reads/s of the fleet, waiting watches included", size, o.rest.reads)
		r.record("store.rest_writes", "daemons", "writes/s of the fleet", size, o.rest.writes)
		r.record("store.outage_peak_reads", "daemons", "reads in the worst second after an outage", size, o.peak.reads)
		r.record("store.outage_peak_writes", "daemons", "writes in the worst second after an outage", size, o.peak.writes)
		r.record("store.outage_mean_reads", "daemons", "reads/s in 10 s after an outage", size, o.mean.reads)
	}
	r.addLimit("store: reads in the worst second after an outage, 420 daemons", r.find("store.outage_peak_reads").last(), storeReadsPerSecond, "1/s")
	r.addLimit("store: writes in the worst second after an outage, 420 daemons", r.find("store.outage_peak_writes").last(), storeWritesPerSecond, "1/s")
	r.addLimit("store: reads a second at rest, 420 daemons", r.find("store.rest_reads").last(), storeReadsPerSecond, "1/s")
	measureShares(r)
	return nil
}

// measureShares compares the store calls that a daemon has to make with its share
// of the limits at the default settings.
func measureShares(r *run) {
	for _, n := range daemonSizes {
		b := store.NewBudget(idleStore{}, store.BudgetOptions{
			WritesPerSecond: defaults.Store.WritesPerSecond, ReadsPerSecond: defaults.Store.ReadsPerSecond, Daemons: n,
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := b.Watch(ctx, "/", 0)
		_, reads := b.Share()
		for i := 0; i < 100 && reads == defaults.Store.ReadsPerSecond/float64(n); i++ { // until the budget counts the watch
			time.Sleep(time.Millisecond)
			_, reads = b.Share()
		}
		writes, _ := b.Share()
		cancel()
		for range ended {
			continue
		}
		r.record("store.share_writes", "daemons", "writes/s that one daemon may make by default", float64(n), writes)
		r.record("store.share_reads", "daemons", "reads/s that a watching daemon may make by default", float64(n), reads)
	}
	// A watching daemon reads the head every 10 s.
	r.addLimit("store: head checks a second of a watching daemon against its default share, 420 daemons",
		0.1, r.find("store.share_reads").last(), "1/s")
	r.addLimit("store: 47,000 changes a day through one daemon against its default share, 420 daemons",
		changesPerSecond, r.find("store.share_writes").last(), "1/s")
}

// idleStore is a store whose watches deliver no events.
type idleStore struct{ store.Store }

// Watch implements store.Store.
func (idleStore) Watch(ctx context.Context, _ string, _ int64) <-chan store.WatchBatch {
	batches := make(chan store.WatchBatch)
	context.AfterFunc(ctx, func() { close(batches) })
	return batches
}

type rates struct{ reads, writes float64 }

// outageRates are the rates of store calls of a fleet: at rest before an outage,
// and the peak and the mean after it.
type outageRates struct{ rest, peak, mean rates }

// runOutage runs a store outage for a fleet of n daemons. Two daemons of each data
// centre watch the store. During the outage n further daemons start that know no
// peer and read the configuration once per second until the store is available again.
func runOutage(n int) (*outageRates, error) {
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
	return &outageRates{rest: mean(rest), peak: peak(after), mean: mean(after)}, nil
}

// storeFleet is a fleet of daemons with only their store clients, on one store.
type storeFleet struct {
	server   *standin.Server
	n        int
	group    sync.WaitGroup
	cleanups []func()

	mu      sync.Mutex
	loaders []*config.Manager
}

func (f *storeFleet) manager(daemons int) (*config.Manager, error) {
	client, err := etcdv3.New(etcdv3.Options{Addresses: []string{f.server.Address()}, Timeout: 2 * time.Second})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.cleanups = append(f.cleanups, func() { _ = client.Close() })
	f.mu.Unlock()
	budget := store.NewBudget(client, store.BudgetOptions{WritesPerSecond: storeWritesPerSecond, ReadsPerSecond: storeReadsPerSecond, Daemons: daemons})
	return config.NewManager(config.Options{Store: budget, Logger: discardLogger(), Daemon: "capacity"}), nil
}

func (f *storeFleet) fill() error {
	m, err := f.manager(1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	objects := newConfiguration(20)
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

func (f *storeFleet) start(task func(context.Context, *config.Manager)) {
	m, err := f.manager(f.n)
	if err != nil {
		return // not expected: fill has used the same address
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	f.cleanups = append(f.cleanups, cancel)
	f.mu.Unlock()
	f.group.Go(func() { task(ctx, m) })
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
	for _, cleanup := range f.cleanups {
		cleanup()
	}
	f.group.Wait()
}

// counts returns the number of calls that the store has received, including those
// that it refused.
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

// sample returns the numbers of calls in each sampleInterval of a duration.
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

// peak returns the highest numbers of calls in any second.
func peak(samples []rates) rates {
	window := int(time.Second / sampleInterval)
	var highest rates
	for i := range samples {
		var sum rates
		for _, s := range samples[max(0, i-window+1) : i+1] {
			sum.reads += s.reads
			sum.writes += s.writes
		}
		highest.reads, highest.writes = math.Max(highest.reads, sum.reads), math.Max(highest.writes, sum.writes)
	}
	return highest
}
