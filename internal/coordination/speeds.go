package coordination

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

// maxSpeedChanges bounds the speeds in one response. An instance takes up to about 40 bytes,
// so that a response has at most 20 KiB of them; a daemon that starts gets those of 12,000
// instances with its first 24 reports.
const maxSpeedChanges = 512

// speedExchange exchanges what a daemon measures of the instances' speeds with the
// coordinator.
type speedExchange struct {
	learner *speed.Learner
	changed func()

	mu    sync.Mutex
	epoch int64 // fencing token of the coordinator that index is from
	index int64 // of the last change received from it
}

// addTo adds what was measured since the last report. It is lost if the report fails: the
// estimates rest on many reports. What was received since then is in use from now on.
func (e *speedExchange) addTo(r *coordinatorv1.ReportRequest) {
	if e.learner == nil {
		return
	}
	for _, report := range e.learner.TakeReport() {
		times := &coordinatorv1.ServiceTimes{Service: report.Service, Sums: floats(report.Fit[:])}
		for _, i := range report.Instances {
			times.Instances = append(times.Instances, &coordinatorv1.InstanceEvidence{
				Instance: i.Instance, Incarnation: i.Incarnation, Weight: float32(i.Weight), Sum: float32(i.Sum),
			})
		}
		r.Times = append(r.Times, times)
	}
	e.mu.Lock()
	r.SpeedsEpoch, r.SpeedsIndex = e.epoch, e.index
	e.mu.Unlock()
	e.changed()
}

// apply applies the changes of a response. Those of an earlier request may arrive late and
// are then applied again.
func (e *speedExchange) apply(r *coordinatorv1.ReportResponse) {
	if e.learner == nil {
		return
	}
	e.mu.Lock()
	if r.Token < e.epoch {
		e.mu.Unlock()
		return
	}
	if r.Token > e.epoch || r.SpeedsIndex > e.index {
		e.epoch, e.index = r.Token, r.SpeedsIndex
	}
	e.mu.Unlock()
	if r.SpeedsIndex == 0 && len(r.Speeds) == 0 {
		return // a coordinator that shares no speeds, or knows none
	}
	e.learner.Heard(r.Token)
	if len(r.Speeds) == 0 {
		return
	}
	all := make([]speed.Speeds, 0, len(r.Speeds))
	for _, s := range r.Speeds {
		decoded := speed.Speeds{Service: s.Service, Weight: float64(s.Weight)}
		copyFloats(decoded.Model.Coefficients[:], s.Coefficients)
		for _, i := range s.Instances {
			decoded.Instances = append(decoded.Instances, speed.Estimate{
				Instance: i.Instance, Incarnation: i.Incarnation, Log: float64(i.Log), Error: float64(i.Error),
			})
		}
		all = append(all, decoded)
	}
	e.learner.Apply(all)
}

// newSpeedBook returns the book of a new coordinator, which starts with what its daemon
// knows. What the other daemons know is not asked for: they keep it until the new
// coordinator tells them something newer.
func newSpeedBook(learner *speed.Learner, now func() time.Duration) *speed.Book {
	if learner == nil {
		return nil
	}
	book := speed.NewBook(now)
	book.Seed(learner.Known())
	return book
}

// mergeSpeeds adds what a daemon has measured to the book.
func mergeSpeeds(book *speed.Book, r *coordinatorv1.ReportRequest) {
	if book == nil {
		return
	}
	for _, t := range r.Times {
		report := speed.Report{Service: t.Service}
		copyFloats(report.Fit[:], t.Sums)
		for _, i := range t.Instances {
			report.Instances = append(report.Instances, speed.Evidence{
				Instance: i.Instance, Incarnation: i.Incarnation, Weight: float64(i.Weight), Sum: float64(i.Sum),
			})
		}
		if !book.Add(report) {
			metrics.GetOrCreateCounter("rudder_speed_reports_refused_total").Inc()
		}
	}
}

// answerSpeeds adds the changes that the daemon lacks to the response.
func answerSpeeds(book *speed.Book, r *coordinatorv1.ReportRequest, response *coordinatorv1.ReportResponse) {
	if book == nil {
		return
	}
	after := r.SpeedsIndex
	if r.SpeedsEpoch != response.Token {
		after = 0
	}
	changes, index := book.Changes(after, maxSpeedChanges)
	response.SpeedsIndex = index
	for _, s := range changes {
		told := &coordinatorv1.ServiceSpeeds{Service: s.Service, Weight: float32(s.Weight), Coefficients: floats(s.Model.Coefficients[:])}
		for _, i := range s.Instances {
			told.Instances = append(told.Instances, &coordinatorv1.InstanceSpeed{
				Instance: i.Instance, Incarnation: i.Incarnation, Log: float32(i.Log), Error: float32(i.Error),
			})
		}
		response.Speeds = append(response.Speeds, told)
	}
}

func floats(values []float64) []float32 {
	list := make([]float32, len(values))
	for i, v := range values {
		list[i] = float32(v)
	}
	return list
}

// copyFloats copies values of a message. A message of a daemon with another number of them
// is ignored: it has another model.
func copyFloats(to []float64, from []float32) {
	if len(to) != len(from) {
		return
	}
	for i, v := range from {
		to[i] = float64(v)
	}
}
