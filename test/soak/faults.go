package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// faultLog records what the checks need to know about the injected faults.
type faultLog struct {
	leaving     map[string]time.Time // time of the announcement by worker ID
	revoked     map[string]time.Time // time of the revocation by account
	removed     map[string]time.Time // time at which the entry was removed by worker ID
	disturbed   map[string]time.Time // time of the latest fault of moveFaults by address of the daemon
	troubles    []trouble            // faults of restoreFaults
	onlyPlanned bool                 // all faults were planned operations
	lines       []string             // one for each fault
}

// fault is one kind of fault. It is ended some time after it began.
type fault struct {
	name    string
	planned bool // planned operation, such as a stop of a daemon
	begin   func(*faultInjector)
	end     func(*faultInjector)
}

// faultInjector injects faults into a cluster. Each fault has one of its own, which
// holds the affected daemon or worker.
type faultInjector struct {
	cluster *cluster
	random  *rand.Rand
	record  *faultLog
	daemon  *daemon
	worker  *worker.Worker
}

func (p *faultInjector) randomDaemon() *daemon {
	return p.cluster.daemons[p.random.IntN(len(p.cluster.daemons))]
}
func (p *faultInjector) randomWorker() *worker.Worker {
	return p.cluster.workers[p.random.IntN(len(p.cluster.workers))]
}

// restart waits until the process of the daemon has exited and starts it again.
func (p *faultInjector) restart() {
	p.daemon.waitExit(10 * time.Second)
	if err := p.daemon.start(); err != nil {
		p.record.lines = append(p.record.lines, "daemon not restarted: "+err.Error())
	}
}

// workerFault returns a function that makes a random worker misbehave.
func workerFault(b worker.Behaviour) func(*faultInjector) {
	return func(p *faultInjector) {
		p.worker = p.randomWorker()
		b.Delay, b.EventGap = max(b.Delay, healthyBehaviour.Delay), healthyBehaviour.EventGap
		p.worker.Set(b)
	}
}

// restoreWorker ends a fault of a worker.
func restoreWorker(p *faultInjector) { p.worker.Set(healthyBehaviour) }

// storeFault returns a function that sets the faults of the store.
func storeFault(f platform.Faults) func(*faultInjector) {
	return func(p *faultInjector) { p.cluster.store.SetFaults(f) }
}

// linkFault returns a function that changes the connection of a random daemon to
// the store.
func linkFault(change func(*proxy)) func(*faultInjector) {
	return func(p *faultInjector) {
		p.daemon = p.randomDaemon()
		p.daemon.storeProxy.setFaults(change)
	}
}

// restoreLink ends a fault of the connection to the store.
func restoreLink(p *faultInjector) {
	p.daemon.storeProxy.setFaults(func(x *proxy) { x.silent, x.oneWay, x.refuse, x.delay = false, false, false, 0 })
}

// signalFault returns a function that sends a signal to a random daemon.
func signalFault(s syscall.Signal) func(*faultInjector) {
	return func(p *faultInjector) {
		p.daemon = p.randomDaemon()
		p.daemon.signal(s)
	}
}

// faults are all kinds of faults: name, whether planned, begin and end.
var faults = []fault{
	{"stop", true, signalFault(syscall.SIGTERM), (*faultInjector).restart},
	{"kill", false, signalFault(syscall.SIGKILL), (*faultInjector).restart},
	{"freeze", false, signalFault(syscall.SIGSTOP), func(p *faultInjector) { p.daemon.signal(syscall.SIGCONT) }},
	{"store down", false, storeFault(platform.Faults{Down: true}), storeFault(platform.Faults{})},
	{"store mute", false, storeFault(platform.Faults{Mute: true}), storeFault(platform.Faults{})},
	{"store slow", false, storeFault(platform.Faults{Slow: 250 * time.Millisecond}), storeFault(platform.Faults{})},
	{"store loses answers", false, storeFault(platform.Faults{Lose: true}), storeFault(platform.Faults{})},
	{"history lost", false, func(p *faultInjector) { p.cluster.store.Compact() }, func(*faultInjector) {}},
	{"link silent", false, linkFault(func(x *proxy) { x.silent, x.refuse = true, true }), restoreLink},
	{"link one way", false, linkFault(func(x *proxy) { x.oneWay = true }), restoreLink},
	{"link delayed", false, linkFault(func(x *proxy) { x.delay = 100 * time.Millisecond }), restoreLink},
	{"link reset", false, func(p *faultInjector) { p.daemon = p.randomDaemon(); p.daemon.storeProxy.resetAll() }, func(*faultInjector) {}},
	{"cloud down", false, func(p *faultInjector) { p.cluster.cloud.SetDown(true) }, func(p *faultInjector) { p.cluster.cloud.SetDown(false) }},
	{"worker fails", false, workerFault(worker.Behaviour{Fail: true}), restoreWorker},
	{"worker refuses", false, workerFault(worker.Behaviour{Refuse: true}), restoreWorker},
	{"worker loses answers", false, workerFault(worker.Behaviour{LoseAnswer: true}), restoreWorker},
	{"worker cuts streams", false, workerFault(worker.Behaviour{CutAfter: 3, CutInEvent: true}), restoreWorker},
	{"worker hangs", false, workerFault(worker.Behaviour{Delay: 20 * time.Second}), restoreWorker},
	{"worker leaves", true, announceLeaving, func(*faultInjector) {}},
	{"key revoked", true, revokeKey, func(*faultInjector) {}},
	{"configuration", true, func(p *faultInjector) { p.cluster.putConfig() }, func(*faultInjector) {}},
}

// troubledFaults are faults of workers in trouble and of other writers. They are a list
// of their own, so that the seeds that were kept play the same faults as before.
var troubledFaults = []fault{
	{"worker pauses", false, workerFault(worker.Behaviour{Refuse: true, RetryAfter: "1"}), restoreWorker},
	{"head without end", false, workerFault(worker.Behaviour{Endless: worker.EndlessHead}), restoreWorker},
	{"interim replies without end", false, workerFault(worker.Behaviour{Endless: worker.EndlessInterim}), restoreWorker},
	{"comments without end", false, workerFault(worker.Behaviour{Endless: worker.EndlessComments}), restoreWorker},
	{"event without end", false, workerFault(worker.Behaviour{Endless: worker.EndlessEvent}), restoreWorker},
	{"odd entries", false, putOddEntries, func(*faultInjector) {}},
	{"copied entry", false, copyEntry, removeCopy},
}

// brokenFaults are faults of workers whose answers are malformed.
var brokenFaults = []fault{
	{"broken heads", false, sendBrokenHeads, restoreWorker},
}

// sendBrokenHeads makes a random worker send one kind of malformed head.
func sendBrokenHeads(p *faultInjector) {
	names := slices.Sorted(maps.Keys(rawreply.Broken))
	head := rawreply.Broken[names[p.random.IntN(len(names))]]
	workerFault(worker.Behaviour{BrokenHead: &head})(p)
}

// earlyFaults are faults of workers whose answers end early.
var earlyFaults = []fault{
	{"reset", false, endEarly(worker.Reset), restoreWorker},
	{"reset during uploads", false, endEarly(worker.ResetEarly), restoreWorker},
	{"second copy in a body", false, endEarly(worker.Copy), restoreWorker},
	{"crash in an answer", false, endEarly(worker.Crash), restartWorker},
}

// endEarly returns a function that makes a random worker leave out the end of its answers.
func endEarly(end worker.End) func(*faultInjector) {
	return func(p *faultInjector) {
		e := &worker.EarlyEnd{Framing: worker.Framing(p.random.IntN(3)), End: end, Missing: 1 + p.random.IntN(120)}
		p.worker = p.randomWorker()
		for p.worker.Crashed() { // another fault is about to restart it, or has done so
			p.worker = p.randomWorker()
		}
		p.worker.Set(worker.Behaviour{EarlyEnd: e, Delay: healthyBehaviour.Delay})
	}
}

// restartWorker ends a fault of a worker, which starts again if it has crashed.
func restartWorker(p *faultInjector) {
	if !p.worker.Crashed() {
		restoreWorker(p)
		return
	}
	if err := p.cluster.restartWorker(p.worker); err != nil {
		p.record.lines = append(p.record.lines, "worker not restarted: "+err.Error())
	}
}

// oddEntries are values that another writer may leave among the workers' entries.
var oddEntries = []string{
	strings.Repeat(`{"a":`, 50_000), `{"service":"reports","addr":"127.0.0.1:70000","zone":"a","configVer":"v1","slots":24,"state":"ready"}`,
	`{"service":"reports","addr":"127.0.0.1:1","zone":"a","configVer":"v1","slots":1e400,"state":"ready"}`,
	`{"service":"reports","addr":"127.0.0.1:1","zone":"a","configVer":"v1","slots":9223372036854775807,"state":"ready","coldLeftMs":1e300}`,
	strings.Repeat("x", 1<<20), "\x00\xff", "",
}

// putOddEntries leaves odd entries among those of the workers.
func putOddEntries(p *faultInjector) {
	for i, value := range oddEntries {
		p.cluster.written.put(fmt.Sprintf("servers/odd-%d", i), []byte(value))
	}
}

// copyEntry leaves a copy of a worker's entry under another ID.
func copyEntry(p *faultInjector) {
	p.worker = p.randomWorker()
	p.cluster.written.put("servers/copy", p.worker.Entry(zones[0], "ready"))
}

func removeCopy(p *faultInjector) { p.cluster.written.remove("servers/copy") }

// announceLeaving starts a successor of a random worker and then announces in the
// store that the worker leaves.
func announceLeaving(p *faultInjector) {
	w := p.randomWorker()
	if _, gone := p.record.leaving[w.ID]; gone {
		return
	}
	if err := p.cluster.startWorker(w.Service, 20+len(p.cluster.workers)); err != nil {
		p.record.lines = append(p.record.lines, "successor not started: "+err.Error())
		return
	}
	p.cluster.written.put("servers/"+w.ID, w.Entry(zones[0], "draining"))
	p.record.leaving[w.ID] = time.Now()
}

// revokeKey replaces the key of one account for the rest of the run. Clients go on
// using the revoked key.
func revokeKey(p *faultInjector) {
	const account = "core"
	if _, gone := p.record.revoked[account]; gone {
		return
	}
	p.cluster.keys[account] = "k-other"
	p.cluster.putConfig()
	p.record.revoked[account] = time.Now()
}

// run begins faults of the given kinds at random times until length has passed, and ends each after a
// random duration. At most 3 overlap.
func (p *faultInjector) run(length time.Duration, kinds []fault, allowed func(fault) bool) {
	began := time.Now()
	type running struct {
		end  time.Time
		stop func()
	}
	var open []running
	next := began.Add(1500 * time.Millisecond)
	for time.Since(began) < length {
		time.Sleep(20 * time.Millisecond)
		var unfinished []running
		for _, r := range open {
			if time.Now().After(r.end) {
				r.stop()
			} else {
				unfinished = append(unfinished, r)
			}
		}
		open = unfinished
		if time.Now().Before(next) || len(open) >= 3 {
			continue
		}
		next = time.Now().Add(time.Duration(200+p.random.IntN(1800)) * time.Millisecond)
		f := kinds[p.random.IntN(len(kinds))]
		if !allowed(f) {
			continue
		}
		p.record.onlyPlanned = p.record.onlyPlanned && f.planned
		injector := &faultInjector{cluster: p.cluster, random: p.random, record: p.record}
		f.begin(injector)
		duration := time.Duration(300+p.random.IntN(3200)) * time.Millisecond
		p.record.lines = append(p.record.lines, fmt.Sprintf("%6.2f s %s for %s", time.Since(began).Seconds(), f.name, duration))
		open = append(open, running{time.Now().Add(duration), func() { f.end(injector) }})
	}
	for _, r := range open {
		r.stop()
	}
}
