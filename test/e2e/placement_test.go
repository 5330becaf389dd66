package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

// placedNamePrefix is the prefix of the names of instances that placement starts
// for v1.
const placedNamePrefix = "appraisal-v1-"

// placedEngines runs an engine on each instance that placement starts.
type placedEngines struct {
	mu      sync.Mutex
	engines map[string]*engine.Server
	centres map[string]string // data centres by instance name, also of stopped instances
}

func (p *placedEngines) start(i cloud.Instance) (string, error) {
	if !strings.HasPrefix(i.Name, placedNamePrefix) {
		return "", nil
	}
	e := engine.New(engine.Options{Model: "base", Version: "none", LoadTime: 300 * time.Millisecond})
	if err := e.Start("127.0.0.1:0"); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[i.Name], p.centres[i.Name] = e, i.DataCentre
	return e.Address(), nil
}

func (p *placedEngines) stop(i cloud.Instance) {
	p.mu.Lock()
	e := p.engines[i.Name]
	delete(p.engines, i.Name)
	p.mu.Unlock()
	if e != nil {
		e.Close()
	}
}

// serving counts the engines with loaded weights that have served requests, by
// data centre.
func (p *placedEngines) serving() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[string]int)
	for name, e := range p.engines {
		if state := e.ControlState(); state.Model == "appraiser" && state.Version == "v1" && len(e.Stats().ByRequest) > 0 {
			n[p.centres[name]]++
		}
	}
	return n
}

// started counts the instances ever started, by data centre.
func (p *placedEngines) started() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[string]int)
	for _, dc := range p.centres {
		n[dc]++
	}
	return n
}

// chatLoad keeps n chats running until it is stopped.
type chatLoad struct {
	stop         chan struct{}
	group        sync.WaitGroup
	done, failed atomic.Int64
}

func startChatLoad(c *harness.Cluster, n, tokens int) *chatLoad {
	load := &chatLoad{stop: make(chan struct{})}
	for range n {
		load.group.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				default:
				}
				chat := c.StartChat(harness.ChatOptions{Tokens: tokens}, c.Daemons...)
				<-chat.Done
				load.done.Add(1)
				if chat.Err != nil {
					load.failed.Add(1)
					c.T.Logf("chat after %s: %v", chat.Ended.Sub(chat.Started), chat.Err)
				}
			}
		})
	}
	return load
}

func (l *chatLoad) end() {
	close(l.stop)
	l.group.Wait()
}

// upstreamObjects returns the number of upstreams that placement added and the
// revision, as a daemon reports them, or zeros if it does not answer.
func upstreamObjects(c *harness.Cluster, d *harness.Daemon) (int, int64) {
	status, err := c.Status(d)
	if err != nil {
		return 0, 0
	}
	n := 0
	for _, u := range status.Upstreams {
		if strings.HasPrefix(u.Name, placedNamePrefix) {
			n++
		}
	}
	return n, status.Revision
}

// Guards against placement that does not add capacity for the demand or after the
// reclaim of a data centre, and that changes the fleet while the cloud is down.
func TestPlacementFollowsDemandAndReclaims(t *testing.T) {
	t.Parallel()
	p := &placedEngines{engines: make(map[string]*engine.Server), centres: make(map[string]string)}
	options := cloud.Options{OnStart: p.start, OnStop: p.stop, StartTime: time.Second}
	for n, dc := range []string{"dc1", "dc2", "dc3"} {
		options.Offers = append(options.Offers, cloud.Offer{
			Class: "small", DataCentre: dc, OnDemandPrice: 3, ReclaimablePrice: 1 + 0.1*float64(n),
		})
	}
	c := harness.New(t, harness.Options{Engines: 1, Cloud: options, Settings: map[string]string{
		"platform.placement": "true", "platform.placement_slots": "4", "store.lease_ttl": "3s",
	}})
	load := startChatLoad(c, 18, 600)
	started := time.Now()
	c.Wait("placed engines serve", 60*time.Second, func() error {
		if n := p.serving(); len(n) < 2 {
			return fmt.Errorf("serving %v, started %v", n, p.started())
		}
		return nil
	})
	t.Logf("placed engines serve in two data centres after %s: %v", time.Since(started).Round(100*time.Millisecond), p.started())

	before := p.started()
	started = time.Now()
	c.Cloud.Reclaim("", "dc1", false, 4*time.Second)
	survivor := c.Daemons[1]
	c.Wait("replacements start", 30*time.Second, func() error {
		now := p.started()
		if now["dc2"]+now["dc3"] <= before["dc2"]+before["dc3"] {
			return fmt.Errorf("started %v, before the reclaim %v", now, before)
		}
		return nil
	})
	t.Logf("replacements run %s after the notice: %v, before %v", time.Since(started).Round(100*time.Millisecond), p.started(), before)
	time.Sleep(10 * time.Second)
	if now := p.started(); now["dc1"] > before["dc1"] {
		t.Errorf("replacements started in the reclaimed data centre: %v, before %v", now, before)
	}

	c.Cloud.SetFaults(cloud.Faults{Down: true})
	time.Sleep(6 * time.Second) // a placement plan in progress ends
	upstreams, revision := upstreamObjects(c, survivor)
	stats, done := c.Cloud.Stats(), load.done.Load()
	time.Sleep(12 * time.Second)
	upstreamsAfter, revisionAfter := upstreamObjects(c, survivor)
	if now := c.Cloud.Stats(); now.Starts != stats.Starts || now.Stops != stats.Stops ||
		upstreamsAfter != upstreams || revisionAfter != revision {
		t.Errorf("changes while the cloud was down: %d upstreams at revision %d, before %d at %d",
			upstreamsAfter, revisionAfter, upstreams, revision)
	}
	if load.done.Load() == done {
		t.Error("nothing was served while the cloud was down")
	}
	if upstreams == 0 {
		t.Error("no placed upstream is left")
	}
	load.end()
	t.Logf("%d of %d chats failed", load.failed.Load(), load.done.Load())
	if load.failed.Load() > 0 {
		t.Error("chats failed")
	}
	if err := c.CallOperatorAPI(survivor, http.MethodGet, "/readyz", nil, nil); err != nil {
		t.Error(err)
	}
}

// Guards against instances that placement starts without a valid lease while the
// store is down, and against a fleet that stays too small after the outage.
func TestPlacementPausesWithoutStore(t *testing.T) {
	t.Parallel()
	p := &placedEngines{engines: make(map[string]*engine.Server), centres: make(map[string]string)}
	c := harness.New(t, harness.Options{Engines: 1, Cloud: cloud.Options{OnStart: p.start, OnStop: p.stop, Offers: []cloud.Offer{
		{Class: "small", DataCentre: "dc1", OnDemandPrice: 3, ReclaimablePrice: 1},
		{Class: "small", DataCentre: "dc2", OnDemandPrice: 3, ReclaimablePrice: 1},
		{Class: "small", DataCentre: "dc3", OnDemandPrice: 3, ReclaimablePrice: 1},
	}}, Settings: map[string]string{
		"platform.placement": "true", "platform.placement_slots": "4", "store.lease_ttl": "3s",
	}})
	total := func() int { n := p.started(); return n["dc1"] + n["dc2"] + n["dc3"] }
	// All existing engines are reclaimable, so placement adds one on-demand instance.
	c.Wait("the first instance is placed", 30*time.Second, func() error {
		if n, _ := upstreamObjects(c, c.Daemons[0]); n != 1 {
			return fmt.Errorf("%d placed upstreams, started %v", n, p.started())
		}
		return nil
	})
	storeDown(t, c, store.DownHang)
	time.Sleep(4 * time.Second) // the lease expires and a placement plan in progress ends
	before := total()
	load := startChatLoad(c, 18, 300)
	time.Sleep(10 * time.Second)
	if now := total(); now != before {
		t.Errorf("%d instances were started while the store was down", now-before)
	}
	if load.done.Load() == 0 {
		t.Error("nothing was served while the store was down")
	}
	storeDown(t, c, store.DownNone)
	started := time.Now()
	c.Wait("instances start after the outage", 40*time.Second, func() error {
		if now := total(); now == before {
			return fmt.Errorf("started %v", p.started())
		}
		return nil
	})
	t.Logf("instances started %s after the store was back: %v", time.Since(started).Round(100*time.Millisecond), p.started())
	load.end()
	if load.failed.Load() > 0 {
		t.Errorf("%d of %d chats failed", load.failed.Load(), load.done.Load())
	}
}
