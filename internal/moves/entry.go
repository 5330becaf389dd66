package moves

import (
	"log/slog"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// States of the state chart "move" that the manager checks for.
const (
	stateWaiting  = "waiting"
	stateRamping  = "ramping"
	stateWatching = "watching"
)

// entry is the state of one generation of a move. Manager.mu guards it.
type entry struct {
	key     key
	spec    *object.Move
	ramp    move.Ramp
	machine *statechart.Machine
	// wasDone means that the move was already done when this daemon first read it.
	wasDone bool
	// watchEnd is the end of the watch time after the ramp; zero until the ramp is
	// complete.
	watchEnd time.Time

	own      *counters               // of this daemon
	traffic  traffic                 // requests on this daemon
	judge    *move.Judge             // of this daemon's counters, nil if none were judged
	judged   map[counterKey]counter  // this daemon's counters that judge has seen
	pool     *pool                   // counters of all daemons, nil if none reported
	reported map[string]*reportState // by daemon ID of the evaluator
	record   recordState

	upstreams int // number of upstreams of the new version
	routes    int // number of routes of the service
}

// newEntry returns the entry of a move without evidence.
func (m *Manager) newEntry(k key, spec *object.Move) *entry {
	e := &entry{
		key: k, spec: spec, ramp: move.NewRamp(spec), machine: m.options.Chart.Machine(),
		own: newCounters(), reported: make(map[string]*reportState), judged: make(map[counterKey]counter),
	}
	e.wasDone = spec.State == object.MoveDone
	return e
}

// setUpstreams sets the number of upstreams of the new version, also in the judges.
func (e *entry) setUpstreams(n int) {
	e.upstreams = n
	if e.judge != nil {
		e.judge.SetUpstreams(n)
	}
	if e.pool != nil {
		e.pool.judge.SetUpstreams(n)
	}
}

// fire fires an event on the state machine of the move and logs a change of state.
func (e *entry) fire(log *slog.Logger, event string) {
	before := e.machine.State()
	if e.machine.Final() {
		return
	}
	if err := e.machine.Fire(event); err != nil {
		log.Warn("move event not handled", "move", e.key.name, "generation", e.key.generation, "event", event, "error", err.Error())
		return
	}
	if after := e.machine.State(); after != before {
		log.Info("move state changed", "move", e.key.name, "generation", e.key.generation, "from", before, "to", after)
	}
}

// fireDueEvents fires the events that follow from the time and the verdict. When
// the ramp is complete, it also sets the verdict Done.
func (e *entry) fireDueEvents(m *Manager, now time.Time) {
	verdict := m.verdicts[e.key]
	if e.machine.State() == stateWaiting && !now.Before(e.ramp.Start) {
		e.fire(m.options.Log, "start")
	}
	switch e.machine.State() {
	case stateRamping:
		if !e.ramp.Complete(now, verdict) {
			return
		}
		e.watchEnd = e.ramp.Finish().Add(watchTime)
		if !e.wasDone {
			e.watchEnd = later(now, e.ramp.Finish()).Add(watchTime)
		}
		e.fire(m.options.Log, "finish")
		if m.merge(e.key, move.Verdict{Outcome: move.Done, Decided: now, By: m.options.Self, Evidence: e.summary()}) {
			m.rebuild()
		}
	case stateWatching:
		if now.After(e.watchEnd) {
			e.fire(m.options.Log, "finish")
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isJudged reports whether the new version is compared with the old one at a time.
func (e *entry) isJudged(now time.Time) bool {
	state := e.machine.State()
	return state == stateRamping || state == stateWatching && !now.After(e.watchEnd)
}

// judgeOwn passes the increase of this daemon's counters to its judge. share is the
// percentage of the new version by the ramp.
func (e *entry) judgeOwn(now time.Time, share float64, daemons int) {
	samples := e.own.since(e.judged, e.spec.To)
	if len(samples) == 0 {
		return
	}
	if e.judge == nil {
		e.judge = move.NewJudge(move.JudgeConfig{FalseAlarmProbability: ownFalseAlarmProbability, Judges: daemons, Routes: e.routes})
		e.judge.SetUpstreams(e.upstreams)
	}
	e.judge.Add(now, share, samples)
}

// finding returns the finding and the traffic of all daemons if they are known here
// and cover at least as many requests, otherwise those of this daemon.
func (e *entry) finding() (move.Finding, traffic) {
	var own, pooled move.Finding
	if e.judge != nil {
		own = e.judge.Finding()
	}
	if e.pool != nil {
		pooled = e.pool.judge.Finding()
	}
	if e.pool != nil && pooled.NewRequests+pooled.OldRequests >= own.NewRequests+own.OldRequests {
		return pooled, e.pool.traffic
	}
	return own, e.traffic
}

// traffic shows whether the new version gets the requests that the ramp gives it.
type traffic struct {
	lastRequest time.Time // of either version
	// missed is the number of requests that the new version should have got by the
	// ramp since its last request.
	missed float64
}

// add counts requests, of which newRequests went to the new version.
func (t *traffic) add(now time.Time, share float64, newRequests, requests float64) {
	if requests <= 0 {
		return
	}
	t.lastRequest = now
	t.missed += requests * share / 100
	if newRequests > 0 {
		t.missed = 0
	}
}

// oneIf returns 1 for true and 0 for false.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// Observe counts the evidence of one attempt. It is called by the request path.
func (m *Manager) Observe(o proxy.Observation) {
	list := m.view.Load().services[o.Service]
	if len(list) == 0 {
		return
	}
	now := m.options.Clock.Now()
	snapshot := m.options.Config()
	labels := accountLabels(snapshot, o.Account)
	slowAfter := time.Duration(0)
	if spec, _, ok := object.Lookup[*object.Service](snapshot.Set, object.KindService, o.Service); ok {
		slowAfter = time.Duration(spec.SlowAfter)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range list {
		isNew := o.Version == a.spec.To
		if !isNew && o.Version != a.spec.From || !a.covers(o.Route, labels) || !a.entry.isJudged(now) {
			continue
		}
		a.entry.traffic.add(now, a.ramp.Share(now, a.verdict), oneIf(isNew), 1)
		a.entry.own.observe(o, isNew, slowAfter)
	}
}

// condition returns whether an open move can still meet its deadline.
func (e *entry) condition(m *Manager, now time.Time) move.Condition {
	f, seen := e.finding()
	return e.ramp.Assess(move.Progress{
		Now: now, Verdict: m.verdicts[e.key], Requests: uint64(f.NewRequests), RemainingRequests: f.RemainingRequests,
		LastRequest: seen.lastRequest, MissedRequests: seen.missed,
	})
}
