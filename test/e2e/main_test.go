// Package e2e holds failure tests that run real daemons as processes and check
// the guarantees G1 and G3 to G8 of docs/design.md.
package e2e

import (
	"os"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// startChats starts n chats of the given length and spreads them over the daemons
// round-robin.
func startChats(c *harness.Cluster, n, tokens int, daemons ...*harness.Daemon) []*harness.Chat {
	chats := make([]*harness.Chat, n)
	for i := range chats {
		first := i % len(daemons)
		order := append(append([]*harness.Daemon{}, daemons[first:]...), daemons[:first]...)
		chats[i] = c.StartChat(harness.ChatOptions{Tokens: tokens}, order...)
	}
	return chats
}

// storeDown makes the store refuse or not answer requests, or serve again with
// store.DownNone.
func storeDown(t *testing.T, c *harness.Cluster, how store.Down) {
	t.Helper()
	if err := c.Store.SetFaults(store.Faults{Down: how}); err != nil {
		t.Fatal(err)
	}
}

// sleepUntil sleeps until the given time.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// daemonsIn splits the daemons by data centre.
func daemonsIn(c *harness.Cluster, dataCentre string) (inside, outside []*harness.Daemon) {
	for _, d := range c.Daemons {
		if d.DataCentre == dataCentre {
			inside = append(inside, d)
		} else {
			outside = append(outside, d)
		}
	}
	return inside, outside
}
