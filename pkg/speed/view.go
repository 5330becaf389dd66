package speed

import (
	"maps"
	"math"
	"time"
)

const (
	// maxChecked is the number of instances that are looked for with each call of Views, in
	// turn. Those that have gone count in the mean of their service until then.
	maxChecked = 512
	// centreStep is the distance of the mean logarithm from the one in use from which on it
	// is replaced, which changes all speeds of the service.
	centreStep = 0.02
	// maxOverlayShare is the share of a view's speeds that may be kept apart from the others.
	maxOverlayShare = 0.125
)

// Change is a service whose speeds count as unequal from now on, or no longer.
type Change struct {
	Service string
	Unequal bool
	Spread  float64 // standard deviation of the logarithms of the speeds
	Count   int     // of measured instances
}

// View is what is known of a service whose speeds are unequal. It doesn't change.
type View struct {
	Model  Model
	centre float64
	// overlay has the estimates that have changed since base was made.
	base, overlay map[string]Estimate
	// number is the number of the view in its service. With changed, the speeds of these
	// instances alone differ from the view before.
	number  int64
	changed []string
	partial bool
}

// Speed returns the relative speed of an incarnation, 1 if it isn't known.
func (v *View) Speed(instance string, incarnation int64) float64 {
	e, ok := v.overlay[instance]
	if !ok {
		e, ok = v.base[instance]
	}
	if ok && e.Incarnation == incarnation {
		return e.relativeTo(v.centre)
	}
	return 1
}

// ChangedSince returns the instances whose speeds may differ from those of an earlier view of
// the service, and false if all may.
func (v *View) ChangedSince(earlier *View) (instances []string, known bool) {
	if earlier == nil || !v.partial || earlier.number != v.number-1 {
		return nil, false
	}
	return v.changed, true
}

// viewState is what is kept of a service from one view to the next.
type viewState struct {
	current    *View // nil if the speeds are equal
	number     int64
	changed    map[string]bool
	unchecked  []string // instances that weren't looked for yet
	remodelled bool
	recentred  bool
	dropped    bool // estimates were dropped
}

func (s *viewState) change(instance string) {
	if s.changed == nil {
		s.changed = map[string]bool{}
	}
	s.changed[instance] = true
}

// Views returns the services whose speeds are unequal, and what has changed since the last
// call. A view is the same as before if nothing has changed. present reports which
// incarnations are there; others are forgotten after a time.
func (l *Learner) Views(present func(all []Estimate) []bool) (views map[string]*View, changes []Change) {
	all, services, again := l.unchecked()
	var found []bool
	if len(all) > 0 {
		found = present(all)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for n, e := range all {
		l.services[services[n]].checked(e, found[n], now)
	}
	views = map[string]*View{}
	for name, k := range l.services {
		if again {
			k.sumPresent()
		}
		before := k.unequal
		k.recentre()
		k.judge(now)
		if k.unequal != before {
			changes = append(changes, Change{Service: name, Unequal: k.unequal, Spread: k.spread, Count: k.present.count})
		}
		if view := k.view(); view != nil {
			views[name] = view
		}
	}
	return views, changes
}

// checkRef is an instance to look for.
type checkRef struct{ service, instance string }

// unchecked returns the estimates whose instances are to be looked for, with their services:
// the new ones, and the next of all. again tells that these begin again with the first.
func (l *Learner) unchecked() (all []Estimate, services []string, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refs []checkRef
	if again = len(l.round) == 0; again {
		for name, k := range l.services {
			for id := range k.estimates {
				l.round = append(l.round, checkRef{name, id})
			}
		}
	}
	count := min(len(l.round), maxChecked)
	refs, l.round = append(refs, l.round[:count]...), l.round[count:]
	for name, k := range l.services {
		for _, id := range k.views.unchecked {
			refs = append(refs, checkRef{name, id})
		}
		k.views.unchecked = nil
	}
	for _, r := range refs {
		if e := l.services[r.service].estimates[r.instance]; e != nil {
			all, services = append(all, e.Estimate), append(services, r.service)
		}
	}
	return all, services, again
}

// checked records whether an incarnation is there.
func (k *known) checked(e Estimate, present bool, now time.Duration) {
	h := k.estimates[e.Instance]
	if h == nil || h.Incarnation != e.Incarnation {
		return
	}
	k.setPresent(h, present)
	if present {
		h.seenAt = now
	} else if now-h.seenAt > retention {
		k.drop(h)
	}
}

// sumPresent sums the estimates anew, against rounding errors of many changes.
func (k *known) sumPresent() {
	k.present = distribution{}
	for _, e := range k.estimates {
		if e.present {
			k.present.add(&e.Estimate, 1)
		}
	}
}

func (k *known) recentre() {
	if mean := k.present.mean(); math.Abs(mean-k.centre) > centreStep {
		k.centre, k.views.recentred = mean, true
	}
}

// view returns the view of the service, or nil if its speeds are equal.
func (k *known) view() *View {
	s := &k.views
	if !k.unequal {
		*s = viewState{number: s.number, unchecked: s.unchecked}
		return nil
	}
	before := s.current
	if before != nil && len(s.changed) == 0 && !s.remodelled && !s.recentred {
		return before
	}
	s.number++
	v := &View{Model: k.model, centre: k.centre, number: s.number, partial: before != nil && !s.recentred}
	for id := range s.changed {
		v.changed = append(v.changed, id)
	}
	if before == nil || s.dropped || float64(len(before.overlay)+len(s.changed)) > maxOverlayShare*float64(len(before.base)) {
		v.base = make(map[string]Estimate, len(k.estimates))
		for id, e := range k.estimates {
			v.base[id] = e.Estimate
		}
	} else {
		v.base, v.overlay = before.base, maps.Clone(before.overlay)
		if v.overlay == nil {
			v.overlay = map[string]Estimate{}
		}
		for id := range s.changed {
			v.overlay[id] = k.estimates[id].Estimate
		}
	}
	*s = viewState{current: v, number: s.number, unchecked: s.unchecked}
	return v
}
