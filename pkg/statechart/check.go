package statechart

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// check returns an error for the first fault of a definition. The order of the
// checks is stable.
func check(def *definition) error {
	if def.Name == "" {
		return errors.New("name is empty")
	}
	if _, ok := def.States[def.Initial]; !ok {
		return errors.Errorf("initial state %q does not exist", def.Initial)
	}
	if err := checkEvents(def.Events); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(def.States)) {
		if err := checkState(def, name); err != nil {
			return err
		}
	}
	if err := checkReachable(def); err != nil {
		return err
	}
	if def.Terminates {
		return checkTerminates(def)
	}
	return nil
}

func checkEvents(events []string) error {
	seen := make(map[string]bool, len(events))
	for _, event := range events {
		if event == "" || seen[event] {
			return errors.Errorf("event %q is empty or declared twice", event)
		}
		seen[event] = true
	}
	return nil
}

func checkState(def *definition, name string) error {
	s := def.States[name]
	for _, event := range slices.Sorted(maps.Keys(s.On)) {
		if !slices.Contains(def.Events, event) {
			return errors.Errorf("state %q handles undeclared event %q", name, event)
		}
		if _, ok := def.States[s.On[event]]; !ok {
			return errors.Errorf("state %q, event %q: target %q does not exist", name, event, s.On[event])
		}
		if slices.Contains(s.Ignore, event) {
			return errors.Errorf("state %q both handles and ignores event %q", name, event)
		}
	}
	for _, event := range s.Ignore {
		if !slices.Contains(def.Events, event) {
			return errors.Errorf("state %q ignores undeclared event %q", name, event)
		}
	}
	if s.Final {
		if len(s.On) > 0 {
			return errors.Errorf("final state %q has transitions", name)
		}
		return nil
	}
	return checkComplete(def, name)
}

// checkComplete returns an error if the state neither handles nor ignores an
// event, because its author may have overlooked that event.
func checkComplete(def *definition, name string) error {
	s := def.States[name]
	for _, event := range def.Events {
		if _, ok := s.On[event]; !ok && !slices.Contains(s.Ignore, event) {
			return errors.Errorf("state %q neither handles nor ignores event %q", name, event)
		}
	}
	return nil
}

// checkReachable returns an error if the initial state can't reach a state.
func checkReachable(def *definition) error {
	reached := reachableFrom(def, []string{def.Initial}, func(name string) []string {
		return slices.Collect(maps.Values(def.States[name].On))
	})
	for _, name := range slices.Sorted(maps.Keys(def.States)) {
		if !reached[name] {
			return errors.Errorf("state %q is unreachable", name)
		}
	}
	return nil
}

// checkTerminates returns an error if a state can't reach any final state.
func checkTerminates(def *definition) error {
	var finals []string
	predecessors := make(map[string][]string)
	for name, s := range def.States {
		if s.Final {
			finals = append(finals, name)
		}
		for _, to := range s.On {
			predecessors[to] = append(predecessors[to], name)
		}
	}
	if len(finals) == 0 {
		return errors.New("the chart terminates but has no final state")
	}
	terminating := reachableFrom(def, finals, func(name string) []string { return predecessors[name] })
	for _, name := range slices.Sorted(maps.Keys(def.States)) {
		if !terminating[name] {
			return errors.Errorf("no final state can be reached from state %q", name)
		}
	}
	return nil
}

// reachableFrom returns the states that can be reached from the states in start,
// including these; next returns the states that are one step away from a state.
func reachableFrom(def *definition, start []string, next func(string) []string) map[string]bool {
	reached := make(map[string]bool, len(def.States))
	queue := slices.Clone(start)
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if reached[name] {
			continue
		}
		reached[name] = true
		queue = append(queue, next(name)...)
	}
	return reached
}
