package proxy

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// Events of the request and attempt charts.
const (
	eventAdmit       = "admit"
	eventRefuse      = "refuse"
	eventStart       = "start"
	eventFirst       = "first_event"
	eventAttemptLost = "attempt_lost"
	eventComplete    = "complete"
	eventFail        = "fail"
	eventCallerGone  = "caller_gone"
	eventMove        = "move"

	eventConnect = "connect"
	eventSend    = "send"
	eventReply   = "reply"
	eventEnd     = "end"
	eventBreak   = "break"
	eventAbandon = "abandon"
	eventLeaving = "upstream_leaving"
)

// States that the request path asks for.
const (
	stateReceived  = "received"
	stateStreaming = "streaming"
	stateDetached  = "detached"
	stateNotRun    = "not_run"
)

// lifecycles are the charts that requests and attempts follow.
type lifecycles struct {
	request, attempt *statechart.Chart
}

func loadLifecycles() (lifecycles, error) {
	request, err := statechart.Load(charts.Files, "request")
	if err != nil {
		return lifecycles{}, err
	}
	attempt, err := statechart.Load(charts.Files, "attempt")
	return lifecycles{request, attempt}, err
}

// refusedEvents counts events that a chart does not allow in its state; each
// one is a fault of the program.
var refusedEvents = metrics.GetOrCreateCounter("rudder_chart_refused_events_total")

// fireAll passes events to a machine and counts those it refuses.
func fireAll(m *statechart.Machine, events ...string) {
	for _, event := range events {
		if m.Final() {
			return
		}
		if err := m.Fire(event); err != nil {
			refusedEvents.Inc()
		}
	}
}

// failureEvent returns the event by which a request in the given state fails.
func failureEvent(state string) string {
	if state == stateReceived {
		return eventRefuse
	}
	return eventFail
}

// fire passes an event to the request's chart.
func (f *Inflight) fire(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fireAll(f.machine, event)
}

// State returns the request's state as named by charts/request.yaml.
func (f *Inflight) State() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.State()
}
