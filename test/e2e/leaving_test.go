package e2e

import (
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const (
	leaveNotice = 3 * time.Second
	// maxLeaveDelay bounds the time from a notice to the last new request.
	maxLeaveDelay = 2 * time.Second
	// longTokens is the length, in tokens, of a stream that lasts longer than the
	// notice: one token takes at least 4.1 ms.
	longTokens = 1200
)

// Guards against streams that a leaving upstream cuts (G1), and against requests
// that it gets later than 2 s after its notice (G6). The notice comes from the
// cloud, from the upstream's refusals or from an operator.
func TestUpstreamLeaves(t *testing.T) {
	announce := map[string]func(c *harness.Cluster, e *harness.Engine) error{
		"cloud notice": func(c *harness.Cluster, e *harness.Engine) error {
			c.Cloud.Reclaim(e.Name, "", false, leaveNotice)
			return nil
		},
		"own refusal": func(_ *harness.Cluster, e *harness.Engine) error {
			e.Leave(leaveNotice)
			return nil
		},
		"operator drain": func(c *harness.Cluster, e *harness.Engine) error {
			return c.DrainUpstream(c.Daemons[c.Random(len(c.Daemons))], e.Name, leaveNotice)
		},
	}
	for name, leave := range announce {
		for _, down := range []store.Down{store.DownNone, store.DownRefuse} {
			title := name
			if down != store.DownNone {
				title += ", store down"
			}
			t.Run(title, func(t *testing.T) {
				t.Parallel()
				upstreamLeaves(t, down, leave)
			})
		}
	}
}

func upstreamLeaves(t *testing.T, down store.Down, leave func(*harness.Cluster, *harness.Engine) error) {
	c := harness.New(t, harness.Options{})
	if down != store.DownNone {
		storeDown(t, c, down)
	}
	chats := startChats(c, 21, longTokens, c.Daemons...)
	c.WaitTokens(5, chats...)
	leaving := busiest(t, c)
	load := c.StartLoad(6, c.Daemons...)
	noticed := time.Now()
	if err := leave(c, leaving); err != nil {
		t.Fatal(err)
	}
	late := requestsAfter(leaving, noticed.Add(maxLeaveDelay), noticed.Add(leaveNotice))
	c.CheckChats(chats...)
	c.CheckChats(load.Stop()...)
	report.Add(t, "requests to a leaving upstream after 2 s: "+t.Name(), float64(late), "requests", 0)
}

// busiest returns the engine with the most requests so far.
func busiest(t *testing.T, c *harness.Cluster) *harness.Engine {
	best := c.Engines[0]
	for _, e := range c.Engines {
		if e.Stats().Requests > best.Stats().Requests {
			best = e
		}
	}
	if best.Stats().Requests == 0 {
		t.Fatal("no engine got a request")
	}
	return best
}

// requestsAfter counts the requests that an engine gets between two moments.
func requestsAfter(e *harness.Engine, from, to time.Time) int {
	sleepUntil(from)
	before := e.Stats().Requests
	sleepUntil(to)
	return e.Stats().Requests - before
}
