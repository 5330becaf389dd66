package health

import "time"

// Member is an upstream of one version.
type Member struct {
	Name       string
	Service    string
	Version    string
	DataCentre string
	// Incarnation changes when the upstream restarts under the same name. A
	// new incarnation ends a leaving notice.
	Incarnation string
}

// Reason is the reason for which the ejection of an upstream was requested.
type Reason int

// Reasons in ascending severity. If the panic threshold allows only some
// ejections, the most severe ones apply.
const (
	ReasonNone Reason = iota
	ReasonLatency
	ReasonFailureRate
	ReasonConsecutive
	ReasonFrozen
	ReasonActive
)

// String returns the reason as used in logs.
func (r Reason) String() string {
	names := [...]string{"none", "latency", "failure rate", "consecutive failures", "frozen", "active check"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Fault is the scope of a fault.
type Fault string

// Faults.
const (
	FaultNone       Fault = ""
	FaultInstance   Fault = "instance"
	FaultDataCentre Fault = "data centre"
)

// Signal is the source of a leaving notice.
type Signal string

// Signals.
const (
	SignalReclaim      Signal = "reclaim notice"
	SignalInstanceList Signal = "instance list"
	SignalDrain        Signal = "drain"
	SignalRefusal      Signal = "refusal"
)

// Status is the tracker's view of an upstream.
type Status struct {
	// Weight is the share of normal traffic, 0 to 1. It is 0 if the upstream
	// is ejected or leaving.
	Weight float64
	// Reason is set while an ejection is requested, even if the panic threshold
	// prevents it.
	Reason Reason
	Fault  Fault
	// EjectionPrevented is true if the panic threshold prevents the ejection.
	EjectionPrevented bool
	// Leaving is the signal of the leaving notice, empty if there is none.
	Leaving Signal
	// LeavingSince is when the notice was recorded.
	LeavingSince time.Time
}

// Outcome is the result of one attempt.
type Outcome struct {
	// Failed is true for connection errors, timeouts and failure replies that
	// the upstream and not the caller is responsible for.
	Failed bool
	// Latency is the time to the first byte, divided by the expected time if
	// requests differ much in size; 0 means not measured.
	Latency time.Duration
}
