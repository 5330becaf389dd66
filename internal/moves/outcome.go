package moves

import (
	"context"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Parameters of recording outcomes in the store.
const (
	// recordSpacing is the time between the turns of two daemons. The daemon
	// that is first by hash records at once; the next one only if the outcome
	// isn't in the configuration by then.
	recordSpacing = 5 * time.Second
	// recordRetry is the mean pause after a failed attempt. During a store
	// outage the number of daemons that try grows by one every recordSpacing.
	recordRetry   = 20 * time.Second
	recordTimeout = 5 * time.Second
)

// recordState plans the recording of an outcome.
type recordState struct {
	outcome move.Outcome
	next    time.Time
	busy    bool
	settled bool // the store holds another generation or a state that wins
}

type recordTask struct {
	entry    *entry
	state    object.MoveState
	evidence string
}

var recordedStates = map[move.Outcome]object.MoveState{
	move.Done: object.MoveDone, move.TakenBack: object.MoveTakenBack,
}

// dueRecords returns the outcomes that this daemon should store now; the
// caller holds mu.
func (m *Manager) dueRecords(now time.Time) []recordTask {
	var due []recordTask
	for _, e := range m.entries {
		verdict := m.verdicts[e.key]
		state, decided := recordedStates[verdict.Outcome]
		if !decided || e.spec.State == state || e.spec.State == object.MoveCancelled {
			continue
		}
		r := &e.record
		if r.outcome != verdict.Outcome {
			*r = recordState{outcome: verdict.Outcome, busy: r.busy}
			r.next = now.Add(time.Duration(m.rank(e.key)) * recordSpacing)
		}
		if r.busy || r.settled || now.Before(r.next) {
			continue
		}
		r.busy = true
		due = append(due, recordTask{e, state, verdict.Evidence})
	}
	return due
}

// rank is this daemon's place in the hash order of the daemons for a move.
func (m *Manager) rank(k key) int {
	ranked := m.options.Ranked(k.name, m.options.Daemons())
	for i, member := range ranked {
		if member.DaemonID == m.options.Self {
			return i
		}
	}
	return len(ranked)
}

func (m *Manager) record(ctx context.Context, task recordTask) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	k := task.entry.key
	err := m.options.Record(ctx, k.name, k.generation, task.state, task.evidence)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &task.entry.record
	r.busy = false
	// The pause also covers the time until the change arrives here.
	r.next = m.options.Clock.Now().Add(time.Duration((0.5 + m.options.Jitter()) * float64(recordRetry)))
	switch code := result.CodeOf(err); {
	case err == nil:
		m.options.Log.Info("move outcome recorded", "move", k.name, "generation", k.generation, "state", string(task.state))
	case code == result.MoveConflict || code == result.MoveNotFound:
		r.settled = true
		m.options.Log.Info("move outcome is obsolete", "move", k.name, "generation", k.generation, "error", err.Error())
	default:
		m.options.Log.Warn("move outcome not recorded", "move", k.name, "generation", k.generation, "error", err.Error())
	}
}
