package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

const (
	// contactTime is the time without a fault after which a daemon is bound by maxLeaveTime.
	contactTime = 3 * time.Second
	// maxLeaveTime is the time after which a worker whose entry was removed must get no
	// requests: the guaranteed 2 s, and 500 ms by which a busy machine may delay a process.
	maxLeaveTime = 2*time.Second + 500*time.Millisecond
	// leaverTime is how long a worker serves after its entry was removed.
	leaverTime = 8 * time.Second
	moveSeries = 2 // for each seed
)

// moveFaults injects series of faults around moves of the coordinator duty: the holder
// loses the store for a while, a worker leaves without notice, and the duty moves.
type moveFaults struct {
	cluster *cluster
	random  *rand.Rand
	record  *faultLog
	began   time.Time
}

// moves are the ways in which the duty moves, if at all.
var moves = []struct {
	name string
	run  func(*moveFaults, *daemon)
}{
	{"stays", func(*moveFaults, *daemon) {}},
	{"moves by a stop", func(m *moveFaults, holder *daemon) { m.end(holder, syscall.SIGTERM) }},
	{"moves by a kill", func(m *moveFaults, holder *daemon) { m.end(holder, syscall.SIGKILL) }},
	{"moves by a freeze", func(m *moveFaults, holder *daemon) {
		holder.signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		holder.signal(syscall.SIGCONT)
	}},
	{"moves by a lost lease", func(m *moveFaults, holder *daemon) { m.cut(holder, 4*time.Second) }},
	{"moves twice", func(m *moveFaults, holder *daemon) {
		m.end(holder, syscall.SIGTERM)
		if next := m.awaitHolder(holder); next != nil {
			m.disturb(next)
			m.end(next, syscall.SIGTERM)
		}
	}},
}

// between returns a random duration.
func (m *moveFaults) between(from, to time.Duration) time.Duration {
	return from + time.Duration(m.random.Int64N(int64(to-from)))
}

func (m *moveFaults) log(format string, args ...any) {
	m.record.lines = append(m.record.lines, fmt.Sprintf("%6.2f s ", time.Since(m.began).Seconds())+fmt.Sprintf(format, args...))
}

// disturb records that a daemon is subject to a fault now.
func (m *moveFaults) disturb(d *daemon) {
	m.record.disturbed[fmt.Sprintf("%s:%d", d.ip, portCallers)] = time.Now()
}

// cut cuts a daemon off from the store.
func (m *moveFaults) cut(d *daemon, duration time.Duration) {
	silent := m.random.IntN(2) == 0
	d.storeProxy.setFaults(func(x *proxy) { x.silent, x.refuse = silent, true })
	if !silent {
		d.storeProxy.resetAll()
	}
	time.Sleep(duration)
	restoreLink(&faultInjector{daemon: d})
}

// end ends the process of a daemon and starts it again.
func (m *moveFaults) end(d *daemon, s syscall.Signal) {
	d.signal(s)
	go (&faultInjector{cluster: m.cluster, record: m.record, daemon: d}).restart()
}

// holder returns the daemon that holds the duty by the store's entry, or nil.
func (m *moveFaults) holder() *daemon {
	name, _, _ := strings.Cut(string(m.cluster.store.Value("serving/duty/coordinator")), "@")
	for _, d := range m.cluster.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// awaitHolder returns the next holder of the duty, or nil if there is none for 10 s.
func (m *moveFaults) awaitHolder(not *daemon) *daemon {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if d := m.holder(); d != nil && d != not {
			return d
		}
	}
	return nil
}

// leaver returns a random worker that has not left.
func (m *moveFaults) leaver() *worker.Worker {
	for {
		w := m.cluster.workers[m.random.IntN(len(m.cluster.workers))]
		if _, gone := m.record.removed[w.ID]; !gone {
			return w
		}
	}
}

// run runs the series of faults one after the other.
func (m *moveFaults) run() {
	for range moveSeries {
		time.Sleep(contactTime + 2*time.Second)
		holder := m.awaitHolder(nil)
		if holder == nil {
			m.log("no daemon holds the duty")
			return
		}
		m.series(holder, moves[m.random.IntN(len(moves))].name)
	}
}

func (m *moveFaults) series(holder *daemon, move string) {
	cutTime, leaveAt := m.between(300*time.Millisecond, 2800*time.Millisecond), m.between(1250*time.Millisecond, 3250*time.Millisecond)
	moveAfter := m.between(100*time.Millisecond, 900*time.Millisecond)
	m.log("%s loses the store for %s, a worker leaves after %s, the duty %s %s later", holder.name, cutTime, leaveAt, move, moveAfter)
	began := time.Now()
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		m.cut(holder, cutTime)
	}()
	w := m.leaver()
	time.Sleep(leaveAt - 250*time.Millisecond)
	if err := m.cluster.startWorker(w.Service, 40+len(m.cluster.workers)); err != nil {
		m.log("successor not started: %v", err)
	}
	time.Sleep(time.Until(began.Add(leaveAt)))
	m.cluster.written.remove("servers/" + w.ID)
	removed := time.Now()
	m.record.removed[w.ID] = removed
	m.log("the entry of %s is removed", w.ID)
	time.Sleep(moveAfter)
	<-restored
	m.disturb(holder)
	for _, each := range moves {
		if each.name == move {
			each.run(m, holder)
		}
	}
	if move != "stays" {
		m.disturb(holder)
	}
	time.Sleep(time.Until(removed.Add(leaverTime)))
}

// checkRemoved returns the violations of maxLeaveTime by daemons without faults.
func checkRemoved(outcomes []outcome, workers []*worker.Worker, record *faultLog) []string {
	var violations []string
	sent := map[string]outcome{}
	for _, o := range outcomes {
		sent[o.id] = o
	}
	for _, w := range workers {
		removed, gone := record.removed[w.ID]
		if !gone {
			continue
		}
		for _, run := range w.Runs() {
			o := sent[run.RequestID]
			if o.sent.Sub(removed) > maxLeaveTime && o.sent.Sub(record.disturbed[o.address]) > contactTime {
				violations = append(violations, fmt.Sprintf("%s %s was sent to %s %s after the removal of %s, and ran there", o.kind, o.id, o.address, o.sent.Sub(removed), w.ID))
			}
		}
	}
	return violations
}
