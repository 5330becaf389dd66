package health

import (
	"cmp"
	"slices"
	"time"
)

// checkSet compares the members of one version with each other.
func (t *Tracker) checkSet(set []*state, now time.Time) {
	median, measured := t.medianLatency(set)
	for _, s := range set {
		if s.wanted != ReasonNone {
			continue
		}
		total, failed := s.window.sums(now, t.config.Window)
		if total >= t.config.MinRequests && float64(failed) >= t.config.FailureRate*float64(total) {
			t.want(s, ReasonFailureRate, now)
			continue
		}
		if measured > t.config.MinPeers && s.samples >= t.config.MinRequests &&
			s.latency > t.config.LatencyFactor*median {
			t.want(s, ReasonLatency, now)
		}
	}
}

// medianLatency returns the median of the smoothed latencies in seconds and
// the number of members with enough samples.
func (t *Tracker) medianLatency(set []*state) (float64, int) {
	var values []float64
	for _, s := range set {
		if s.samples >= t.config.MinRequests && s.wanted == ReasonNone {
			values = append(values, s.latency)
		}
	}
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], len(values)
}

// settle applies the wanted ejections of each version, the most severe first,
// as far as the panic threshold allows, and publishes changes.
func (t *Tracker) settle(now time.Time) {
	for _, set := range t.sets {
		t.settleSet(set)
	}
	for _, s := range t.members {
		t.publish(s, now)
	}
}

func (t *Tracker) settleSet(set []*state) {
	var wanted []*state
	present := 0
	for _, s := range set {
		s.ejected = false
		if t.leaving(s) {
			continue
		}
		present++
		if s.wanted != ReasonNone {
			wanted = append(wanted, s)
		}
	}
	slices.SortFunc(wanted, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.wanted, a.wanted), a.until.Compare(b.until), cmp.Compare(a.Name, b.Name))
	})
	allowed := int((1 - t.config.PanicThreshold) * float64(present))
	for _, s := range wanted[:min(allowed, len(wanted))] {
		s.ejected = true
	}
}

func (t *Tracker) publish(s *state, now time.Time) {
	st := t.status(s, now)
	if st == s.published {
		return
	}
	s.published = st
	if t.config.OnChange != nil {
		t.config.OnChange(s.Name, st)
	}
}

// checkDataCentres marks the failing members of a data centre as victims of
// its fault if most of it fails while the rest of the fleet does not. Their
// ejections don't count as repeated, so that they return quickly.
func (t *Tracker) checkDataCentres() {
	total, failing := t.countFailing()
	allTotal, allFailing := 0, 0
	for dc := range total {
		allTotal += total[dc]
		allFailing += failing[dc]
	}
	for _, s := range t.members {
		if !s.failing() {
			continue
		}
		dc := s.DataCentre
		inside := float64(failing[dc]) >= t.config.DataCentreShare*float64(total[dc])
		outside := float64(allFailing-failing[dc]) >= t.config.DataCentreShare*float64(allTotal-total[dc])
		if inside && !outside && total[dc] >= t.config.DataCentreMembers {
			if s.fault != FaultDataCentre {
				s.fault = FaultDataCentre
				s.ejections = max(0, s.ejections-1)
			}
		}
	}
}

func (t *Tracker) countFailing() (total, failing map[string]int) {
	total, failing = make(map[string]int), make(map[string]int)
	for _, s := range t.members {
		if t.leaving(s) {
			continue
		}
		total[s.DataCentre]++
		if s.failing() {
			failing[s.DataCentre]++
		}
	}
	return total, failing
}

// failing excludes latency outliers, which are only slow.
func (s *state) failing() bool { return s.wanted > ReasonLatency }

// DataCentreFaults returns the data centres at fault, sorted.
func (t *Tracker) DataCentreFaults() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, s := range t.members {
		if s.fault == FaultDataCentre && !slices.Contains(names, s.DataCentre) {
			names = append(names, s.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}
