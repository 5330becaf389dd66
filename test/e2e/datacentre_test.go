package e2e

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

// orderLoad places orders one after another until it is stopped.
type orderLoad struct {
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []harness.OrderAnswer
}

func startOrderLoad(c *harness.Cluster, n int) *orderLoad {
	load := &orderLoad{stop: make(chan struct{})}
	for range n {
		load.group.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				answer := c.PlaceOrder(c.Daemons...)
				load.mu.Lock()
				load.answers = append(load.answers, answer)
				load.mu.Unlock()
			}
		})
	}
	return load
}

// check stops the load and fails the test for each order that did not run.
func (l *orderLoad) check(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.group.Wait()
	failed := 0
	for _, a := range l.answers {
		if a.Execution == result.Ran && a.Err == nil {
			continue
		}
		if failed++; failed <= 5 {
			t.Errorf("order at %s after %s: execution %q: %v", a.Daemon, a.Ended.Sub(a.Started), a.Execution, a.Err)
		}
	}
	t.Logf("%d of %d orders failed", failed, len(l.answers))
}

// wholeLoad asks for answers that are not streamed, one after another.
type wholeLoad struct {
	stop   chan struct{}
	group  sync.WaitGroup
	asked  atomic.Int64
	mu     sync.Mutex
	errors []error
}

func startWholeLoad(c *harness.Cluster, n int) *wholeLoad {
	load := &wholeLoad{stop: make(chan struct{})}
	for range n {
		load.group.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				load.asked.Add(1)
				if err := askWhole(c); err != nil {
					load.mu.Lock()
					load.errors = append(load.errors, err)
					load.mu.Unlock()
				}
			}
		})
	}
	return load
}

// askWhole asks one daemon after another, as a caller does, until one does not
// refuse the request because it stops or is not there.
func askWhole(c *harness.Cluster) error {
	options := harness.ChatOptions{Tokens: 100}
	first := c.Random(len(c.Daemons))
	var err error
	for i := range c.Daemons {
		var text string
		options, text, err = c.CompleteChat(c.Daemons[(first+i)%len(c.Daemons)], options)
		if err == nil {
			return options.CheckText(text)
		}
		var answer *result.Error
		if errors.As(err, &answer) && answer.Code != result.Draining && answer.Code != result.StreamMoved {
			return err
		}
		if answer == nil && !errors.Is(err, apiclient.ErrNotConnected) {
			return err
		}
	}
	return err
}

// check stops the load and fails the test for each answer that is not whole.
func (l *wholeLoad) check(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.group.Wait()
	for _, err := range l.errors[:min(5, len(l.errors))] {
		t.Errorf("whole answer: %v", err)
	}
	t.Logf("%d of %d whole answers failed", len(l.errors), l.asked.Load())
}

// resumptions waits for the chats and counts how often they were resumed.
func resumptions(chats ...*harness.Chat) int {
	n := 0
	for _, chat := range chats {
		<-chat.Done
		n += chat.End.Resumptions
	}
	return n
}

// All upstreams of a data centre, and of a second one during the notice of the
// first, may be reclaimed during streams that are longer than the notice (G1).
func TestUpstreamsOfDataCentresReclaimed(t *testing.T) {
	for name, down := range map[string]store.Down{"store up": store.DownNone, "store down": store.DownRefuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{})
			if down != store.DownNone {
				storeDown(t, c, down)
			}
			chats := startChats(c, 21, longTokens, c.Daemons...)
			c.WaitTokens(5, chats...)
			load := c.StartLoad(4, c.Daemons...)
			var late atomic.Int64
			var group sync.WaitGroup
			for _, dc := range []string{"dc1", "dc2"} {
				for _, e := range c.EnginesIn(dc) {
					c.Cloud.Reclaim(e.Name, "", false, leaveNotice)
					noticed := time.Now()
					group.Go(func() { late.Add(int64(requestsAfter(e, noticed.Add(leaveLimit), noticed.Add(leaveNotice)))) })
				}
				time.Sleep(time.Second)
			}
			group.Wait()
			c.CheckChats(chats...)
			c.CheckChats(load.Stop()...)
			report.Add(t, "requests to reclaimed upstreams after 2 s: "+t.Name(), float64(late.Load()), "requests", 0)
		})
	}
}

// A whole data centre with its daemons may be reclaimed: requests of its
// callers complete elsewhere (G1), and its orders keep their answers (G5).
func TestDataCentreReclaimed(t *testing.T) {
	for name, down := range map[string]store.Down{"store up": store.DownNone, "store down": store.DownRefuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{App: app.Options{ServiceTime: 50 * time.Millisecond}})
			if down != store.DownNone {
				storeDown(t, c, down)
			}
			inside, outside := daemonsIn(c, "dc1")
			chats := startChats(c, 12, longTokens, append(inside, outside...)...)
			for range 3 {
				for _, d := range inside {
					chats = append(chats, c.StartChat(harness.ChatOptions{Tokens: longTokens}, append([]*harness.Daemon{d}, outside...)...))
				}
			}
			c.WaitTokens(5, chats...)
			load := c.StartLoad(4, c.Daemons...)
			orders := startOrderLoad(c, 4)
			c.Cloud.Reclaim("", "dc1", true, leaveNotice)
			time.Sleep(leaveNotice + 2*time.Second)
			orders.check(t)
			c.CheckChats(load.Stop()...)
			c.CheckChats(chats...)
			c.CheckOrders()
			if resumptions(chats...) == 0 {
				t.Error("no stream was resumed: the streams did not outlast the data centre")
			}
		})
	}
}

// A daemon that is killed in the middle of its notice must not lose the
// streams that it copied to a peer (G1).
func TestDaemonKilledDuringNotice(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{})
	victim, others := c.Daemons[0], c.Daemons[1:]
	var chats []*harness.Chat
	for range 12 {
		chats = append(chats, c.StartChat(harness.ChatOptions{Tokens: longTokens}, append([]*harness.Daemon{victim}, others...)...))
	}
	c.WaitTokens(5, chats...)
	c.Cloud.Reclaim(victim.Name, "", false, leaveNotice)
	time.Sleep(time.Second)
	victim.Kill()
	c.CheckChats(chats...)
	if n := resumptions(chats...); n < len(chats) {
		t.Errorf("%d resumptions of %d streams: the streams did not outlast the daemon", n, len(chats))
	}
}

// A graceful stop that is shorter than the streams must hand them over (G7).
func TestStopWithLongStreams(t *testing.T) {
	for name, down := range map[string]store.Down{"store up": store.DownNone, "store down": store.DownHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{Settings: map[string]string{"daemon.drain_timeout": "2s"}})
			if down != store.DownNone {
				storeDown(t, c, down)
			}
			first, second, others := c.Daemons[0], c.Daemons[1], c.Daemons[2:]
			var chats []*harness.Chat
			for i := range 16 {
				d := []*harness.Daemon{first, second}[i%2]
				chats = append(chats, c.StartChat(harness.ChatOptions{Tokens: longTokens}, append([]*harness.Daemon{d}, others...)...))
			}
			c.WaitTokens(5, chats...)
			if err := first.Stop(); err != nil {
				t.Error(err)
			}
			if err := second.Stop(); err != nil {
				t.Error(err)
			}
			c.CheckChats(chats...)
			if n := resumptions(chats...); n < len(chats) {
				t.Errorf("%d resumptions of %d streams: the streams did not outlast the daemons", n, len(chats))
			}
		})
	}
}

// All daemons of a data centre may be killed long before their notice ends: the
// copies outside the data centre must continue the streams (G1).
func TestDataCentreKilledDuringNotice(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{})
	inside, outside := daemonsIn(c, "dc1")
	var chats []*harness.Chat
	for i := range 18 {
		d := inside[i%len(inside)]
		chats = append(chats, c.StartChat(harness.ChatOptions{Tokens: longTokens}, append([]*harness.Daemon{d}, outside...)...))
	}
	c.WaitTokens(5, chats...)
	c.Cloud.Reclaim("", "dc1", true, leaveNotice)
	time.Sleep(leaveNotice / 3)
	for _, d := range inside {
		d.Kill()
	}
	for _, e := range c.EnginesIn("dc1") {
		e.Close()
	}
	c.CheckChats(chats...)
}

// A rolling restart under load must not fail a request, cut a stream or run an
// order twice (G7).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{App: app.Options{ServiceTime: 100 * time.Millisecond}})
	load := c.StartLoad(6, c.Daemons...)
	orders := startOrderLoad(c, 4)
	whole := startWholeLoad(c, 4)
	var long []*harness.Chat
	began := time.Now()
	for i, d := range c.Daemons {
		order := append(append([]*harness.Daemon{}, c.Daemons[i:]...), c.Daemons[:i]...)
		for range 4 {
			long = append(long, c.StartChat(harness.ChatOptions{Tokens: 400}, order...))
		}
		c.WaitTokens(3, long...)
		if err := d.Restart(); err != nil {
			t.Error(err)
		}
	}
	t.Logf("rolling restart took %s, %d streams were resumed", time.Since(began), resumptions(long...))
	orders.check(t)
	whole.check(t)
	c.CheckChats(load.Stop()...)
	c.CheckChats(long...)
	c.CheckOrders()
}
