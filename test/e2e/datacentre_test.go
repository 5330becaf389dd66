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

// orderLoad runs callers that place orders one after another until it is stopped.
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

// check stops the load and fails the test for each order that failed. It prints
// at most five of them.
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

// nonStreamingLoad runs callers that send chats without streaming, one after
// another, until it is stopped.
type nonStreamingLoad struct {
	stop   chan struct{}
	group  sync.WaitGroup
	sent   atomic.Int64
	mu     sync.Mutex
	errors []error
}

func startNonStreamingLoad(c *harness.Cluster, n int) *nonStreamingLoad {
	load := &nonStreamingLoad{stop: make(chan struct{})}
	for range n {
		load.group.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				load.sent.Add(1)
				if err := sendNonStreaming(c); err != nil {
					load.mu.Lock()
					load.errors = append(load.errors, err)
					load.mu.Unlock()
				}
			}
		})
	}
	return load
}

// sendNonStreaming sends a chat as a caller does: it tries the next daemon if one
// cannot be reached or refuses the request because it drains or moved the stream.
func sendNonStreaming(c *harness.Cluster) error {
	options := harness.ChatOptions{Tokens: 100}
	first := c.Random(len(c.Daemons))
	var err error
	for i := range c.Daemons {
		var text string
		options, text, err = c.CompleteChat(c.Daemons[(first+i)%len(c.Daemons)], options)
		if err == nil {
			return options.CheckText(text)
		}
		var problem *result.Error
		if errors.As(err, &problem) && problem.Code != result.Draining && problem.Code != result.StreamMoved {
			return err
		}
		if problem == nil && !errors.Is(err, apiclient.ErrNotConnected) {
			return err
		}
	}
	return err
}

// check stops the load and fails the test for each request that failed or got a
// wrong answer. It prints at most five of them.
func (l *nonStreamingLoad) check(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.group.Wait()
	for _, err := range l.errors[:min(5, len(l.errors))] {
		t.Errorf("answer without streaming: %v", err)
	}
	t.Logf("%d of %d answers without streaming failed", len(l.errors), l.sent.Load())
}

// resumptions waits for the chats and returns the sum of their resumptions.
func resumptions(chats ...*harness.Chat) int {
	n := 0
	for _, chat := range chats {
		<-chat.Done
		n += chat.End.Resumptions
	}
	return n
}

// Guards against cut streams when all upstreams of a data centre are reclaimed,
// and those of a second one during the notice of the first, while streams run that
// are longer than the notice (G1).
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
					group.Go(func() { late.Add(int64(requestsAfter(e, noticed.Add(maxLeaveDelay), noticed.Add(leaveNotice)))) })
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

// Guards against failed requests and lost order answers when a data centre is
// reclaimed with its daemons: its requests must complete elsewhere (G1), and its
// orders must keep their answers (G5).
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
				t.Error("no stream was resumed: the streams ended before the data centre was reclaimed")
			}
		})
	}
}

// Guards against lost streams when a daemon is killed during its notice: a peer
// has copies of its streams and must continue them (G1).
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
		t.Errorf("%d resumptions of %d streams: some streams ended before the daemon was killed", n, len(chats))
	}
}

// Guards against cut streams when a daemon stops gracefully and its drain timeout
// is shorter than its streams: it must hand them over (G7).
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
				t.Errorf("%d resumptions of %d streams: some streams ended before the daemons stopped", n, len(chats))
			}
		})
	}
}

// Guards against lost streams when all daemons of a data centre are killed after a
// third of their notice: the daemons outside that have copies of the streams must
// continue them (G1).
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

// Guards against failed requests, cut streams and orders that run twice in a
// rolling restart under load (G7).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Options{App: app.Options{ServiceTime: 100 * time.Millisecond}})
	load := c.StartLoad(6, c.Daemons...)
	orders := startOrderLoad(c, 4)
	nonStreaming := startNonStreamingLoad(c, 4)
	var long []*harness.Chat
	started := time.Now()
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
	t.Logf("rolling restart took %s, %d streams were resumed", time.Since(started), resumptions(long...))
	orders.check(t)
	nonStreaming.check(t)
	c.CheckChats(load.Stop()...)
	c.CheckChats(long...)
	c.CheckOrders()
}
