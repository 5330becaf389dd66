package upstreams

import "github.com/dogwoodrudder/dogwoodrudder/pkg/health"

// Usage is the load and the state of one upstream.
type Usage struct {
	Name string
	// InFlight is the number of this daemon's attempts in flight. Reported is the
	// number of running and waiting requests of all daemons in the latest load
	// report.
	InFlight, Reported int
	// Serving means that the upstream is neither ejected nor leaving. Ejected means
	// that its health calls for ejection, even if the panic threshold prevents it.
	Serving, Ejected bool
}

// Usage lists the upstreams that this daemon uses.
func (d *Directory) Usage() []Usage {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]Usage, 0, len(d.entries))
	for name, e := range d.entries {
		status, known := d.tracker.Status(name)
		load, _ := e.candidate.ReportedLoad()
		list = append(list, Usage{
			Name: name, InFlight: e.candidate.InFlight(), Reported: load.Running + load.Waiting,
			Serving: known && status.Leaving == "" && status.Reason == health.ReasonNone,
			Ejected: known && status.Leaving == "" && status.Reason != health.ReasonNone,
		})
	}
	return list
}
