package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// overload is a load on brittle instances that several daemons share.
type overload struct {
	daemons, instances int
	brittle            worker.Brittle
	work               time.Duration
	perSecond          int
	connected          bool // the daemons learn of each other's loads
}

// outcome is what the instances and callers of an overload saw.
type outcome struct {
	falls, rejections int // rejections of one instance in any second
	served, refused   int
	failed            int
	unspread          int // refusals without a Retry-After
	longest           time.Duration
}

// run sends the load for some time. After half a second the instances say that they are
// brittle, and a second later they let fewer requests wait.
func (o overload) run(t *testing.T, duration time.Duration) outcome {
	t.Helper()
	fixtures := make([]*fixture, o.daemons)
	for i := range fixtures {
		fixtures[i] = newFixture(t)
		fixtures[i].set.DaemonCount = func() int { return o.daemons }
	}
	var workers []*worker.Worker
	for i := range o.instances {
		w := fixtures[0].worker(fmt.Sprintf("w%d", i), "lookup", worker.Behaviour{Delay: o.work})
		workers = append(workers, w)
		for _, f := range fixtures {
			f.set.Put(fleet.Description{ID: w.ID, Service: "lookup", Address: w.Address(), DataCentre: "dc", Slots: o.brittle.Slots})
		}
	}
	set := func(b worker.Brittle) {
		for _, w := range workers {
			w.Set(worker.Behaviour{Delay: o.work, Brittle: &b})
		}
	}
	before := o.brittle
	before.Silent, before.Queue, before.Tolerant = true, 24, true
	set(before)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if o.connected {
		for i := range fixtures {
			go exchangeLoads(ctx, fixtures, i)
		}
	}
	var result outcome
	var mu sync.Mutex
	var clients sync.WaitGroup
	began := time.Now()
	said := before
	said.Silent = false
	for _, phase := range []struct {
		after time.Duration
		state worker.Brittle
	}{{500 * time.Millisecond, said}, {1500 * time.Millisecond, o.brittle}} {
		defer time.AfterFunc(phase.after, func() { set(phase.state) }).Stop()
	}
	for sent := 0; time.Since(began) < duration; sent++ {
		f := fixtures[rand.IntN(o.daemons)]
		clients.Go(func() {
			at := time.Now()
			a := f.send(t.Context(), "/lookup/1", nil)
			mu.Lock()
			defer mu.Unlock()
			result.longest = max(result.longest, time.Since(at))
			switch {
			case a.err != nil:
				result.failed++
			case a.status == http.StatusOK:
				result.served++
			case a.status == http.StatusServiceUnavailable:
				result.refused++
				if a.header.Get("Retry-After") == "" {
					result.unspread++
				}
			default:
				t.Logf("status %d after %v", a.status, time.Since(began))
				result.failed++
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(sent+1) * time.Second / time.Duration(o.perSecond))))
	}
	clients.Wait()
	for _, w := range workers {
		falls, rejections := w.Falls()
		result.falls += falls
		result.rejections = max(result.rejections, rejections)
	}
	t.Logf("%d daemons, N = %d: %+v of %d slots' worth %.0f", o.daemons, o.brittle.Bears, result, o.instances*o.brittle.Slots,
		float64(o.instances*o.brittle.Slots)*duration.Seconds()/o.work.Seconds())
	return result
}

// exchangeLoads tells one of the daemons the loads of the others at intervals, as the
// coordinator does: each load is as old as the last report of its daemon.
func exchangeLoads(ctx context.Context, daemons []*fixture, i int) {
	for ctx.Err() == nil {
		time.Sleep(125*time.Millisecond + rand.N(50*time.Millisecond))
		reportedLoads.Store(daemons[i], daemons[i].set.LocalLoads())
		others := map[string]fleet.Load{}
		for _, other := range daemons {
			loads, ok := reportedLoads.Load(other)
			if !ok || other == daemons[i] {
				continue
			}
			for id, l := range loads.(map[string]fleet.Load) { //nolint:errcheck,forcetypeassert // only these are stored
				others[id] = fleet.Load{Inflight: others[id].Inflight + l.Inflight}
			}
		}
		daemons[i].set.SetRemoteLoads(others)
	}
}

// reportedLoads has the loads that daemons have reported last.
var reportedLoads sync.Map

// Load pattern: callers ask for twice of what the instances can do, and these say that they
// fall over when they reject more than a few requests a second. Guards against daemons that
// together make an instance reject more than that.
func TestDaemonsTogetherKeepToTheRejectionsThatInstancesBear(t *testing.T) {
	for name, o := range map[string]overload{
		"more daemons than rejections": {daemons: 7, instances: 3, brittle: worker.Brittle{Slots: 6, Queue: 2, Bears: 3}, perSecond: 360, connected: true},
		"one rejection":                {daemons: 7, instances: 3, brittle: worker.Brittle{Slots: 12, Queue: 2, Bears: 1}, perSecond: 720, connected: true},
		"few daemons":                  {daemons: 2, instances: 3, brittle: worker.Brittle{Slots: 6, Queue: 1, Bears: 4}, perSecond: 360, connected: true},
		"one daemon, no queue":         {daemons: 1, instances: 3, brittle: worker.Brittle{Slots: 6, Queue: 0, Bears: 2}, perSecond: 360, connected: true},
		"without a coordinator":        {daemons: 7, instances: 3, brittle: worker.Brittle{Slots: 6, Queue: 2, Bears: 3}, perSecond: 360},
		"many slots":                   {daemons: 5, instances: 2, brittle: worker.Brittle{Slots: 24, Queue: 2, Bears: 5}, perSecond: 900, connected: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o.work, o.brittle.Down = 100*time.Millisecond, 2*time.Second
			const duration = 4 * time.Second
			r := o.run(t, duration)
			possible := float64(o.instances*o.brittle.Slots) * duration.Seconds() / o.work.Seconds()
			g.Expect(r.falls).To(BeNumerically("<=", 2+o.instances/10))
			g.Expect(float64(r.served)).To(BeNumerically(">=", 0.7*possible), "slots stay in use")
			g.Expect(r.unspread).To(BeZero())
			g.Expect(r.longest).To(BeNumerically("<", 1500*time.Millisecond))
		})
	}
}

// Guards against refusing what fragile instances have room for.
func TestFragileInstancesServeWhatTheyHaveRoomFor(t *testing.T) {
	for name, o := range map[string]overload{
		"half of the slots":     {daemons: 7, instances: 3, brittle: worker.Brittle{Slots: 6, Queue: 2, Bears: 3}, perSecond: 90, connected: true},
		"without a coordinator": {daemons: 7, instances: 3, brittle: worker.Brittle{Slots: 6, Queue: 2, Bears: 3}, perSecond: 60},
		"many slots":            {daemons: 7, instances: 6, brittle: worker.Brittle{Slots: 24, Queue: 2, Bears: 3}, perSecond: 800, connected: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o.work, o.brittle.Down = 100*time.Millisecond, 2*time.Second
			r := o.run(t, 4*time.Second)
			g.Expect(r.falls).To(BeZero())
			g.Expect(float64(r.served)).To(BeNumerically(">=", 0.98*float64(r.served+r.refused+r.failed)))
		})
	}
}
