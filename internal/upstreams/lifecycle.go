package upstreams

import (
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
)

// Events and states of the state chart charts/upstream.yaml.
const (
	eventProbeOK = "probe_ok"
	eventEject   = "eject"
	eventReadmit = "readmit"
	eventRamped  = "ramped"
	eventNotice  = "notice"
	eventRemoved = "removed"

	stateUnproven = "unproven"
	stateEjected  = "ejected"
)

// fireStatusEvents fires the events that correspond to a health status on the
// state machine of an upstream. The caller holds d.mu.
func (d *Directory) fireStatusEvents(e *entry, s health.Status) {
	switch {
	case s.Leaving != "":
		d.fire(e, eventNotice)
	case s.Weight == 0:
		d.fire(e, eventEject)
	default:
		if e.machine.State() == stateEjected {
			d.fire(e, eventReadmit)
		}
		if e.machine.State() == stateUnproven {
			d.fire(e, eventProbeOK)
		}
		if s.Weight == 1 {
			d.fire(e, eventRamped)
		}
	}
}

// fire fires an event on the state machine of an upstream and logs a change of
// state. The caller holds d.mu.
func (d *Directory) fire(e *entry, event string) {
	before := e.machine.State()
	if err := e.machine.Fire(event); err != nil {
		d.options.Log.Warn("upstream event not handled", "upstream", e.candidate.Name, "event", event, "error", err.Error())
		return
	}
	if after := e.machine.State(); after != before {
		d.options.Log.Info("upstream state changed", "upstream", e.candidate.Name, "from", before, "to", after, "event", event)
	}
}

// stateText returns the state with the reason for the health status, if any.
func stateText(state string, s health.Status) string {
	switch {
	case s.Leaving != "":
		return state + ": " + string(s.Leaving)
	case s.EjectionPrevented:
		return state + " (kept by panic threshold): " + s.Reason.String()
	case s.Reason != health.ReasonNone:
		return state + ": " + s.Reason.String()
	}
	return state
}
