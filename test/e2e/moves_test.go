package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const (
	moveName = "to-v2"
	// maxVerdictDelay bounds the time after a verdict until no daemon sends new
	// requests to the version.
	maxVerdictDelay = 2 * time.Second
	// maxUnprovenPercent bounds the share of requests of an unproven version.
	maxUnprovenPercent = 5.0
)

// candidate is the new version of the appraisal service, one engine in each
// data centre.
type candidate struct{ engines []*engine.Server }

func startCandidate(t *testing.T, c *harness.Cluster) *candidate {
	t.Helper()
	n := &candidate{}
	var objects strings.Builder
	objects.WriteString("kind: Version\nmetadata: {name: v2}\nspec: {service: appraisal, model: appraiser, selector: appraisal-v2}\n" +
		"---\nkind: UpstreamSelector\nmetadata: {name: appraisal-v2}\n" +
		"spec: {selector: {matchLabels: {service: appraisal, version: v2}}}\n")
	for i := range c.Options.DataCentres {
		e := engine.New(engine.Options{Model: "appraiser", Version: "v2"})
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		n.engines = append(n.engines, e)
		fmt.Fprintf(&objects, "---\nkind: Upstream\nmetadata: {name: candidate-%d, labels: {service: appraisal, version: v2}}\n"+
			"spec: {address: %q, dataCentre: dc%d}\n", i+1, e.Address(), i+1)
	}
	c.WaitRevision(c.Apply(c.Daemons[0], objects.String()), c.Daemons...)
	return n
}

func (n *candidate) put(f fault.Faults) {
	for _, e := range n.engines {
		e.Faults().Put(f)
	}
}

func (n *candidate) requests() int {
	total := 0
	for _, e := range n.engines {
		total += e.Stats().Requests
	}
	return total
}

func startMove(t *testing.T, c *harness.Cluster, within time.Duration) operatorapi.MoveStatus {
	t.Helper()
	now := time.Now()
	body := fmt.Sprintf(`{"service":"appraisal","from":"v1","to":"v2","start":%q,"deadline":%q}`,
		now.Format(time.RFC3339Nano), now.Add(within).Format(time.RFC3339Nano))
	var status operatorapi.MoveStatus
	if err := c.CallOperatorAPI(c.Daemons[0], http.MethodPost, operatorapi.PathMoves+"/"+moveName+"/start", []byte(body), &status); err != nil {
		t.Fatalf("start the move: %v", err)
	}
	return status
}

func moveStatus(c *harness.Cluster, d *harness.Daemon) (operatorapi.MoveStatus, error) {
	var status operatorapi.MoveStatus
	err := c.CallOperatorAPI(d, http.MethodGet, operatorapi.PathMoves+"/"+moveName, nil, &status)
	return status, err
}

// waitState waits until every daemon reports a state of the move.
func waitState(c *harness.Cluster, state object.MoveState, limit time.Duration, daemons ...*harness.Daemon) {
	c.T.Helper()
	c.Wait("move "+string(state), limit, func() error {
		for _, d := range daemons {
			status, err := moveStatus(c, d)
			if err != nil {
				return err
			}
			if status.State != state {
				return fmt.Errorf("%s reports %+v", d.Name, status)
			}
		}
		return nil
	})
}

// Guards against a failing version that gets more than 5% of the requests, or any
// from 2 s after the verdict, also if the store goes down right after the start of
// the move; and against a verdict that is lost when every daemon is restarted.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	for name, down := range map[string]bool{"store up": false, "store down": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{})
			bad := startCandidate(t, c)
			bad.put(fault.Faults{FailRate: 1})
			load := c.StartLoad(24, c.Daemons...)
			startMove(t, c, 2*time.Minute)
			if down {
				c.WaitRevision(revisionOf(c), c.Daemons...)
				must(t, c.Store.SetFaults(store.Faults{Down: store.DownRefuse}))
			}
			firstSeen := waitRequests(c, bad)
			waitVerdict(c)
			verdict := time.Now()
			time.Sleep(maxVerdictDelay)
			before := bad.requests()
			time.Sleep(2 * time.Second)
			after := bad.requests()
			chats := load.Stop()
			c.CheckChats(chats...)
			report.Add(t, "requests to a bad version from 2 s after the verdict", float64(after-before), "requests", 0)
			report.Add(t, "share of a bad version", 100*float64(after)/float64(len(chats)), "%", maxUnprovenPercent)
			t.Logf("verdict %s after the first request of the bad version, which got %d of %d requests",
				verdict.Sub(firstSeen).Round(10*time.Millisecond), after, len(chats))
			if after != before {
				t.Errorf("%d requests reached the bad version 2 s after the verdict", after-before)
			}
			if down {
				must(t, c.Store.SetFaults(store.Faults{}))
			}
			waitState(c, object.MoveTakenBack, 30*time.Second, c.Daemons...)
			restartAll(c)
			waitState(c, object.MoveTakenBack, 15*time.Second, c.Daemons...)
		})
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// revisionOf returns the revision in force on the first daemon.
func revisionOf(c *harness.Cluster) int64 {
	status, err := c.Status(c.Daemons[0])
	if err != nil {
		c.T.Fatal(err)
	}
	return status.Revision
}

func waitRequests(c *harness.Cluster, n *candidate) time.Time {
	c.T.Helper()
	c.Wait("a request of the new version", 30*time.Second, func() error {
		if n.requests() == 0 {
			return fmt.Errorf("no request yet")
		}
		return nil
	})
	return time.Now()
}

// waitVerdict waits until at least one daemon reports the move as taken back or
// gives the new version a target share of 0%.
func waitVerdict(c *harness.Cluster) {
	c.T.Helper()
	c.Wait("verdict", 60*time.Second, func() error {
		for _, d := range c.Daemons {
			if status, err := moveStatus(c, d); err == nil && (status.State == object.MoveTakenBack || status.TargetPercent == 0) {
				return nil
			}
		}
		return fmt.Errorf("no daemon has a verdict")
	})
}

// restartAll restarts the daemons one after another.
func restartAll(c *harness.Cluster) {
	c.T.Helper()
	for _, d := range c.Daemons {
		if err := d.Restart(); err != nil {
			c.T.Error(err)
		}
		c.WaitReady(d)
	}
}

// Guards against a move to a good version that does not have all traffic by the
// deadline or is not reported as done.
func TestGoodMoveIsDoneInTime(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{})
	good := startCandidate(t, c)
	load := c.StartLoad(24, c.Daemons...)
	const within = 45 * time.Second
	started := time.Now()
	startMove(t, c, within)
	waitState(c, object.MoveDone, within+15*time.Second, c.Daemons...)
	took := time.Since(started)
	report.Add(t, "time until a good move is reported as done", took.Seconds(), "s", (within + 15*time.Second).Seconds())
	before, oldBefore := good.requests(), oldVersionRequests(c)
	time.Sleep(2 * time.Second)
	if after := good.requests(); after == before {
		t.Error("the new version gets no request after the move")
	}
	if old := oldVersionRequests(c) - oldBefore; old != 0 {
		t.Errorf("%d requests reached the old version after the move was reported as done", old)
	}
	c.CheckChats(load.Stop()...)
}

func oldVersionRequests(c *harness.Cluster) int {
	total := 0
	for _, e := range c.Engines {
		total += e.Stats().Requests
	}
	return total
}
