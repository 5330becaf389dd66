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
	// writeInterval is the time between two writes of the counts. If all machines
	// lose power, the usage since the last write is lost, in addition to what
	// daemons have not reported. The allowed loss is a twentieth of a metering
	// window of 5 s.
	writeInterval = 200 * time.Millisecond
	// storeTimeout bounds the calls to the store in one step.
	storeTimeout = 800 * time.Millisecond
	// minKeptWindows is the least number of windows that are kept of each daemon. It
	// exceeds those that daemons report and that are written to the store.
	minKeptWindows = 24
	// persistedWindows is the number of recent windows written to the store.
	persistedWindows = 3
)

// keptWindows returns the number of usage windows that are kept of each daemon.
func (c *Coordinator) keptWindows() int64 { return max(c.config.UsageWindows, minKeptWindows) }

// addWindows merges reported counts and keeps those of the latest windows. Counts only
// increase, so the larger value of each is the newer one.
func (d *daemonReport) addWindows(windows []*coordinatorv1.WindowCount, kept int64) {
	for _, w := range windows {
		counts := d.windows[w.Window]
		if counts == nil {
			counts = map[string]int64{}
			d.windows[w.Window] = counts
			for old := range d.windows {
				if old <= w.Window-kept {
					delete(d.windows, old)
				}
			}
		}
		counts[w.Account] = max(counts[w.Account], w.Count)
	}
}

// encodeUsage encodes the counts of all daemons for the most recent windows.
func (c *Coordinator) encodeUsage() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := int64(0)
	for _, report := range c.reports {
		for window := range report.windows {
			latest = max(latest, window)
		}
	}
	state := c.compactUsage(latest - persistedWindows + 1)
	if c.earlierVersions() {
		state = c.listedUsage(latest - persistedWindows + 1)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// restore merges the counts that the previous holder wrote.
func (c *Coordinator) restore(value []byte) error {
	state := &coordinatorv1.UsageState{}
	if err := proto.Unmarshal(value, state); err != nil {
		return errors.Wrap(err, "decode usage counts")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, daemon := range append(state.Daemons, expandUsage(state)...) {
		report := c.reports[daemon.Daemon]
		if report == nil {
			report = &daemonReport{windows: map[int64]map[string]int64{}, received: c.config.Now() - silentAfter}
			c.reports[daemon.Daemon] = report
		}
		report.addWindows(daemon.Windows, c.keptWindows())
	}
	c.restored = true
	return nil
}

// UsagePersister writes the usage counts to the store, so that they survive a
// change of the coordinator.
type UsagePersister struct {
	Coordinator *Coordinator
	Store       store.Store
	Key         string
	Token       func() int64 // fencing token, 0 while the duty isn't held
	Log         *slog.Logger

	token     int64  // under which the counts were restored
	revision  int64  // of Key
	lastValue []byte // value last written or read
}

// Run writes the counts periodically until ctx is done.
func (p *UsagePersister) Run(ctx context.Context) error {
	return duty.Every(ctx, writeInterval, func(ctx context.Context) {
		if err := p.Step(ctx); err != nil && ctx.Err() == nil {
			p.Log.Warn("usage counts not kept", "error", err)
		}
	})
}

// Step restores the counts if this daemon has just acquired the duty, and
// otherwise writes them if they have changed.
func (p *UsagePersister) Step(ctx context.Context) error {
	token := p.Token()
	if token == 0 {
		p.token = 0
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if token != p.token {
		return p.takeOver(ctx, token)
	}
	value, err := p.Coordinator.encodeUsage()
	if err != nil {
		return errors.Wrap(err, "encode usage counts")
	}
	if bytes.Equal(value, p.lastValue) {
		return nil
	}
	result, err := p.Store.Txn(ctx,
		[]store.Condition{{Key: p.Key, ModRevision: p.revision}}, []store.Op{{Key: p.Key, Value: value}})
	if err != nil || !result.Succeeded {
		p.token = 0 // read the key again: this write may have taken effect, or another holder has written
		return err
	}
	p.revision, p.lastValue = result.Revision, value
	return nil
}

func (p *UsagePersister) takeOver(ctx context.Context, token int64) error {
	kv, err := p.Store.Get(ctx, p.Key)
	if err != nil {
		return err
	}
	p.Coordinator.syncToken()
	if err := p.Coordinator.restore(kv.Value); err != nil {
		return err
	}
	p.token, p.revision, p.lastValue = token, kv.ModRevision, kv.Value
	return nil
}

// syncToken discards the state of an earlier token before the counts are restored.
// Otherwise the next report would discard the restored counts too.
func (c *Coordinator) syncToken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkDuty(); err != nil {
		c.config.Log.Info("duty lost while usage counts were read")
	}
}

// FlushUsage sends a last report, and writes this daemon's counts to the store
// if the coordinator doesn't accept it. The next conditional write of the
// coordinator then fails, and it reads the key again.
func (a *Agent) FlushUsage(ctx context.Context, s store.Store, key string) error {
	a.mu.Lock()
	a.usageAck.forget() // no report will follow if the coordinator has changed
	a.mu.Unlock()
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
