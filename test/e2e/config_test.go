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
	// maxInForceDelay bounds the time from the acceptance of a change until it is
	// in force on every daemon.
	maxInForceDelay = 3 * time.Second
	// inForceTimeout ends the wait for a daemon that does not apply a change.
	inForceTimeout = 15 * time.Second
	// maxOutcomeDelay bounds the time in which a daemon finds out whether a write
	// whose reply was lost succeeded: two store calls that time out.
	maxOutcomeDelay = 4 * time.Second
	pollInterval    = 10 * time.Millisecond
)

// timesInForce returns for each daemon the time from which it follows a revision;
// for a daemon that does not, the end of the wait.
func timesInForce(c *harness.Cluster, revision int64) []time.Time {
	times := make([]time.Time, len(c.Daemons))
	deadline := time.Now().Add(inForceTimeout)
	var group sync.WaitGroup
	for i, d := range c.Daemons {
		group.Go(func() {
			times[i] = deadline
			for time.Now().Before(deadline) {
				if status, err := c.Status(d); err == nil && status.Revision >= revision {
					times[i] = time.Now()
					return
				}
				time.Sleep(pollInterval)
			}
		})
	}
	group.Wait()
	return times
}

// nextWriteTime returns a channel with the time of the store's next write. It is
// closed without a value if there is none within inForceTimeout.
func nextWriteTime(c *harness.Cluster) <-chan time.Time {
	before, at := c.Store.Revision(), make(chan time.Time, 1)
	go func() {
		defer close(at)
		for deadline := time.Now().Add(inForceTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if c.Store.Revision() > before {
				at <- time.Now()
				return
			}
		}
	}()
	return at
}

// change holds the times of one change. inForce has a time for each daemon.
type change struct {
	revision         int64
	stored, accepted time.Time
	inForce          []time.Time
}

// makeChange applies a change that becomes revision last+1. If down is set, the
// store goes down after the acceptance.
func makeChange(t *testing.T, c *harness.Cluster, n int, last int64, down bool) (change, error) {
	result, written := make(chan []time.Time, 1), nextWriteTime(c)
	go func() { result <- timesInForce(c, last+1) }()
	revision, err := c.TryApply(c.Daemons[n%len(c.Daemons)], harness.AccountObject("acceptance", n+1))
	made := change{revision: revision, accepted: time.Now()}
	if err == nil && down {
		storeDown(t, c, store.DownRefuse)
	}
	made.inForce, made.stored = <-result, <-written
	return made, err
}

func percentile99(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[max(0, (len(times)*99+99)/100-1)]
}

// Guards against an accepted change that is not in force on every daemon within
// 3 s (G8) because the store is slow, loses replies or goes down.
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
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{Engines: 1})
			var accepted, written []time.Duration
			refused := 0
			for i := range tc.changes {
				setFaults(t, c, tc.faults)
				made, err := makeChange(t, c, i, currentRevision(c), tc.down)
				if err != nil {
					refused++
					t.Logf("change %d: %v", i, err)
					continue
				}
				for _, at := range made.inForce {
					accepted, written = append(accepted, at.Sub(made.accepted)), append(written, at.Sub(made.stored))
				}
			}
			setFaults(t, c, store.Faults{})
			if len(accepted) == 0 {
				t.Fatal("no change was accepted")
			}
			limit := maxInForceDelay
			report.Add(t, "p99 from accepted to in force: "+tc.name, percentile99(accepted).Seconds(), "s", limit.Seconds())
			if tc.faults.LoseReplies > 0 {
				limit += maxOutcomeDelay
			}
			report.Add(t, "p99 from stored to in force: "+tc.name, percentile99(written).Seconds(), "s", limit.Seconds())
			report.Add(t, "share of changes refused: "+tc.name, float64(refused)/float64(tc.changes), "share", 1)
		})
	}
}

// currentRevision returns the highest revision in force on any daemon.
func currentRevision(c *harness.Cluster) int64 {
	c.T.Helper()
	highest := int64(0)
	for _, d := range c.Daemons {
		status, err := c.Status(d)
		if err != nil {
			c.T.Fatal(err)
		}
		highest = max(highest, status.Revision)
	}
	return highest
}

func setFaults(t *testing.T, c *harness.Cluster, faults store.Faults) {
	t.Helper()
	if err := c.Store.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
}

// increment adds 1 to the weight of an account by read-modify-write. It retries
// after conflicts and returns nil only for an accepted write.
func increment(c *harness.Cluster, d *harness.Daemon, name string) error {
	path := fmt.Sprintf("%s/%s/%s", operatorapi.PathObjects, object.KindClientAccount, name)
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		var list operatorapi.ObjectList
		if err := c.CallOperatorAPI(d, http.MethodGet, path, nil, &list); err != nil {
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
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("increment %s on %s: conflicts until the deadline", name, d.Name)
}

// Guards against accepted updates that are lost when operators update one object
// concurrently (G8), also if the store loses replies. An update with an unknown
// outcome may or may not be stored.
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
	record := func(err error) {
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
				record(increment(c, d, "raced"))
				_, err := c.TryApply(d, harness.AccountObject(fmt.Sprintf("own-%d-%d", i, n), 1))
				record(err)
			}
		})
	}
	group.Wait()
	setFaults(t, c, store.Faults{})
	time.Sleep(maxInForceDelay)
	for _, d := range c.Daemons {
		var list operatorapi.ObjectList
		if err := c.CallOperatorAPI(d, http.MethodGet, operatorapi.PathObjects+"/ClientAccount", nil, &list); err != nil {
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
		want, unknownCount := each*len(c.Daemons), int(unknown.Load())
		if weight > 1+want || own > want || weight-1+own < 2*want-unknownCount {
			t.Errorf("%s: weight %d of %d, %d of %d objects, %d unknown", d.Name, weight, 1+want, own, want, unknownCount)
		}
	}
}

// Guards against a daemon that does not become ready when it starts while the
// store is down: it must get its state from a peer.
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

// Guards against a configuration that is reverted when the store is restored from
// old data, and against such a fault that operators cannot see (G8).
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
	c.Wait("the newer revision after a restart", 10*time.Second, func() error { return notReverted(c, restarted, revision) })
	time.Sleep(maxInForceDelay)
	for _, d := range c.Daemons {
		if err := notReverted(c, d, revision); err != nil {
			t.Error(err)
		}
	}
	if accepted, err := c.TryApply(c.Daemons[0], harness.AccountObject("after", 1)); err == nil && accepted <= revision {
		t.Errorf("a change was accepted as revision %d although %d was in force", accepted, revision)
	}
}

// faultReported returns nil if at least one daemon reports the store fault in its
// status and in /readyz.
func faultReported(c *harness.Cluster) error {
	for _, d := range c.Daemons {
		var ready struct {
			StoreFault string `json:"storeFault"`
		}
		status, err := c.Status(d)
		if err != nil {
			return err
		}
		if err := c.CallOperatorAPI(d, http.MethodGet, "/readyz", nil, &ready); err != nil {
			return err
		}
		if status.StoreFault != "" && ready.StoreFault != "" {
			return nil
		}
	}
	return fmt.Errorf("no daemon reports the store fault in its status and in /readyz")
}

// notReverted returns an error unless a daemon has at least the revision, and the
// last weight of the account "kept".
func notReverted(c *harness.Cluster, d *harness.Daemon, revision int64) error {
	status, err := c.Status(d)
	if err != nil {
		return err
	}
	var list operatorapi.ObjectList
	if err := c.CallOperatorAPI(d, http.MethodGet, operatorapi.PathObjects+"/ClientAccount/kept", nil, &list); err != nil {
		return fmt.Errorf("%s at revision %d: %w", d.Name, status.Revision, err)
	}
	if weight := list.Objects[0].Spec.(*object.ClientAccount).Weight; status.Revision < revision || weight != 3 {
		return fmt.Errorf("%s reverted to revision %d, weight %d", d.Name, status.Revision, weight)
	}
	return nil
}
