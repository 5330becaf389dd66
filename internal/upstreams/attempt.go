package upstreams

import (
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// Failure says how an attempt ended, for the health tracker and the concurrency
// limits.
type Failure int

// Values of Failure.
const (
	// FailureNone means success, or an end that the upstream did not cause.
	FailureNone Failure = iota
	// FailureError means that the upstream failed or could not be reached.
	FailureError
	// FailureOverload means that the upstream refused because of its load.
	FailureOverload
)

// ObserveLoad records the load that the upstream stated in its reply.
func (a *Attempt) ObserveLoad(l engine.Load) {
	if !l.Known {
		return
	}
	a.entry.candidate.SetReplyLoad(routing.Load{
		Running: l.Running, Waiting: l.Waiting, At: a.directory.options.Clock.Now(),
	})
}

// FirstByte records the arrival of the first byte of the reply.
func (a *Attempt) FirstByte() {
	if a.firstByte != 0 {
		return
	}
	a.firstByte = max(1, a.directory.options.Clock.Now().Sub(a.started))
	a.inFlight.FirstByte()
	a.entry.limits.Observe(a.class, a.firstByte, a.work, a.entry.candidate.InFlightOf(a.class))
	a.entry.candidate.ObserveRate(a.work, a.firstByte)
}

// FirstByteLatency returns the time to the first byte, 0 if none has arrived.
func (a *Attempt) FirstByteLatency() time.Duration { return a.firstByte }

// Elapsed returns the time since the attempt began.
func (a *Attempt) Elapsed() time.Duration { return a.directory.options.Clock.Now().Sub(a.started) }

// End finishes the attempt and reports its outcome to the concurrency limits and
// the health tracker.
func (a *Attempt) End(failure Failure) {
	a.inFlight.End()
	switch failure {
	case FailureOverload:
		a.entry.limits.Drop(a.class)
	case FailureError:
		a.directory.tracker.Observe(a.Name, health.Outcome{Failed: true})
	default:
		if a.firstByte > 0 {
			a.directory.tracker.Observe(a.Name, health.Outcome{Latency: a.firstByte})
		}
	}
	if status, ok := a.directory.tracker.Status(a.Name); ok {
		a.entry.publish(status)
	}
}

// Status lists the upstreams for the operator API.
func (d *Directory) Status() []operatorapi.UpstreamStatus {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]operatorapi.UpstreamStatus, 0, len(d.entries))
	for name, e := range d.entries {
		status, _ := d.tracker.Status(name)
		list = append(list, operatorapi.UpstreamStatus{
			Name: name, Address: e.spec.Address, DataCentre: e.spec.DataCentre,
			State: stateText(e.machine.State(), status), InFlight: e.candidate.InFlight(),
			Limit: e.limits.Total(), Health: status.Weight,
		})
	}
	return list
}

// RefusalNotice returns the leaving notice for an upstream that refused the
// attempt because it is about to stop.
func (a *Attempt) RefusalNotice() Notice {
	return Notice{
		Upstream: a.Name, Address: a.Address, Signal: health.SignalRefusal,
		Observed: a.directory.options.Clock.Now(),
	}
}
