package moves

import (
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Progress adds the verdict, the measured share and the condition of a move to its
// configured state. An evaluator measures over all daemons, another daemon over its
// own requests.
func (m *Manager) Progress(s config.MoveStatus) operatorapi.MoveStatus {
	status := operatorapi.MoveStatus{
		Name: s.Name, Service: s.Spec.Service, From: s.Spec.From, To: s.Spec.To, State: s.State,
		Deadline: s.Spec.Deadline, Generation: s.Generation, Evidence: s.Evidence, MeasuredPercent: -1,
		Condition: string(move.OnTime),
	}
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict := m.verdicts[key{s.Name, s.Generation}]
	if status.Evidence == "" {
		status.Evidence = verdict.Evidence
	}
	if state, ok := recordedStates[verdict.Outcome]; ok && s.State == object.MoveOpen {
		status.State = state
	}
	if s.State != object.MoveCancelled {
		status.TargetPercent = move.NewRamp(&s.Spec).Share(now, verdict)
	}
	e := m.entries[s.Name]
	if e == nil || e.key.generation != s.Generation {
		return status
	}
	f, _ := e.finding()
	if total := f.NewRequests + f.OldRequests; total > 0 {
		status.MeasuredPercent = 100 * f.NewRequests / total
		status.Requests = uint64(total)
	}
	status.Condition = string(e.condition(m, now))
	if status.Evidence == "" && status.Requests > 0 {
		status.Evidence = e.summary()
	}
	return status
}
