package moves

import (
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Progress completes the configured state of a move with what this daemon
// knows: the counters of all daemons on an evaluator, its own elsewhere.
func (m *Manager) Progress(s config.MoveStatus) operatorapi.MoveStatus {
	answer := operatorapi.MoveStatus{
		Name: s.Name, Service: s.Spec.Service, From: s.Spec.From, To: s.Spec.To, State: s.State,
		Deadline: s.Spec.Deadline, Generation: s.Generation, Evidence: s.Evidence, MeasuredPercent: -1,
		Condition: string(move.OnTime),
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict := m.verdicts[key{s.Name, s.Generation}]
	if answer.Evidence == "" {
		answer.Evidence = verdict.Evidence
	}
	if state, ok := recordedStates[verdict.Outcome]; ok && s.State == object.MoveOpen {
		answer.State = state
	}
	if s.State != object.MoveCancelled {
		answer.TargetPercent = move.NewRamp(&s.Spec).Share(now, verdict)
	}
	e := m.entries[s.Name]
	if e == nil || e.key.generation != s.Generation {
		return answer
	}
	f, _ := e.finding()
	if total := f.NewRequests + f.OldRequests; total > 0 {
		answer.MeasuredPercent = 100 * f.NewRequests / total
		answer.Requests = uint64(total)
	}
	answer.Condition = string(e.condition(m, now))
	if answer.Evidence == "" && answer.Requests > 0 {
		answer.Evidence = e.summary()
	}
	return answer
}
