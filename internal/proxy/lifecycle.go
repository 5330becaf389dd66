package proxy

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// Events of the statecharts: first those of charts/request.yaml, then those of
// charts/attempt.yaml.
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

// States of the statecharts that the proxy compares with.
const (
	stateReceived  = "received"
	stateStreaming = "streaming"
	stateDetached  = "detached"
	stateNotRun    = "not_run"
)

// requestCharts holds the statecharts of requests and attempts.
type requestCharts struct {
	request, attempt *statechart.Chart
}

func loadCharts() (requestCharts, error) {
	request, err := statechart.Load(charts.Files, "request")
	if err != nil {
		return requestCharts{}, err
	}
	attempt, err := statechart.Load(charts.Files, "attempt")
	return requestCharts{request, attempt}, err
}

// refusedEvents counts events that a statechart does not allow in its current
// state. Each one is a bug in this package.
var refusedEvents = metrics.GetOrCreateCounter("rudder_chart_refused_events_total")

// fireAll fires events until the machine is in a final state, and counts those
// that it refuses.
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

// fire fires an event in the request's statechart.
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
