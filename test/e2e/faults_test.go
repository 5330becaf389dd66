package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

const (
	faultTokens = 30
	faultCalls  = 40 // of each kind and fault
)

// engineFaults are the ways in which an engine spoils a reply. A third of the
// replies is affected.
var engineFaults = map[string]fault.Faults{
	"cut":                     {CutRate: 0.3, CutAfterTokens: 7},
	"early end with finish":   {EarlyEndRate: 0.3, EarlyEndAfterTokens: 9, EarlyEnd: fault.EarlyEndFinish},
	"early end with done":     {EarlyEndRate: 0.3, EarlyEndAfterTokens: 9, EarlyEnd: fault.EarlyEndDone},
	"early end of the body":   {EarlyEndRate: 0.3, EarlyEndAfterTokens: 9, EarlyEnd: fault.EarlyEndBody},
	"late replies":            {LateRate: 0.3},
	"repeated replies":        {RepeatRate: 0.3},
	"crossed replies":         {CrossRate: 0.3},
	"failed and late replies": {FailRate: 0.2, LateRate: 0.3, CrossRate: 0.2},
}

// A caller must never receive a foreign, partial or doubled answer that is
// passed off as whole (G3), whatever the engines send.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{})
	for name, faults := range engineFaults {
		for _, e := range c.Engines {
			e.Faults().Put(faults)
		}
		var failed atomic.Int64
		var group sync.WaitGroup
		for i := range faultCalls {
			d := c.Daemons[i%len(c.Daemons)]
			group.Go(func() {
				chat := c.StartChat(harness.ChatOptions{Tokens: faultTokens}, d)
				if err := chat.CheckOutput(); err != nil {
					t.Errorf("%s: %v", name, err)
				}
				if chat.Err != nil {
					failed.Add(1)
				}
			})
			group.Go(func() {
				asked, text, err := c.CompleteChat(d, harness.ChatOptions{Tokens: faultTokens})
				if err != nil {
					failed.Add(1)
					return
				}
				if err := asked.CheckText(text); err != nil {
					t.Errorf("%s: whole answer: %v", name, err)
				}
			})
		}
		group.Wait()
		report.Add(t, "share of failed requests: "+name, float64(failed.Load())/(2*faultCalls), "share", 1)
	}
}

// The same for an application service: a lookup gets its own answer or a
// reported failure (G3).
func TestAppFaults(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Engines: 1})
	for name, faults := range map[string]fault.Faults{
		"cut": {CutRate: 0.3}, "late replies": {LateRate: 0.3}, "repeated replies": {RepeatRate: 0.3},
		"crossed replies": {CrossRate: 0.3}, "lost replies": {LoseRate: 0.3}, "idle connections closed": {CloseIdleMillis: 5},
	} {
		for _, a := range c.Apps {
			a.Faults().Put(faults)
		}
		var failed atomic.Int64
		var group sync.WaitGroup
		for i := range 3 * faultCalls {
			group.Go(func() {
				wrong, err := c.LookUpStock(c.Daemons[i%len(c.Daemons)])
				if wrong != nil {
					t.Errorf("%s: %v", name, wrong)
				}
				if err != nil {
					failed.Add(1)
				}
			})
		}
		group.Wait()
		report.Add(t, "share of failed lookups: "+name, float64(failed.Load())/(3*faultCalls), "share", 1)
	}
}

// A request that a caller sends again with the same ID to another daemon, and
// at once to the same one, gets the same whole answer (G3).
func TestSameRequestIDAgain(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Apps: 1})
	first := c.StartChat(harness.ChatOptions{Tokens: 200}, c.Daemons[0])
	c.WaitTokens(5, first)
	chats := []*harness.Chat{first}
	for _, d := range []*harness.Daemon{c.Daemons[1], c.Daemons[0], c.Daemons[3]} {
		chats = append(chats, c.StartChat(first.ChatOptions, d))
	}
	c.CheckChats(chats...)
	c.CheckChats(c.StartChat(first.ChatOptions, c.Daemons[0]), c.StartChat(first.ChatOptions, c.Daemons[2]))
}

// A caller that lost its connection at the end of a stream must get the rest
// after Last-Event-ID, with the same event IDs (G3).
func TestFinishedStreamFromLastEvent(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Apps: 1})
	chat := c.StartChat(harness.ChatOptions{Tokens: 60}, c.Daemons[0])
	c.CheckChats(chat)
	last := chat.IDs[len(chat.IDs)/2]
	rest, err := c.Resume(c.Daemons[0], chat.ID, last)
	if err != nil {
		t.Fatal(err)
	}
	if !rest.Complete || len(rest.IDs) == 0 || rest.IDs[0] != last+1 || !strings.HasSuffix(chat.Text, rest.Text) || rest.Text == "" {
		t.Errorf("after event %d: %+v", last, rest)
	}
	all, err := c.Resume(c.Daemons[0], chat.ID, 0)
	if err != nil || all.Text != chat.Text || !all.Complete {
		t.Errorf("from the beginning: %v, %+v", err, all)
	}
	if _, err := c.Resume(c.Daemons[0], "unknown-"+chat.ID, 0); err == nil {
		t.Error("a stream that never existed was answered")
	}
}

// Frozen and dead upstreams must be ejected: idempotent requests succeed, and
// after a while they are no longer slowed down.
func TestFrozenAndDeadUpstreams(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{Apps: 2})
	load := c.StartLoad(6, c.Daemons...)
	frozen, dead := c.EnginesIn("dc1")[0], c.EnginesIn("dc2")[0]
	frozen.Faults().Put(fault.Faults{Freeze: true})
	c.Apps[0].Faults().Put(fault.Faults{Freeze: true})
	dead.Close()
	c.Apps[3].Close()
	stopped := time.Now()
	for i := range 60 {
		if wrong, err := c.LookUpStock(c.Daemons[i%len(c.Daemons)]); wrong != nil || err != nil {
			t.Errorf("lookup %d: %v, %v", i, wrong, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	sleepUntil(stopped.Add(8 * time.Second))
	chats := load.Stop()
	c.CheckChats(chats...)
	slowest := time.Duration(0)
	for _, chat := range chats {
		if chat.Started.After(stopped.Add(5 * time.Second)) {
			slowest = max(slowest, chat.Latency())
		}
	}
	report.Add(t, "slowest short request from 5 s after an upstream froze", slowest.Seconds(), "s", 1.5)
	for _, d := range c.Daemons {
		if err := ejected(c, d, frozen.Name, dead.Name, c.Apps[0].Name, c.Apps[3].Name); err != nil {
			t.Error(err)
		}
	}
}

// ejected returns an error if a daemon still uses one of the upstreams.
func ejected(c *harness.Cluster, d *harness.Daemon, names ...string) error {
	status, err := c.Status(d)
	if err != nil {
		return err
	}
	for _, u := range status.Upstreams {
		for _, name := range names {
			if u.Name == name && u.Health > 0 {
				return fmt.Errorf("%s still uses %s: %+v", d.Name, name, u)
			}
		}
	}
	return nil
}
