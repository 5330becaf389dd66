package coordination

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// keepInterval is the time between two writes of the counts: the usage that
	// is lost when all machines lose power, beside what daemons have not reported.
	// A twentieth of a metering window of 5 s may be lost.
	keepInterval = 200 * time.Millisecond
	// keepTimeout bounds a call to the store.
	keepTimeout = 800 * time.Millisecond
	// storedWindows is the number of windows that are written.
	storedWindows = 3
)

// addWindows takes over counts, which only rise.
func (d *daemonReport) addWindows(windows []*coordinatorv1.WindowCount) {
	for _, w := range windows {
		counts := d.windows[w.Window]
		if counts == nil {
			counts = map[string]int64{}
			d.windows[w.Window] = counts
		}
		counts[w.Account] = max(counts[w.Account], w.Count)
	}
}

// usage encodes the counts of the newest windows of all daemons.
func (c *Coordinator) usage() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := int64(0)
	for _, report := range c.reports {
		for window := range report.windows {
			newest = max(newest, window)
		}
	}
	state := &coordinatorv1.UsageState{}
	for name, report := range c.reports {
		daemon := &coordinatorv1.ReportRequest{Daemon: name}
		for window, counts := range report.windows {
			if window <= newest-storedWindows {
				continue
			}
			for account, count := range counts {
				daemon.Windows = append(daemon.Windows, &coordinatorv1.WindowCount{Window: window, Account: account, Count: count})
			}
		}
		if len(daemon.Windows) > 0 {
			state.Daemons = append(state.Daemons, daemon)
		}
	}
	sortUsage(state)
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// restore takes over the counts that the holder before has written.
func (c *Coordinator) restore(value []byte) error {
	state := &coordinatorv1.UsageState{}
	if err := proto.Unmarshal(value, state); err != nil {
		return errors.Wrap(err, "decode usage counts")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, daemon := range state.Daemons {
		report := c.reports[daemon.Daemon]
		if report == nil {
			report = &daemonReport{windows: map[int64]map[string]int64{}, at: c.config.Now() - silentAfter}
			c.reports[daemon.Daemon] = report
		}
		report.addWindows(daemon.Windows)
	}
	c.restored = true
	return nil
}

// CountsKeeper writes the usage counts to the store, so that they outlive the
// coordinator.
type CountsKeeper struct {
	Coordinator *Coordinator
	Store       store.Store
	Key         string
	Token       func() int64
	Log         *slog.Logger

	token    int64
	revision int64
	written  []byte
}

// Run writes until ctx ends.
func (k *CountsKeeper) Run(ctx context.Context) error {
	return duty.Every(ctx, keepInterval, func(ctx context.Context) {
		if err := k.Step(ctx); err != nil && ctx.Err() == nil {
			k.Log.Warn("usage counts not kept", "error", err)
		}
	})
}

// Step restores the counts after a change of the holder, and writes them if
// they have changed.
func (k *CountsKeeper) Step(ctx context.Context) error {
	token := k.Token()
	if token == 0 {
		k.token = 0
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if token != k.token {
		return k.takeOver(ctx, token)
	}
	value, err := k.Coordinator.usage()
	if err != nil {
		return errors.Wrap(err, "encode usage counts")
	}
	if bytes.Equal(value, k.written) {
		return nil
	}
	result, err := k.Store.Txn(ctx,
		[]store.Condition{{Key: k.Key, ModRevision: k.revision}}, []store.Op{{Key: k.Key, Value: value}})
	if err != nil || !result.Succeeded {
		k.token = 0 // read the key again: the write may have taken effect, or another holder has written
		return err
	}
	k.revision, k.written = result.Revision, value
	return nil
}

func (k *CountsKeeper) takeOver(ctx context.Context, token int64) error {
	kv, err := k.Store.Get(ctx, k.Key)
	if err != nil {
		return err
	}
	k.Coordinator.begin()
	if err := k.Coordinator.restore(kv.Value); err != nil {
		return err
	}
	k.token, k.revision, k.written = token, kv.ModRevision, kv.Value
	return nil
}

// begin notices a new token, so that what is restored isn't dropped again.
func (c *Coordinator) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.hold(); err != nil {
		c.config.Log.Info("duty lost while usage counts were read")
	}
}

// Leave writes this daemon's counts to the store if the coordinator didn't
// take the last report. The coordinator finds its own write refused then, and
// reads the key again.
func (a *Agent) Leave(ctx context.Context, s store.Store, key string) error {
	if a.Report(ctx) {
		return nil
	}
	kv, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	state := &coordinatorv1.UsageState{}
	if err := proto.Unmarshal(kv.Value, state); err != nil {
		return errors.Wrap(err, "decode usage counts")
	}
	own := a.makeReport()
	state.Daemons = append(state.Daemons, &coordinatorv1.ReportRequest{Daemon: own.Daemon, Windows: own.Windows})
	value, err := proto.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encode usage counts")
	}
	_, err = s.Txn(ctx, []store.Condition{{Key: key, ModRevision: kv.ModRevision}}, []store.Op{{Key: key, Value: value}})
	return err
}
