package moves

import (
	"log/slog"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// States of the chart "move" that the manager asks for.
const (
	stateWaiting  = "waiting"
	stateRamping  = "ramping"
	stateWatching = "watching"
)

// entry is the state of one move generation. The manager's mu guards it.
type entry struct {
	key     key
	spec    *object.Move
	ramp    move.Ramp
	machine *statechart.Machine
	// wasDone means that the move was already done when this daemon saw it.
	wasDone bool
	// watchEnd is when the watch time after the move is over, zero before.
	watchEnd time.Time

	own     *counters
	flow    flow // requests on this daemon
	judge   *move.Judge
	judged0 map[counterKey]counter // own counters at the last judgement
	pool    *pool                  // counters of all daemons, nil if none reported
	sent    map[string]*sentState  // by evaluator
	record  recordState

	upstreams int // of the new version
	routes    int // of the service
}

func (m *Manager) newEntry(k key, spec *object.Move) *entry {
	e := &entry{
		key: k, spec: spec, ramp: move.NewRamp(spec), machine: m.options.Chart.Machine(),
		own: newCounters(), sent: make(map[string]*sentState), judged0: make(map[counterKey]counter),
	}
	e.wasDone = spec.State == object.MoveDone
	return e
}

func (e *entry) setUpstreams(n int) {
	e.upstreams = n
	if e.judge != nil {
		e.judge.SetUpstreams(n)
	}
	if e.pool != nil {
		e.pool.judge.SetUpstreams(n)
	}
}

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

// progress fires the events that follow from the time and the verdict.
func (e *entry) progress(m *Manager, now time.Time) {
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

// judged reports whether the new version is judged at a time.
func (e *entry) judged(now time.Time) bool {
	state := e.machine.State()
	return state == stateRamping || state == stateWatching && !now.After(e.watchEnd)
}

// judgeOwn runs the daemon's own judge over the own counters.
func (e *entry) judgeOwn(now time.Time, share float64, daemons int) {
	samples := e.own.since(e.judged0, e.spec.To)
	if len(samples) == 0 {
		return
	}
	if e.judge == nil {
		e.judge = move.NewJudge(move.JudgeConfig{FalseAlarmProbability: ownAlarm, Judges: daemons, Routes: e.routes})
		e.judge.SetUpstreams(e.upstreams)
	}
	e.judge.Add(now, share, samples)
}

// finding returns the pooled evidence and flow if there is more of it than own
// evidence.
func (e *entry) finding() (move.Finding, flow) {
	var own, pooled move.Finding
	if e.judge != nil {
		own = e.judge.Finding()
	}
	if e.pool != nil {
		pooled = e.pool.judge.Finding()
	}
	if e.pool != nil && pooled.NewRequests+pooled.OldRequests >= own.NewRequests+own.OldRequests {
		return pooled, e.pool.flow
	}
	return own, e.flow
}

// flow tells whether the new version gets the requests it should get.
type flow struct {
	last   time.Time // last request of either version
	missed float64   // requests due by the ramp since the last one of the new version
}

func (f *flow) add(now time.Time, share float64, fresh, all float64) {
	if all <= 0 {
		return
	}
	f.last = now
	f.missed += all * share / 100
	if fresh > 0 {
		f.missed = 0
	}
}

func pick(fresh bool) float64 {
	if fresh {
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
		fresh := o.Version == a.spec.To
		if !fresh && o.Version != a.spec.From || !a.covers(o.Route, labels) || !a.entry.judged(now) {
			continue
		}
		a.entry.flow.add(now, a.ramp.Share(now, a.verdict), pick(fresh), 1)
		a.entry.own.observe(o, fresh, slowAfter)
	}
}

// condition assesses an open move.
func (e *entry) condition(m *Manager, now time.Time) move.Condition {
	f, flow := e.finding()
	return e.ramp.Assess(move.Progress{
		Now: now, Verdict: m.verdicts[e.key], Requests: uint64(f.NewRequests), RemainingRequests: f.RemainingRequests,
		LastRequest: flow.last, MissedRequests: flow.missed,
	})
}
