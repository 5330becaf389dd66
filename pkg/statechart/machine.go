package statechart

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// Reasons for Fire to reject an event.
var (
	ErrUnknownEvent = errors.New("event is not part of the chart")
	ErrFinal        = errors.New("state is final")
)

// EventError is the error that Fire returns. errors.Is matches its reason.
type EventError struct {
	Chart  string
	State  string
	Event  string
	Reason error
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("chart %s, state %s, event %s: %v", e.Chart, e.State, e.Event, e.Reason)
}

// Unwrap returns the reason.
func (e *EventError) Unwrap() error { return e.Reason }

// Transition describes a completed transition to a hook.
type Transition struct {
	From  string
	To    string
	Event string
}

// Hook is a callback that runs after State was entered, or after any state was if
// State is empty. Hooks run in the goroutine that calls Fire; a hook may fire the
// next event.
type Hook struct {
	State string
	Run   func(Transition)
}

// Machine is one running instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart   *Chart
	ctx     context.Context // carries the Machine to the library's state storage
	state   stateless.State
	entered bool // whether the current event entered a state
	hooks   []Hook
}

// Machine returns an instance in the initial state. It panics if a hook names
// a state that the chart does not have, which is a programming error.
func (c *Chart) Machine(hooks ...Hook) *Machine {
	for _, h := range hooks {
		if _, ok := c.def.States[h.State]; !ok && h.State != "" {
			panic(fmt.Sprintf("chart %s has no state %q", c.def.Name, h.State))
		}
	}
	m := &Machine{chart: c, state: c.def.Initial, hooks: hooks}
	m.ctx = context.WithValue(context.Background(), machineKey{}, m)
	return m
}

// State returns the name of the current state.
func (m *Machine) State() string { return m.state.(string) }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.def.States[m.State()].Final }

// Can reports whether event leads to a transition in the current state.
func (m *Machine) Can(event string) bool {
	_, ok := m.chart.def.States[m.State()].On[event]
	return ok
}

// Fire handles event. An ignored event changes nothing and is no error. A
// transition to the same state runs the hooks of that state again.
func (m *Machine) Fire(event string) error {
	trigger, ok := m.chart.events[event]
	if !ok {
		return m.eventError(event, ErrUnknownEvent)
	}
	if m.Final() {
		return m.eventError(event, ErrFinal)
	}
	from := m.state
	m.entered = false
	if err := m.chart.library.FireCtx(m.ctx, trigger); err != nil {
		return m.eventError(event, err)
	}
	if m.entered {
		m.runHooks(Transition{From: from.(string), To: m.State(), Event: event})
	}
	return nil
}

// enter is called by the library to set the state. It doesn't run the hooks: Fire
// does after the library has returned, because for a transition to the same state
// the library sets the state as its last step.
func (m *Machine) enter(state stateless.State) {
	m.state = state
	m.entered = true
}

func (m *Machine) runHooks(t Transition) {
	for i := range m.hooks {
		if h := &m.hooks[i]; h.State == "" || h.State == t.To {
			h.Run(t)
		}
	}
}

func (m *Machine) eventError(event string, reason error) error {
	return &EventError{Chart: m.chart.def.Name, State: m.State(), Event: event, Reason: reason}
}
