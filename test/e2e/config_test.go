package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const (
	// inForceLimit is the time from the acceptance of a change until every
	// daemon follows it.
	inForceLimit = 3 * time.Second
	// inForceWait ends the wait for a daemon that does not follow.
	inForceWait = 6 * time.Second
	pollEvery   = 10 * time.Millisecond
)

// timesInForce measures on each daemon the time from accepted until a revision
// is in force; a daemon that does not follow counts with inForceWait.
func timesInForce(c *harness.Cluster, revision int64, accepted time.Time) []time.Duration {
	times := make([]time.Duration, len(c.Daemons))
	var group sync.WaitGroup
	for i, d := range c.Daemons {
		group.Go(func() {
			times[i] = inForceWait
			for time.Since(accepted) < inForceWait {
				if status, err := c.Status(d); err == nil && status.Revision >= revision {
					times[i] = time.Since(accepted)
					return
				}
				time.Sleep(pollEvery)
			}
		})
	}
	group.Wait()
	return times
}

func percentile99(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[max(0, (len(times)*99+99)/100-1)]
}

// An accepted change must be in force on every daemon within 3 s (G8), however
// the store behaves at the time and afterwards.
func TestConfigurationInForce(t *testing.T) {
	cases := []struct {
		name    string
		faults  store.Faults
		changes int
		down    bool // right after the acceptance
	}{
		{name: "store healthy", changes: 25},
		{name: "store slow", changes: 5, faults: store.Faults{DelayMillis: 1000}},
		{name: "store loses replies", changes: 12, faults: store.Faults{LoseReplies: 0.3, LoseByReset: true}},
		{name: "store never answers some writes", changes: 6, faults: store.Faults{LoseReplies: 0.3}},
		{name: "store down after acceptance", changes: 4, down: true},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{Engines: 1})
			var times []time.Duration
			refused := 0
			for i := range one.changes {
				setFaults(t, c, one.faults)
				revision, err := c.TryApply(c.Daemons[i%len(c.Daemons)], harness.AccountObject("acceptance", i+1))
				accepted := time.Now()
				if err != nil {
					refused++
					t.Logf("change %d: %v", i, err)
					continue
				}
				if one.down {
					storeDown(t, c, store.DownRefuse)
				}
				times = append(times, timesInForce(c, revision, accepted)...)
			}
			setFaults(t, c, store.Faults{})
			if len(times) == 0 {
				t.Fatal("no change was accepted")
			}
			report.Add(t, "p99 from accepted to in force: "+one.name, percentile99(times).Seconds(), "s", inForceLimit.Seconds())
			report.Add(t, "share of changes refused: "+one.name, float64(refused)/float64(one.changes), "share", 1)
		})
	}
}

func setFaults(t *testing.T, c *harness.Cluster, faults store.Faults) {
	t.Helper()
	if err := c.Store.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
}

// increment adds 1 to the weight of an account by read, change and write. It
// repeats after conflicts and counts only an accepted write.
func increment(c *harness.Cluster, d *harness.Daemon, name string) error {
	path := fmt.Sprintf("%s/%s/%s", operatorapi.PathObjects, object.KindClientAccount, name)
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		var list operatorapi.ObjectList
		if err := c.Operate(d, http.MethodGet, path, nil, &list); err != nil {
			return err
		}
		o := list.Objects[0]
		o.Spec.(*object.ClientAccount).Weight++
		body, err := json.Marshal(o)
		if err != nil {
			return err
		}
		_, err = c.TryApply(d, string(body))
		if err == nil {
			return nil
		}
		if code := result.CodeOf(err); code != result.Conflict && code != result.StaleRevision {
			return err
		}
		time.Sleep(pollEvery)
	}
	return fmt.Errorf("only conflicts on %s", d.Name)
}

// Operators who race on one object must not lose an accepted update (G8), also
// if the store loses replies; an update with an unknown outcome may count.
func TestRacingOperators(t *testing.T) {
	for name, faults := range map[string]store.Faults{
		"store healthy": {}, "store loses replies": {LoseReplies: 0.2, LoseByReset: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raceOperators(t, faults)
		})
	}
}

func raceOperators(t *testing.T, faults store.Faults) {
	c := harness.New(t, harness.Options{Engines: 1, Settings: map[string]string{
		"store.writes_per_second": "200", "store.reads_per_second": "500",
	}})
	c.WaitRevision(c.Apply(c.Daemons[0], harness.AccountObject("raced", 1)), c.Daemons...)
	setFaults(t, c, faults)
	const each = 4
	var unknown atomic.Int64
	note := func(err error) {
		if result.CodeOf(err) == result.StoreOutcomeUnknown {
			unknown.Add(1)
		} else if err != nil {
			t.Error(err)
		}
	}
	var group sync.WaitGroup
	for i, d := range c.Daemons {
		group.Go(func() {
			for n := range each {
				note(increment(c, d, "raced"))
				_, err := c.TryApply(d, harness.AccountObject(fmt.Sprintf("own-%d-%d", i, n), 1))
				note(err)
			}
		})
	}
	group.Wait()
	setFaults(t, c, store.Faults{})
	time.Sleep(inForceLimit)
	for _, d := range c.Daemons {
		var list operatorapi.ObjectList
		if err := c.Operate(d, http.MethodGet, operatorapi.PathObjects+"/ClientAccount", nil, &list); err != nil {
			t.Fatal(err)
		}
		own, weight := 0, 0
		for _, o := range list.Objects {
			if strings.HasPrefix(o.Metadata.Name, "own-") {
				own++
			}
			if o.Metadata.Name == "raced" {
				weight = o.Spec.(*object.ClientAccount).Weight
			}
		}
		want, open := each*len(c.Daemons), int(unknown.Load())
		if weight > 1+want || own > want || weight-1+own < 2*want-open {
			t.Errorf("%s: weight %d of %d, %d of %d objects, %d unknown", d.Name, weight, 1+want, own, want, open)
		}
	}
}

// A daemon that starts while the store is down must take its state from a peer
// and serve.
func TestStartDuringStoreOutage(t *testing.T) {
	for _, down := range []store.Down{store.DownRefuse, store.DownHang} {
		t.Run(string(down), func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{Engines: 1})
			revision := c.Apply(c.Daemons[1], harness.AccountObject("late", 7))
			c.WaitRevision(revision, c.Daemons...)
			storeDown(t, c, down)
			d := c.Daemons[c.Random(len(c.Daemons))]
			d.Kill()
			started := time.Now()
			if err := d.Start(); err != nil {
				t.Fatal(err)
			}
			c.WaitReady(d)
			c.WaitRevision(revision, d)
			report.Add(t, "start to serving during a store outage: "+string(down), time.Since(started).Seconds(), "s", 10)
			c.CheckChats(c.StartChat(harness.ChatOptions{}, d))
		})
	}
}

// A store that comes back with old data must not revert the configuration, and
// the fault must be visible to operators (G8).
func TestStoreRolledBack(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Engines: 1})
	old := c.Store.Revision()
	var revision int64
	for i := range 3 {
		revision = c.Apply(c.Daemons[i], harness.AccountObject("kept", i+1))
	}
	c.WaitRevision(revision, c.Daemons...)
	if err := c.Store.Rollback(old); err != nil {
		t.Fatal(err)
	}
	c.Wait("fault in the status of a daemon", 10*time.Second, func() error { return faultReported(c) })
	restarted := c.Daemons[len(c.Daemons)-1]
	if err := restarted.Restart(); err != nil {
		t.Error(err)
	}
	c.Wait("the kept revision after a restart", 10*time.Second, func() error { return notReverted(c, restarted, revision) })
	time.Sleep(inForceLimit)
	for _, d := range c.Daemons {
		if err := notReverted(c, d, revision); err != nil {
			t.Error(err)
		}
	}
	if accepted, err := c.TryApply(c.Daemons[0], harness.AccountObject("after", 1)); err == nil && accepted <= revision {
		t.Errorf("a change was accepted as revision %d although %d was in force", accepted, revision)
	}
}

// faultReported returns nil if at least one daemon shows the fault of the
// store in its status and in /readyz.
func faultReported(c *harness.Cluster) error {
	for _, d := range c.Daemons {
		var ready struct {
			StoreFault string `json:"storeFault"`
		}
		status, err := c.Status(d)
		if err != nil {
			return err
		}
		if err := c.Operate(d, http.MethodGet, "/readyz", nil, &ready); err != nil {
			return err
		}
		if status.StoreFault != "" && ready.StoreFault != "" {
			return nil
		}
	}
	return fmt.Errorf("no daemon reports the fault")
}

func notReverted(c *harness.Cluster, d *harness.Daemon, revision int64) error {
	status, err := c.Status(d)
	if err != nil {
		return err
	}
	var list operatorapi.ObjectList
	if err := c.Operate(d, http.MethodGet, operatorapi.PathObjects+"/ClientAccount/kept", nil, &list); err != nil {
		return fmt.Errorf("%s at revision %d: %w", d.Name, status.Revision, err)
	}
	if weight := list.Objects[0].Spec.(*object.ClientAccount).Weight; status.Revision < revision || weight != 3 {
		return fmt.Errorf("%s reverted to revision %d, weight %d", d.Name, status.Revision, weight)
	}
	return nil
}
