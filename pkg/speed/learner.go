package speed

import (
	"sync"
	"time"
)

// maxReported bounds the instances in one report. The evidence of others waits for the
// next one.
const maxReported = 256

// Learner is the part of a daemon: it measures, and keeps what the coordinator's book and
// its own measurements tell. It is safe for concurrent use.
type Learner struct {
	now func() time.Duration

	mu       sync.Mutex
	own      *Book // of this daemon alone
	pending  map[string]*pending
	services map[string]*known
	told     told
	// ownIndex is the index of the last change of own that is in use.
	ownIndex int64
	// round has the instances that are still to be looked for before it begins again.
	round []checkRef
}

// pending is what was measured at a service since the last report.
type pending struct {
	fit       Fit
	instances map[string]*Evidence
}

// known is what is known of a service.
type known struct {
	model     Model
	weight    float64
	shared    bool             // the model is that of the coordinator
	token     int64            // of the coordinator that told it
	estimates map[string]*held // by instance ID
	// centre is about the mean logarithm of the speeds. The model predicts the mean of the
	// times, which few long ones raise, and the estimates are medians: all may be above 0.
	centre  float64
	present distribution // of the estimates of instances that are there
	unequal bool
	differs bool          // the speeds differ now
	since   time.Duration // when differs last changed
	spread  float64
	views   viewState
}

// held is an estimate that is in use.
type held struct {
	Estimate
	shared  bool          // told by the coordinator
	token   int64         // of the coordinator that told it
	present bool          // the instance is there
	seenAt  time.Duration // when it was there, or the estimate was new
}

// put uses an estimate from now on.
func (k *known) put(e held) {
	old := k.estimates[e.Instance]
	if old != nil && old.Incarnation == e.Incarnation {
		e.present = old.present
	} else {
		k.views.unchecked = append(k.views.unchecked, e.Instance)
	}
	k.setPresent(old, false)
	k.estimates[e.Instance] = &e
	if e.present {
		e.present = false
		k.setPresent(&e, true)
	}
	k.views.change(e.Instance)
}

// drop forgets an estimate.
func (k *known) drop(e *held) {
	k.setPresent(e, false)
	delete(k.estimates, e.Instance)
	k.views.dropped = true
	k.views.change(e.Instance)
}

// setPresent records whether the instance of an estimate is there.
func (k *known) setPresent(e *held, present bool) {
	if e == nil || e.present == present {
		return
	}
	e.present = present
	if present {
		k.present.add(&e.Estimate, 1)
	} else {
		k.present.add(&e.Estimate, -1)
	}
}

// NewLearner returns a learner that knows nothing. now is a monotonic time.
func NewLearner(now func() time.Duration) *Learner {
	return &Learner{now: now, own: NewBook(now), pending: map[string]*pending{}, services: map[string]*known{}}
}

func (l *Learner) service(name string) *known {
	k := l.services[name]
	if k == nil {
		k = &known{model: priorModel, estimates: map[string]*held{}}
		l.services[name] = k
	}
	return k
}

// speed returns the relative speed of an incarnation, 1 if it isn't known.
func (k *known) speed(instance string, incarnation int64) float64 {
	if e, ok := k.estimates[instance]; ok && e.Incarnation == incarnation {
		return e.relativeTo(k.centre)
	}
	return 1
}

// Observe records the time that a request took at an instance.
func (l *Learner) Observe(serviceName, instance string, incarnation int64, w Work, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.service(serviceName)
	p := l.pending[serviceName]
	if p == nil {
		p = &pending{instances: map[string]*Evidence{}}
		l.pending[serviceName] = p
	}
	p.fit.add(&k.model, w, k.speed(instance, incarnation), elapsed.Seconds())
	logSpeed, weight := evidenceOf(k.model.Times(w), elapsed.Seconds())
	e := p.instances[instance]
	if e == nil || e.Incarnation != incarnation {
		e = &Evidence{Instance: instance, Incarnation: incarnation}
		p.instances[instance] = e
	}
	e.Weight += weight
	e.Sum += weight * logSpeed
}

// TakeReport returns what was measured since the last call, for the coordinator.
func (l *Learner) TakeReport() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	left := maxReported
	for name, p := range l.pending {
		r := Report{Service: name, Fit: p.fit}
		p.fit = Fit{}
		for id, e := range p.instances {
			if left == 0 {
				break
			}
			left--
			r.Instances = append(r.Instances, *e)
			delete(p.instances, id)
		}
		if len(p.instances) == 0 {
			delete(l.pending, name)
		}
		reports = append(reports, r)
		l.own.Add(r)
	}
	l.dropTold()
	l.applyOwn()
	return reports
}

// applyOwn uses the own measurements for what the coordinator hasn't told.
func (l *Learner) applyOwn() {
	own, index := l.own.Changes(l.ownIndex, maxInstances)
	l.ownIndex = index
	for _, s := range own {
		k := l.service(s.Service)
		if !k.shared {
			k.setModel(s.Model, s.Weight)
		}
		for _, e := range s.Instances {
			if old := k.estimates[e.Instance]; old == nil || !old.shared || old.Incarnation < e.Incarnation {
				k.put(held{Estimate: e, seenAt: l.now()})
			}
		}
	}
}

// Apply uses what the coordinator has told.
func (l *Learner) Apply(all []Speeds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.told.heardAt, l.told.any = now, true
	for _, s := range all {
		k := l.service(s.Service)
		if s.Usable() && s.Model.valid() {
			k.setModel(s.Model, s.Weight)
			k.shared, k.token = true, l.told.token
		}
		for _, e := range s.Instances {
			if !e.valid() {
				continue
			}
			k.put(held{Estimate: e, shared: true, token: l.told.token, seenAt: now})
		}
	}
}

func (k *known) setModel(m Model, weight float64) {
	k.weight = weight
	if k.model != m {
		k.model, k.views.remodelled = m, true
	}
}

// judge decides whether the speeds of the service count as unequal.
func (k *known) judge(now time.Duration) {
	var differs bool
	differs, k.spread = k.present.unequal(k.unequal)
	differs = differs && k.weight >= minFitSamples
	if differs != k.differs {
		k.differs, k.since = differs, now
	}
	if k.differs != k.unequal && now-k.since >= confirmTime {
		k.unequal = k.differs
	}
}

// Known returns all estimates, with which another book can be started.
func (l *Learner) Known() []Speeds {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Speeds
	for name, k := range l.services {
		s := Speeds{Service: name, Model: k.model, Weight: k.weight}
		for _, e := range k.estimates {
			s.Instances = append(s.Instances, e.Estimate)
		}
		all = append(all, s)
	}
	return all
}

// Spread returns the standard deviation of the logarithms of the speeds of a service.
func (l *Learner) Spread(serviceName string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.services[serviceName]; k != nil {
		return k.spread
	}
	return 0
}
