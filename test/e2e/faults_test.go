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
	faultCalls  = 40 // calls of each kind for each fault
)

// engineFaults are the faults that the engines inject, most of them into 30% of
// their replies.
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

// Guards against a partial or repeated answer, or one of another request, that is
// reported as complete (G3) when engines send faulty replies.
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
					t.Errorf("%s: answer without streaming: %v", name, err)
				}
			})
		}
		group.Wait()
		report.Add(t, "share of failed requests: "+name, float64(failed.Load())/(2*faultCalls), "share", 1)
	}
}

// Guards against a lookup at an application service that gets the answer of another
// request, or a partial one, instead of a reported failure (G3).
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
				mismatch, err := c.LookUpStock(c.Daemons[i%len(c.Daemons)])
				if mismatch != nil {
					t.Errorf("%s: %v", name, mismatch)
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

// Guards against different or incomplete answers when a caller repeats a request
// with the same ID at other daemons, and at the same one while the first runs (G3).
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

// Guards against a finished stream that cannot be resumed: a caller that lost its
// connection must get the events after Last-Event-ID, with the same IDs (G3).
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
		t.Error("resumption of a request ID that does not exist succeeded")
	}
}

// Guards against frozen and dead upstreams that are not ejected: idempotent
// requests must succeed, and must no longer be slow 5 s after the failure.
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
		if mismatch, err := c.LookUpStock(c.Daemons[i%len(c.Daemons)]); mismatch != nil || err != nil {
			t.Errorf("lookup %d: mismatch %v, error %v", i, mismatch, err)
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
