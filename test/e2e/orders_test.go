package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/test/e2e/report"
	"github.com/dogwoodrudder/dogwoodrudder/test/harness"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

const (
	// suspicionTime is well above the time after which a daemon that does not
	// answer is declared dead: suspect_after plus some probe intervals.
	suspicionTime = 3 * time.Second
	// lateExecutionTime is the wait before executions are counted, so that a late
	// execution that must not happen is seen.
	lateExecutionTime = 1500 * time.Millisecond
	// slowServiceTime leaves time to stop a daemon while it executes an order.
	slowServiceTime = time.Second
)

// runOrderTest runs a case on a cluster with the store up and with the store down
// throughout, and checks that no order ran twice and that no answer was wrong.
func runOrderTest(t *testing.T, options app.Options, run func(t *testing.T, c *harness.Cluster)) {
	t.Helper()
	for name, down := range map[string]store.Down{"store up": store.DownNone, "store down": store.DownHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := harness.New(t, harness.Options{Engines: 1, App: options})
			if down != store.DownNone {
				storeDown(t, c, down)
			}
			run(t, c)
			time.Sleep(lateExecutionTime)
			figures := c.CheckOrders()
			report.Add(t, "executions of one key: "+t.Name(), float64(figures.MaxExecutions), "executions", 1)
			report.Add(t, "share of unknown answers: "+t.Name(), figures.UnknownShare(), "share", 1)
		})
	}
}

// sendToAll sends an order with the key to the daemons concurrently and returns
// the answers.
func sendToAll(c *harness.Cluster, key string, daemons ...*harness.Daemon) []harness.OrderAnswer {
	answers := make([]harness.OrderAnswer, len(daemons))
	var group sync.WaitGroup
	for i, d := range daemons {
		group.Go(func() { answers[i] = c.Order(d, key) })
	}
	group.Wait()
	return answers
}

// orderInBackground sends an order with the key and returns a channel with the
// answer.
func orderInBackground(c *harness.Cluster, d *harness.Daemon, key string) <-chan harness.OrderAnswer {
	answer := make(chan harness.OrderAnswer, 1)
	go func() { answer <- c.Order(d, key) }()
	return answer
}

func expectExecution(t *testing.T, a harness.OrderAnswer, want ...result.Execution) {
	t.Helper()
	for _, execution := range want {
		if a.Execution == execution {
			return
		}
	}
	t.Errorf("%s reported execution %q for order %s, want one of %q: %v", a.Daemon, a.Execution, a.Key, want, a.Err)
}

// Guards against an order that runs more than once, or gets different answers, when
// its key is sent to all daemons concurrently and again afterwards (G5).
func TestOrderSameKeyAtOnce(t *testing.T) {
	runOrderTest(t, app.Options{ServiceTime: 50 * time.Millisecond}, func(t *testing.T, c *harness.Cluster) {
		for _, executor := range c.Daemons {
			key := c.NewOrderKey(executor)
			for range 2 {
				for _, a := range sendToAll(c, key, c.Daemons...) {
					expectExecution(t, a, result.Ran)
				}
			}
		}
	})
}

// Guards against a false execution state when the reply to an executed order is
// lost: it must be reported as unknown (G4). A retry after the caller's timeout
// must not run the order again (G5).
func TestOrderReplyLost(t *testing.T) {
	runOrderTest(t, app.Options{}, func(t *testing.T, c *harness.Cluster) {
		for _, hang := range []bool{false, true} {
			for _, a := range c.Apps {
				a.Faults().Put(fault.Faults{Path: "/reservations", LoseRate: 1, LoseByHang: hang})
			}
			key := c.NewOrderKey(c.Daemons[0])
			expectExecution(t, c.Order(c.Daemons[1], key), result.Unknown)
			for _, a := range c.Apps {
				a.Faults().Put(fault.Faults{})
			}
			for _, a := range sendToAll(c, key, c.Daemons...) {
				expectExecution(t, a, result.Unknown)
			}
		}
	})
}

// Guards against a second execution, and against "not run" for an order that ran,
// when the executor is killed before, during or after the request to the
// application service.
func TestOrderExecutorKilled(t *testing.T) {
	runOrderTest(t, app.Options{ServiceTime: slowServiceTime}, func(t *testing.T, c *harness.Cluster) {
		before, during, after, others := c.Daemons[0], c.Daemons[1], c.Daemons[2], c.Daemons[3:]
		keys := []string{c.NewOrderKey(before), c.NewOrderKey(during), c.NewOrderKey(after)}
		before.Kill()
		first := orderInBackground(c, others[0], keys[0])
		running := orderInBackground(c, others[1], keys[1])
		direct := orderInBackground(c, during, keys[1])
		expectExecution(t, c.Order(after, keys[2]), result.Ran)
		after.Kill()
		again := orderInBackground(c, others[2], c.NewOrderKey(during))
		time.Sleep(slowServiceTime / 2)
		during.Kill()
		for _, answer := range []<-chan harness.OrderAnswer{first, running, direct, again} {
			<-answer
		}
		for range 2 {
			for _, key := range keys {
				for _, a := range sendToAll(c, key, others...) {
					expectExecution(t, a, result.Unknown)
				}
			}
			time.Sleep(suspicionTime / 2)
		}
		for _, d := range []*harness.Daemon{before, during, after} {
			if err := d.Start(); err != nil {
				t.Fatal(err)
			}
		}
		c.WaitReady(c.Daemons...)
		for _, key := range keys {
			for _, a := range sendToAll(c, key, c.Daemons...) {
				expectExecution(t, a, result.Unknown)
			}
		}
	})
}

// Guards against an executor that is frozen for longer than the suspicion time and,
// when it is resumed, runs an order that was reported as not run, or runs one
// twice.
func TestOrderExecutorFrozen(t *testing.T) {
	runOrderTest(t, app.Options{ServiceTime: 300 * time.Millisecond}, func(t *testing.T, c *harness.Cluster) {
		executor, others := c.Daemons[c.Random(len(c.Daemons))], []*harness.Daemon{}
		for _, d := range c.Daemons {
			if d != executor {
				others = append(others, d)
			}
		}
		sent, early, late := c.NewOrderKey(executor), c.NewOrderKey(executor), c.NewOrderKey(executor)
		answers := []<-chan harness.OrderAnswer{orderInBackground(c, executor, sent)}
		time.Sleep(100 * time.Millisecond)
		executor.Freeze()
		answers = append(answers, orderInBackground(c, others[0], early), orderInBackground(c, others[1], sent))
		time.Sleep(suspicionTime)
		answers = append(answers, orderInBackground(c, others[2], late), orderInBackground(c, others[3], early))
		time.Sleep(300 * time.Millisecond)
		executor.Thaw()
		for _, answer := range answers {
			<-answer
		}
		time.Sleep(lateExecutionTime)
		for _, key := range []string{sent, early, late} {
			sendToAll(c, key, c.Daemons...)
		}
	})
}

// Guards against lost answers of orders that run while their executor stops
// gracefully: the successor must answer for their keys (G5, G7).
func TestOrderHandOver(t *testing.T) {
	runOrderTest(t, app.Options{ServiceTime: slowServiceTime}, func(t *testing.T, c *harness.Cluster) {
		executor, others := c.Daemons[0], c.Daemons[1:]
		done := c.NewOrderKey(executor)
		expectExecution(t, c.Order(executor, done), result.Ran)
		var answers []<-chan harness.OrderAnswer
		var keys []string
		for i := range 12 {
			key := c.NewOrderKey(executor)
			keys = append(keys, key)
			answers = append(answers, orderInBackground(c, c.Daemons[i%len(c.Daemons)], key))
		}
		unsent := c.NewOrderKey(executor)
		time.Sleep(slowServiceTime / 4)
		executor.Terminate()
		time.Sleep(slowServiceTime / 4)
		for _, key := range keys {
			answers = append(answers, orderInBackground(c, others[c.Random(len(others))], key))
		}
		for _, answer := range answers {
			expectExecution(t, <-answer, result.Ran)
		}
		if err := executor.Stop(); err != nil {
			t.Error(err)
		}
		for _, a := range sendToAll(c, done, others...) {
			expectExecution(t, a, result.Ran)
		}
		for _, key := range keys {
			expectExecution(t, c.Order(others[c.Random(len(others))], key), result.Ran)
		}
		for _, a := range sendToAll(c, unsent, others...) {
			expectExecution(t, a, result.Ran, result.NotRun, result.Unknown)
		}
	})
}

// Guards against orders that run twice, and against false execution states, under a
// mixture of kills, freezes, graceful stops and lost replies.
func TestOrderMixedFailures(t *testing.T) {
	runOrderTest(t, app.Options{ServiceTime: 40 * time.Millisecond}, func(t *testing.T, c *harness.Cluster) {
		for _, a := range c.Apps {
			a.Faults().Put(fault.Faults{Path: "/reservations", LoseRate: 0.1, CutRate: 0.1, SlowFactor: 2})
		}
		stop := make(chan struct{})
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() { orderLoop(c, stop) })
		}
		for range 3 {
			victims := c.Daemons[1+c.Random(len(c.Daemons)-3):]
			victims[0].Freeze()
			time.Sleep(200 * time.Millisecond)
			victims[1].Kill()
			victims[2].Terminate()
			time.Sleep(suspicionTime / 2)
			victims[0].Thaw()
			_ = victims[2].Stop()
			for _, d := range victims[1:3] {
				if err := d.Start(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
		}
		close(stop)
		group.Wait()
	})
}

// orderLoop sends orders one after another: each key to two daemons at once
// and to a third one afterwards.
func orderLoop(c *harness.Cluster, stop <-chan struct{}) {
	pick := func() *harness.Daemon { return c.Daemons[c.Random(len(c.Daemons))] }
	for {
		select {
		case <-stop:
			return
		default:
		}
		token, err := c.OrderToken(pick())
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		key := harness.OrderKey(token)
		sendToAll(c, key, pick(), pick())
		c.Order(pick(), key)
	}
}
