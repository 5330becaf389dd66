package health

import (
	"cmp"
	"slices"
	"time"
)

// checkVersion requests the ejection of those members of one version that have a
// high failure rate or a latency far above the median.
func (t *Tracker) checkVersion(set []*state, now time.Time) {
	median, measured := t.medianLatency(set)
	for _, s := range set {
		if s.ejectionReason != ReasonNone {
			continue
		}
		total, failed := s.window.sums(now, t.config.Window)
		if total >= t.config.MinRequests && float64(failed) >= t.config.FailureRate*float64(total) {
			t.requestEjection(s, ReasonFailureRate, now)
			continue
		}
		if measured > t.config.MinPeers && s.samples >= t.config.MinRequests &&
			s.latency > t.config.LatencyFactor*median {
			t.requestEjection(s, ReasonLatency, now)
		}
	}
}

// medianLatency returns the median of the smoothed latencies in seconds and
// the number of members with enough samples.
func (t *Tracker) medianLatency(set []*state) (float64, int) {
	var values []float64
	for _, s := range set {
		if s.samples >= t.config.MinRequests && s.ejectionReason == ReasonNone {
			values = append(values, s.latency)
		}
	}
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], len(values)
}

// applyEjections applies the requested ejections of each version, the most
// severe first, as far as the panic threshold allows, and publishes changed
// statuses.
func (t *Tracker) applyEjections(now time.Time) {
	for _, set := range t.versions {
		t.applyVersionEjections(set.members)
	}
	for _, s := range t.members {
		t.publishStatus(s, now)
	}
}

func (t *Tracker) applyVersionEjections(set []*state) {
	var requested []*state
	present := 0
	for _, s := range set {
		s.ejected = false
		if t.leaving(s) {
			continue
		}
		present++
		if s.ejectionReason != ReasonNone {
			requested = append(requested, s)
		}
	}
	slices.SortFunc(requested, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.ejectionReason, a.ejectionReason), a.ejectedUntil.Compare(b.ejectedUntil), cmp.Compare(a.Name, b.Name))
	})
	allowed := int((1 - t.config.PanicThreshold) * float64(present))
	for _, s := range requested[:min(allowed, len(requested))] {
		s.ejected = true
	}
}

// publishStatus calls Config.OnChange if the member's status has changed.
func (t *Tracker) publishStatus(s *state, now time.Time) {
	st := t.status(s, now)
	if st == s.published {
		return
	}
	s.published = st
	if t.config.OnChange != nil {
		t.config.OnChange(s.Name, st)
	}
}

// checkDataCentres attributes the failures in a data centre to the data centre
// if most of its members fail while the rest of the fleet doesn't. The
// ejections of these members don't count as repeated, so that they are
// readmitted soon.
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
		dataCentreFails := float64(failing[dc]) >= t.config.DataCentreShare*float64(total[dc])
		restFails := float64(allFailing-failing[dc]) >= t.config.DataCentreShare*float64(allTotal-total[dc])
		if dataCentreFails && !restFails && total[dc] >= t.config.DataCentreMembers {
			if s.fault != FaultDataCentre {
				s.fault = FaultDataCentre
				s.ejectionCount = max(0, s.ejectionCount-1)
			}
		}
	}
}

// countFailing counts all members and the failing ones by data centre, without
// those that are leaving.
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

// failing reports whether the member has an ejection reason more severe than
// latency; latency outliers are only slow.
func (s *state) failing() bool { return s.ejectionReason > ReasonLatency }

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
