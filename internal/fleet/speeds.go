package fleet

import (
	"math"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/speed"
)

const (
	// rankingStep is the step, as a logarithm, to which speeds are rounded for the affinity
	// ranking: small changes of an estimate must not move prompt prefixes.
	rankingStep = 0.25
	// meanSmoothing is the weight of a new request in the means of a service.
	meanSmoothing = 0.02
)

// measuredSpeed is the measured speed of an instance. Its zero value is that of an
// instance in a service whose speeds don't differ.
type measuredSpeed struct {
	speed      float64 // relative to the service; 0 if not in use
	rankWeight float64 // for the affinity ranking; 0 if not in use
}

// relativeSpeed returns the speed relative to the service.
func (m measuredSpeed) relativeSpeed() float64 {
	if m.speed == 0 {
		return 1
	}
	return m.speed
}

// serviceTimes is what is known of the times of the services.
type serviceTimes struct {
	views map[string]*speed.View // of the services whose speeds differ
	means map[string]*means
	// observe is told of the time that each request took; nil if nobody measures.
	observe func(Measurement)
}

// means are the means of the recent requests of a service that were sent from here.
type means struct {
	promptTokens float64
	// own and ownSquares are means of the predicted prefill time at speed 1, in seconds,
	// and of its square.
	own, ownSquares float64
	duration        float64 // until the end of the answer, in seconds
}

func smooth(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += meanSmoothing * (value - *mean)
}

// Measurement is the time that a request took at an instance: until the first event of a
// stream, until the end of another answer.
type Measurement struct {
	Description
	Work    speed.Work
	Elapsed time.Duration
	// Predicted is the predicted time; 0 if the speeds of the service don't differ.
	Predicted time.Duration
}

// OnMeasured sets the function that is told of the time of each request. It is set before
// the first Pick and must not block.
func (s *Set) OnMeasured(observe func(Measurement)) { s.times.observe = observe }

// SetSpeeds sets the services whose instances differ in speed. Instances of other services
// are picked by load alone. It visits the instances whose speeds may have changed, and returns
// their number.
func (s *Set) SetSpeeds(views map[string]*speed.View) (visited int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.times.views
	if len(before) == 0 && len(views) == 0 {
		return 0
	}
	s.times.views = views
	for service := range before {
		if views[service] == nil {
			visited += s.updateSpeeds(service)
		}
	}
	for service, view := range views {
		if view == before[service] {
			continue
		}
		changed, known := view.ChangedSince(before[service])
		if !known {
			visited += s.updateSpeeds(service)
			continue
		}
		for _, id := range changed {
			if i := s.instances[id]; i != nil {
				i.measuredSpeed = s.speedOf(i)
				visited++
			}
		}
	}
	return visited
}

// updateSpeeds updates the speeds of all instances of a service, and returns their number.
// The caller holds the lock.
func (s *Set) updateSpeeds(service string) int {
	for _, i := range s.byService[service] {
		i.measuredSpeed = s.speedOf(i)
	}
	return len(s.byService[service])
}

// speedOf returns the measured speed of an instance. The caller holds the lock.
func (s *Set) speedOf(i *Instance) measuredSpeed {
	view := s.times.views[i.Service]
	if view == nil {
		return measuredSpeed{}
	}
	relative := view.Speed(i.ID, i.Incarnation)
	return measuredSpeed{speed: relative, rankWeight: math.Exp(rankingStep * math.Round(math.Log(relative)/rankingStep))}
}

// Present reports which incarnations of instances are announced.
func (s *Set) Present(all []speed.Estimate) []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make([]bool, len(all))
	for n, e := range all {
		i := s.instances[e.Instance]
		found[n] = i != nil && i.Incarnation == e.Incarnation
	}
	return found
}

// meansOf returns the means of a service. The caller holds the lock.
func (s *Set) meansOf(service string) *means {
	m := s.times.means[service]
	if m == nil {
		if s.times.means == nil {
			s.times.means = map[string]*means{}
		}
		m = &means{}
		s.times.means[service] = m
	}
	return m
}

// ObserveTime records the time that the request took, as its Query has told: until the first
// event of a stream, until the end of another answer.
func (r *Reservation) ObserveTime(elapsed time.Duration) {
	if observe := r.set.times.observe; observe != nil {
		observe(Measurement{Description: r.Description, Work: r.work, Elapsed: elapsed, Predicted: r.Predicted})
	}
}

// ObserveDuration records the time until the end of a complete answer, where times are
// predicted.
func (r *Reservation) ObserveDuration(elapsed time.Duration) {
	if r.Predicted == 0 {
		return
	}
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	smooth(&r.set.meansOf(r.Service).duration, elapsed.Seconds())
}
