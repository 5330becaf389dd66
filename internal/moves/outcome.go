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
	// recordStagger is the delay between two daemons that are adjacent in the hash
	// order. The first daemon records at once. Each later one does so only if the
	// outcome isn't in the configuration when its delay ends.
	recordStagger = 5 * time.Second
	// recordRetryInterval is the mean time between two attempts of one daemon. During
	// a store outage the number of daemons that try grows by one every recordStagger.
	recordRetryInterval = 20 * time.Second
	recordTimeout       = 5 * time.Second
)

// recordState is the state of recording the outcome of one move in the store.
type recordState struct {
	outcome     move.Outcome
	nextAttempt time.Time
	inProgress  bool
	// obsolete means that the store has another generation of the move or a state
	// that takes precedence.
	obsolete bool
}

// recordTask is an outcome to record.
type recordTask struct {
	entry    *entry
	state    object.MoveState
	evidence string
}

// recordedStates has the state of a move in the store by its outcome.
var recordedStates = map[move.Outcome]object.MoveState{
	move.Done: object.MoveDone, move.TakenBack: object.MoveTakenBack,
}

// dueRecords returns the outcomes that this daemon should record now. The caller
// holds mu.
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
			*r = recordState{outcome: verdict.Outcome, inProgress: r.inProgress}
			r.nextAttempt = now.Add(time.Duration(m.rank(e.key)) * recordStagger)
		}
		if r.inProgress || r.obsolete || now.Before(r.nextAttempt) {
			continue
		}
		r.inProgress = true
		due = append(due, recordTask{e, state, verdict.Evidence})
	}
	return due
}

// rank returns this daemon's index in the hash order of the daemons for a move.
func (m *Manager) rank(k key) int {
	ranked := m.options.Ranked(k.name, m.options.Daemons())
	for i, member := range ranked {
		if member.DaemonID == m.options.Self {
			return i
		}
	}
	return len(ranked)
}

// recordOutcome records an outcome in the store and schedules the next attempt.
func (m *Manager) recordOutcome(ctx context.Context, task recordTask) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	k := task.entry.key
	err := m.options.Record(ctx, k.name, k.generation, task.state, task.evidence)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &task.entry.record
	r.inProgress = false
	// Also after a success: the interval covers the time until the change arrives in
	// the configuration of this daemon.
	r.nextAttempt = m.options.Clock.Now().Add(time.Duration((0.5 + m.options.Jitter()) * float64(recordRetryInterval)))
	switch code := result.CodeOf(err); {
	case err == nil:
		m.options.Log.Info("move outcome recorded", "move", k.name, "generation", k.generation, "state", string(task.state))
	case code == result.MoveConflict || code == result.MoveNotFound:
		r.obsolete = true
		m.options.Log.Info("move outcome is obsolete", "move", k.name, "generation", k.generation, "error", err.Error())
	default:
		m.options.Log.Warn("move outcome not recorded", "move", k.name, "generation", k.generation, "error", err.Error())
	}
}
