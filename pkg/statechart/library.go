package statechart

import (
	"context"
	"maps"
	"slices"

	"github.com/qmuntal/stateless"
)

// machineKey is the context key of the Machine whose state the library reads and
// writes.
type machineKey struct{}

// newLibraryMachine configures the library's state machine for a definition. It
// reads and writes the state of the Machine in the context.
func newLibraryMachine(def *definition) *stateless.StateMachine {
	library := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			if m, ok := ctx.Value(machineKey{}).(*Machine); ok {
				return m.state, nil
			}
			return def.Initial, nil // ToGraph passes a context without a Machine
		},
		func(ctx context.Context, state stateless.State) error {
			ctx.Value(machineKey{}).(*Machine).enter(state)
			return nil
		},
		stateless.FiringImmediate,
	)
	for _, name := range slices.Sorted(maps.Keys(def.States)) {
		s := def.States[name]
		config := library.Configure(name)
		for _, event := range slices.Sorted(maps.Keys(s.On)) {
			if s.On[event] == name {
				config.PermitReentry(event)
			} else {
				config.Permit(event, s.On[event])
			}
		}
		for _, event := range s.Ignore {
			config.Ignore(event)
		}
	}
	return library
}

// Diagram returns the chart in the DOT language of Graphviz.
func (c *Chart) Diagram() string {
	return c.library.ToGraph()
}
