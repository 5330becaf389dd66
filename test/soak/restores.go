package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/platform"
)

const (
	// snapshotInterval is the time between two copies of the store, and maxCopyAge the age
	// of the oldest one that it is restored from.
	snapshotInterval = 250 * time.Millisecond
	maxCopyAge       = 5 * time.Second
	maxOutage        = 1500 * time.Millisecond // of the store before it is restored
	// maxRewriteTime is the time after a restore within which the operator and the workers
	// have written again what was lost.
	maxRewriteTime = 2 * time.Second
	// maxApplyTime is the time after which a configuration must be in force: the guaranteed
	// 3 s, and 500 ms by which a busy machine may delay a process.
	maxApplyTime = 3*time.Second + 500*time.Millisecond
	// maxReportAge is the age of the newest usage report at the end: a window, the time
	// within which its report is due, and the time that skipped windows take.
	maxReportAge = 30 * time.Second
)

// writer writes the entries of the operator and of the workers, and knows them after a
// restore of the store.
type writer struct {
	store *platform.Store

	mu      sync.Mutex
	entries map[string][]byte // by key; nil for a deleted one
	// acknowledged are the times at which the configurations were written, by their number.
	acknowledged map[int64]time.Time
	// due are the times from which on maxApplyTime counts. Where the store was restored in
	// that time, they are those of the restore, or of the latest configuration's next write.
	due        map[int64]time.Time
	latest     int64 // number of the latest configuration
	restoredAt time.Time
}

func newWriter(store *platform.Store) *writer {
	return &writer{store: store, entries: map[string][]byte{}, acknowledged: map[int64]time.Time{}, due: map[int64]time.Time{}}
}

// put writes an entry.
func (w *writer) put(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[key] = value
	w.store.Put(key, value)
}

// remove deletes an entry.
func (w *writer) remove(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[key] = nil
	w.store.Delete(key)
}

// putVersion writes a configuration.
func (w *writer) putVersion(version int64, value []byte) {
	w.put(configKey, value)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acknowledged[version], w.due[version], w.latest = time.Now(), time.Now(), version
}

// configKey is the key of the configuration.
const configKey = "op/config"

// restored writes again what a restore has lost, each entry after a random time.
func (w *writer) restored(random *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restoredAt = time.Now()
	w.postpone(w.restoredAt.Add(-maxApplyTime - maxOutage))
	for key, value := range w.entries {
		if !bytes.Equal(w.store.Value(key), value) {
			time.AfterFunc(time.Duration(random.Int64N(int64(maxRewriteTime))), func() { w.rewrite(key) })
		}
	}
}

func (w *writer) rewrite(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	value := w.entries[key]
	if bytes.Equal(w.store.Value(key), value) {
		return
	}
	if value == nil {
		w.store.Delete(key)
		return
	}
	w.store.Put(key, value)
	if key == configKey {
		w.postpone(w.restoredAt)
	}
}

// postpone counts maxApplyTime anew for the configurations that are due since then.
func (w *writer) postpone(since time.Time) {
	for version, due := range w.due {
		if !due.Before(since) {
			w.due[version] = time.Now()
		}
	}
}

// current reports whether a configuration was the latest one until then.
func (w *writer) current(version int64, until time.Time) bool {
	for other, at := range w.acknowledged {
		if other > version && at.Before(until) {
			return false
		}
	}
	return true
}

// version returns the latest configuration or one before it.
func (w *writer) version(random *rand.Rand) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.latest-2*random.Int64N(3)*random.Int64N(2), 1)
}

// restoreFaults plays series of restores of the store, beside faults of the daemons and
// changes of the operator.
type restoreFaults struct {
	moveFaults
	copies []storeCopy // the oldest first
}

// trouble is a time in which a daemon is subject to a fault.
type trouble struct {
	address  string // for callers
	from, to time.Time
	restart  bool // the process ended
}

// inTrouble reports whether the daemon at the address of a request had a fault in the time
// before it that ended less than settle ago, or while it ran.
func (l *faultLog) inTrouble(o outcome, settle time.Duration) bool {
	return slices.ContainsFunc(l.troubles, func(t trouble) bool {
		return t.address == o.address && t.from.Before(o.ended) && o.sent.Before(t.to.Add(settle))
	})
}

// restarted reports whether the process at an address ended between two times.
func (l *faultLog) restarted(address string, from, to time.Time) bool {
	return slices.ContainsFunc(l.troubles, func(t trouble) bool {
		return t.restart && t.address == address && t.from.Before(to) && from.Before(t.to)
	})
}

type storeCopy struct {
	at    time.Time
	taken *platform.Snapshot
}

// besides are the faults that may go along with a restore. Each begins before it and ends
// after it.
var besides = []struct {
	name string
	run  func(*restoreFaults, *daemon)
}{
	{"nothing", func(*restoreFaults, *daemon) {}},
	{"a kill", func(r *restoreFaults, d *daemon) { r.restart(d, syscall.SIGKILL) }},
	{"a stop", func(r *restoreFaults, d *daemon) { r.restart(d, syscall.SIGTERM) }},
	{"a freeze", func(r *restoreFaults, d *daemon) {
		d.signal(syscall.SIGSTOP)
		time.Sleep(r.between(500*time.Millisecond, 5*time.Second))
		d.signal(syscall.SIGCONT)
	}},
	{"a cut from the store", func(r *restoreFaults, d *daemon) { r.cut(d, r.between(500*time.Millisecond, 5*time.Second)) }},
	{"lost answers", func(r *restoreFaults, _ *daemon) { r.storeFault(platform.Faults{Lose: true}) }},
	{"late writes", func(r *restoreFaults, _ *daemon) {
		r.storeFault(platform.Faults{Late: r.between(300*time.Millisecond, 3*time.Second)})
	}},
	{"late answers", func(r *restoreFaults, _ *daemon) { r.storeFault(platform.Faults{SlowReply: 600 * time.Millisecond}) }},
	{"the cloud down", func(r *restoreFaults, _ *daemon) {
		r.cluster.cloud.SetDown(true)
		time.Sleep(r.between(time.Second, 4*time.Second))
		r.cluster.cloud.SetDown(false)
	}},
}

// restart ends the process of a daemon, starts it again and waits until it is ready.
func (r *restoreFaults) restart(d *daemon, s syscall.Signal) {
	d.signal(s)
	(&faultInjector{cluster: r.cluster, record: r.record, daemon: d}).restart()
	for until := time.Now().Add(startTimeout); !d.ready() && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
}

// storeFault sets the faults of the store for some time before an outage, which ends them.
func (r *restoreFaults) storeFault(f platform.Faults) { r.cluster.store.SetFaults(f) }

// run plays series until length has passed.
func (r *restoreFaults) run(length time.Duration) {
	for time.Since(r.began) < length {
		r.wait(r.between(500*time.Millisecond, 2500*time.Millisecond))
		r.series()
	}
	r.wait(maxRewriteTime)
}

// wait waits and copies the store.
func (r *restoreFaults) wait(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(min(snapshotInterval, max(time.Until(until), 0))) {
		r.copies = append(r.copies, storeCopy{time.Now(), r.cluster.store.Snapshot()})
		for time.Since(r.copies[0].at) > maxCopyAge {
			r.copies = r.copies[1:]
		}
	}
}

func (r *restoreFaults) series() {
	d := r.cluster.daemons[r.random.IntN(len(r.cluster.daemons))]
	if holder := r.holder(); holder != nil && r.random.IntN(2) == 0 {
		d = holder
	}
	beside := besides[r.random.IntN(len(besides))]
	r.change()
	r.wait(r.between(0, time.Second))
	r.log("beside %s of %s", beside.name, d.name)
	done := make(chan struct{})
	began := time.Now()
	// The faults draw from a sequence of their own, so that a seed is played again.
	injector := &restoreFaults{moveFaults: r.moveFaults}
	injector.random = rand.New(rand.NewPCG(r.random.Uint64(), 2))
	go func() {
		defer close(done)
		beside.run(injector, d)
	}()
	r.wait(r.between(0, time.Second))
	for range 1 + max(r.random.IntN(6)-3, 0) {
		r.restore()
		r.wait(r.between(200*time.Millisecond, 2*time.Second))
		if r.random.IntN(2) == 0 {
			r.change()
		}
	}
	<-done
	r.record.troubles = append(r.record.troubles, trouble{
		address: fmt.Sprintf("%s:%d", d.ip, portCallers), from: began, to: time.Now(), restart: beside.name == "a kill" || beside.name == "a stop",
	})
}

// change writes a configuration, revokes the key or removes a worker.
func (r *restoreFaults) change() {
	p := &faultInjector{cluster: r.cluster, random: r.random, record: r.record}
	switch r.random.IntN(8) {
	case 0:
		revokeKey(p)
	case 1:
		announceLeaving(p)
	default:
		r.cluster.putConfig()
	}
	r.log("configuration %d", r.cluster.configVersion)
}

// restore brings the store back from a copy after an outage.
func (r *restoreFaults) restore() {
	chosen := r.copies[r.random.IntN(len(r.copies))]
	down := r.between(100*time.Millisecond, maxOutage)
	r.log("the store is away for %s and comes back from a copy that is %s old", down, time.Since(chosen.at))
	r.cluster.store.SetFaults(platform.Faults{Down: true})
	time.Sleep(down)
	r.cluster.store.Restore(chosen.taken)
	r.cluster.written.restored(r.random)
	for account, at := range r.record.revoked {
		if time.Since(at) < maxApplyTime+maxOutage {
			r.record.revoked[account] = time.Now()
		}
	}
	r.cluster.store.SetFaults(platform.Faults{})
}

// gateKind is the kind of requests on a route that only one configuration has.
func gateKind(version int64) string { return fmt.Sprintf("gate-%d", version) }

// checkVersions returns the requests that were handled as only an older configuration
// allows, and those for which the latest one wasn't in force in time.
func checkVersions(outcomes []outcome, w *writer, record *faultLog) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var violations []string
	fail := func(o outcome, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s (status %d): ", o.kind, o.id, o.address, o.status)+fmt.Sprintf(format, args...))
	}
	var ran []outcome
	for _, o := range outcomes {
		switch {
		case o.version == 0:
		case o.status == http.StatusOK:
			ran = append(ran, o)
		case o.status == http.StatusNotFound:
			late := o.sent.Sub(w.due[o.version])
			if late > maxApplyTime && w.current(o.version, o.ended) && !record.inTrouble(o, maxApplyTime) {
				fail(o, "its configuration is not in force after %s", late)
			}
		}
	}
	for _, o := range ran {
		for version, due := range w.due {
			if version > o.version && o.sent.Sub(due) > maxApplyTime && !record.inTrouble(o, maxApplyTime) {
				fail(o, "configuration %d is not in force after %s", version, o.sent.Sub(due))
				break
			}
		}
		for _, known := range ran {
			if known.address == o.address && known.version > o.version && known.ended.Before(o.sent) && !record.restarted(o.address, known.sent, o.ended) {
				fail(o, "configuration %d was in force %s before", known.version, o.sent.Sub(known.ended))
				break
			}
		}
	}
	return violations
}

// checkReports returns whether usage is no longer reported at the end.
func checkReports(reports map[int64]platform.Report) []string {
	latest := int64(0)
	for window := range reports {
		latest = max(latest, window)
	}
	if age := time.Since(time.Unix(latest*int64(usageWindow/time.Second), 0)); age > maxReportAge {
		return []string{fmt.Sprintf("the latest usage report is of a window that began %s ago", age)}
	}
	return nil
}
