package speed

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// retention is how long the estimate of an instance without new evidence is kept.
	retention = 2 * time.Minute
	// sweepInterval is the time between two searches for such instances, and the time
	// without evidence after which an estimate is halved, so that an instance that was slow
	// and is avoided for it gets requests again.
	sweepInterval = retention / 10
	// maxInstances bounds the instances of a book: 12,000 and their replacements.
	maxInstances = 16384
	// minChange is the change of the logarithm of a speed that is told to others, and
	// minErrorShare the share of its standard error that it must exceed, too.
	minChange     = 0.05
	minErrorShare = 0.5
	// minErrorChange is the factor by which a standard error must fall to be told.
	minErrorChange = 0.7
	// modelInterval is the time between two fits of a service's model, and minModelChange the
	// relative change of a coefficient that is told to others.
	modelInterval  = 500 * time.Millisecond
	minModelChange = 0.05
)

// Report is what times at one service tell.
type Report struct {
	Service   string
	Fit       Fit
	Instances []Evidence
}

// Speeds are the estimates for one service.
type Speeds struct {
	Service   string
	Model     Model
	Weight    float64 // of the times behind the model
	Instances []Estimate
}

// Usable reports whether the model rests on enough times.
func (s *Speeds) Usable() bool { return s.Weight >= minFitSamples }

// Book merges the evidence of one or more daemons. It is safe for concurrent use.
type Book struct {
	now func() time.Duration

	mu        sync.Mutex
	services  map[string]*service
	instances map[string]*list.Element // of *entry, by instance ID
	changed   *list.List               // of *entry, the one that was changed last at the end
	index     int64                    // of the last change
	sweptAt   time.Duration
}

type service struct {
	fit       Fit
	updatedAt time.Duration
	told      Model // as it was at the last change
	usable    bool  // the same
	fittedAt  time.Duration
	index     int64 // of the last change; 0 if there is none
}

type entry struct {
	service   string
	told      Estimate // as it was at the last change
	known     bool     // told holds an estimate
	history   history
	updatedAt time.Duration
	index     int64
}

// NewBook returns an empty book. now is a monotonic time.
func NewBook(now func() time.Duration) *Book {
	return &Book{now: now, services: map[string]*service{}, instances: map[string]*list.Element{}, changed: list.New()}
}

// Add adds the evidence of a report, and returns false if it is refused for invalid sums: one
// that isn't finite would spoil the model of its service for good.
func (b *Book) Add(r Report) bool {
	if !r.Fit.valid() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.dropOld()
	s := b.serviceOf(r.Service)
	s.fit.decay(now - s.updatedAt)
	s.updatedAt = now
	s.fit.merge(&r.Fit)
	b.fitModel(s, now)
	for _, e := range r.Instances {
		if !e.valid() {
			continue
		}
		element := b.entryOf(r.Service, e.Instance, e.Incarnation)
		if element == nil {
			continue
		}
		x := element.Value.(*entry)
		x.updatedAt = now
		if x.history.add(e, now) {
			b.publish(element)
		}
	}
	return true
}

// fitModel fits the model of a service and records a change of it.
func (b *Book) fitModel(s *service, now time.Duration) {
	if s.index > 0 && now-s.fittedAt < modelInterval {
		return
	}
	s.fittedAt = now
	model, usable := s.fit.Model(), s.fit.Weight() >= minFitSamples
	if s.index > 0 && usable == s.usable && model.near(&s.told) {
		return
	}
	b.index++
	s.told, s.usable, s.index = model, usable, b.index
}

func (b *Book) serviceOf(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{updatedAt: b.now()}
		b.services[name] = s
	}
	return s
}

// entryOf returns the entry of an incarnation, a new one if the instance has restarted,
// or nil if the evidence is of an earlier incarnation or the book is full.
func (b *Book) entryOf(serviceName, instance string, incarnation int64) *list.Element {
	element := b.instances[instance]
	if element != nil {
		x := element.Value.(*entry)
		switch {
		case x.told.Incarnation == incarnation:
			return element
		case x.told.Incarnation > incarnation:
			return nil
		}
		b.changed.Remove(element)
	} else if len(b.instances) >= maxInstances {
		return nil
	}
	element = b.changed.PushFront(&entry{service: serviceName, told: Estimate{Instance: instance, Incarnation: incarnation}})
	b.instances[instance] = element
	return element
}

// publish records the estimate of an instance as a change if it differs from the one told.
func (b *Book) publish(element *list.Element) {
	x := element.Value.(*entry)
	logSpeed, standardError, known := x.history.estimate()
	if !known || x.known && math.Abs(logSpeed-x.told.Log) < max(minChange, minErrorShare*standardError) && standardError > minErrorChange*x.told.Error {
		return
	}
	x.told.Log, x.told.Error, x.known = logSpeed, standardError, true
	b.touch(element)
}

func (b *Book) touch(element *list.Element) {
	b.index++
	element.Value.(*entry).index = b.index
	b.changed.MoveToBack(element)
}

// Seed adds estimates that another book had, for instances that this one doesn't know.
func (b *Book) Seed(all []Speeds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range all {
		for _, e := range s.Instances {
			if b.instances[e.Instance] != nil {
				continue
			}
			if element := b.entryOf(s.Service, e.Instance, e.Incarnation); element != nil {
				x := element.Value.(*entry)
				x.told, x.known, x.updatedAt = e, true, b.now()
				b.touch(element)
			}
		}
	}
}

// Changes returns the estimates that have changed after an index, the oldest limit of
// them, the models of their services and those that have changed, and the index of the last
// change returned.
func (b *Book) Changes(after int64, limit int) (all []Speeds, index int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var entries []*entry
	for element := b.changed.Back(); element != nil; element = element.Prev() {
		x := element.Value.(*entry)
		if x.index <= after || !x.known {
			break
		}
		entries = append(entries, x)
	}
	slices.Reverse(entries)
	index = b.index
	if len(entries) > limit {
		entries = entries[:limit]
		index = entries[limit-1].index
	}
	byService := map[string]*Speeds{}
	add := func(name string) *Speeds {
		told := byService[name]
		if told == nil {
			told = &Speeds{Service: name, Model: priorModel}
			if s := b.services[name]; s != nil && s.index > 0 {
				told.Model, told.Weight = s.told, s.fit.Weight()
			}
			byService[name] = told
		}
		return told
	}
	for name, s := range b.services {
		if s.index > after {
			add(name)
		}
	}
	for _, x := range entries {
		told := add(x.service)
		told.Instances = append(told.Instances, x.told)
	}
	for _, s := range byService {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(x, y Speeds) int { return cmp.Compare(x.Service, y.Service) })
	return all, index
}

// dropOld drops the instances without evidence since retention, and halves the estimates of
// those without evidence since sweepInterval.
func (b *Book) dropOld() {
	now := b.now()
	if now-b.sweptAt < sweepInterval {
		return
	}
	b.sweptAt = now
	for id, element := range b.instances {
		x := element.Value.(*entry)
		switch age := now - x.updatedAt; {
		case age > retention:
			b.changed.Remove(element)
			delete(b.instances, id)
		case age > sweepInterval && x.known && math.Abs(x.told.Log) >= minChange:
			x.told.Log /= 2
			x.history = history{}
			b.touch(element)
		}
	}
}
