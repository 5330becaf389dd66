package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
)

// Guards against a daemon that is frozen for longer than the suspicion time and is
// not declared dead, or does not rejoin and serve requests and orders after it is
// resumed.
func TestFrozenDaemonRejoins(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Engines: 1})
	frozen, others := c.Daemons[2], append(append([]*harness.Daemon{}, c.Daemons[:2]...), c.Daemons[3:]...)
	frozen.Freeze()
	started := time.Now()
	c.WaitMembers(len(others), others...)
	report.Add(t, "frozen daemon no longer alive everywhere", time.Since(started).Seconds(), "s", 6)
	time.Sleep(suspicionTime)
	if status, err := c.Status(others[0]); err != nil || memberState(status, frozen.Name) != "dead" {
		t.Errorf("the frozen daemon is %q after %s: %v", memberState(status, frozen.Name), time.Since(started), err)
	}
	changed := c.Apply(others[0], harness.AccountObject("while-frozen", 5))
	frozen.Thaw()
	started = time.Now()
	c.WaitMembers(len(c.Daemons), c.Daemons...)
	c.WaitReady(frozen)
	c.WaitRevision(changed, frozen)
	report.Add(t, "thawed daemon back everywhere", time.Since(started).Seconds(), "s", 6)
	c.CheckChats(c.StartChat(harness.ChatOptions{}, frozen))
	c.Wait("order at the thawed daemon", 5*time.Second, func() error {
		token, err := c.OrderToken(frozen)
		if err != nil {
			return err
		}
		if a := c.Order(others[0], harness.OrderKey(token)); a.Execution != result.Ran {
			return fmt.Errorf("execution %q: %w", a.Execution, a.Err)
		}
		return nil
	})
	c.CheckOrders()
}

// memberState returns the state of the newest incarnation of a daemon.
func memberState(status operatorapi.Status, name string) string {
	state := ""
	for _, m := range status.Members {
		if m.Name == name {
			state = m.State
		}
	}
	return state
}
