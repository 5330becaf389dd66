package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// notes are times that the checks need.
type notes struct {
	leaving map[string]time.Time // by worker ID
	revoked map[string]time.Time // by account
	planned bool                 // only planned work happened
	lines   []string
}

// fault is one disturbance: it begins, and ends after some time.
type fault struct {
	name    string
	planned bool
	begin   func(*player)
	end     func(*player)
}

// player plays faults on a cluster.
type player struct {
	cluster *cluster
	random  *rand.Rand
	notes   *notes
	daemon  *daemon
	worker  *worker.Worker
}

func (p *player) pickDaemon() *daemon {
	return p.cluster.daemons[p.random.IntN(len(p.cluster.daemons))]
}
func (p *player) pickWorker() *worker.Worker {
	return p.cluster.workers[p.random.IntN(len(p.cluster.workers))]
}

// restart starts the daemon again when its process has ended.
func (p *player) restart() {
	p.daemon.waitEnd(10 * time.Second)
	if err := p.daemon.start(); err != nil {
		p.notes.lines = append(p.notes.lines, "not restarted: "+err.Error())
	}
}

func behave(b worker.Behaviour) func(*player) {
	return func(p *player) {
		p.worker = p.pickWorker()
		b.Delay, b.EventGap = max(b.Delay, sound.Delay), sound.EventGap
		p.worker.Set(b)
	}
}

func heal(p *player) { p.worker.Set(sound) }

func store(f platform.Faults) func(*player) {
	return func(p *player) { p.cluster.store.SetFaults(f) }
}

func link(change func(*proxy)) func(*player) {
	return func(p *player) {
		p.daemon = p.pickDaemon()
		p.daemon.store.set(change)
	}
}

func mend(p *player) {
	p.daemon.store.set(func(x *proxy) { x.silent, x.oneWay, x.refuse, x.delay = false, false, false, 0 })
}

func signalled(s syscall.Signal) func(*player) {
	return func(p *player) {
		p.daemon = p.pickDaemon()
		p.daemon.signal(s)
	}
}

// faults are the disturbances of a soak.
var faults = []fault{
	{"stop", true, signalled(syscall.SIGTERM), (*player).restart},
	{"kill", false, signalled(syscall.SIGKILL), (*player).restart},
	{"freeze", false, signalled(syscall.SIGSTOP), func(p *player) { p.daemon.signal(syscall.SIGCONT) }},
	{"store down", false, store(platform.Faults{Down: true}), store(platform.Faults{})},
	{"store mute", false, store(platform.Faults{Mute: true}), store(platform.Faults{})},
	{"store slow", false, store(platform.Faults{Slow: 250 * time.Millisecond}), store(platform.Faults{})},
	{"store loses answers", false, store(platform.Faults{Lose: true}), store(platform.Faults{})},
	{"history lost", false, func(p *player) { p.cluster.store.Compact() }, func(*player) {}},
	{"link silent", false, link(func(x *proxy) { x.silent, x.refuse = true, true }), mend},
	{"link one way", false, link(func(x *proxy) { x.oneWay = true }), mend},
	{"link delayed", false, link(func(x *proxy) { x.delay = 100 * time.Millisecond }), mend},
	{"link reset", false, func(p *player) { p.daemon = p.pickDaemon(); p.daemon.store.resetAll() }, func(*player) {}},
	{"cloud down", false, func(p *player) { p.cluster.cloud.SetDown(true) }, func(p *player) { p.cluster.cloud.SetDown(false) }},
	{"worker fails", false, behave(worker.Behaviour{Fail: true}), heal},
	{"worker refuses", false, behave(worker.Behaviour{Refuse: true}), heal},
	{"worker loses answers", false, behave(worker.Behaviour{LoseAnswer: true}), heal},
	{"worker cuts streams", false, behave(worker.Behaviour{CutAfter: 3, CutInEvent: true}), heal},
	{"worker hangs", false, behave(worker.Behaviour{Delay: 20 * time.Second}), heal},
	{"worker leaves", true, leave, func(*player) {}},
	{"key revoked", true, revoke, func(*player) {}},
	{"configuration", true, func(p *player) { p.cluster.putConfig() }, func(*player) {}},
}

// leave lets a worker announce that it leaves, after a successor has started.
func leave(p *player) {
	w := p.pickWorker()
	if _, gone := p.notes.leaving[w.ID]; gone {
		return
	}
	if err := p.cluster.startWorker(w.Service, 20+len(p.cluster.workers)); err != nil {
		p.notes.lines = append(p.notes.lines, "no successor: "+err.Error())
		return
	}
	p.cluster.store.Put("servers/"+w.ID, w.Entry(zones[0], "draining"))
	p.notes.leaving[w.ID] = time.Now()
}

// revoke takes the key of one account away for good.
func revoke(p *player) {
	const account = "core"
	if _, gone := p.notes.revoked[account]; gone {
		return
	}
	p.cluster.keys[account] = "k-other"
	p.cluster.putConfig()
	p.notes.revoked[account] = time.Now()
}

// play begins and ends faults at random until the time is over. They come in
// series and overlap.
func (p *player) play(length time.Duration, only func(fault) bool) {
	began := time.Now()
	type running struct {
		end  time.Time
		stop func()
	}
	var open []running
	next := began.Add(1500 * time.Millisecond)
	for time.Since(began) < length {
		time.Sleep(20 * time.Millisecond)
		var still []running
		for _, r := range open {
			if time.Now().After(r.end) {
				r.stop()
			} else {
				still = append(still, r)
			}
		}
		open = still
		if time.Now().Before(next) || len(open) >= 3 {
			continue
		}
		next = time.Now().Add(time.Duration(200+p.random.IntN(1800)) * time.Millisecond)
		f := faults[p.random.IntN(len(faults))]
		if !only(f) {
			continue
		}
		p.notes.planned = p.notes.planned && f.planned
		one := &player{cluster: p.cluster, random: p.random, notes: p.notes}
		f.begin(one)
		lasts := time.Duration(300+p.random.IntN(3200)) * time.Millisecond
		p.notes.lines = append(p.notes.lines, fmt.Sprintf("%6.2f s %s for %s", time.Since(began).Seconds(), f.name, lasts))
		open = append(open, running{time.Now().Add(lasts), func() { f.end(one) }})
	}
	for _, r := range open {
		r.stop()
	}
}
