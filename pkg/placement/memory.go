package placement

import (
	"math/rand/v2"
	"time"
)

// memory is what a Planner keeps between plans. A new holder of the duty
// starts without it: the numbers of instances make its starts idempotent, and
// it stops nothing before it has watched the demand for StopDelay.
type memory struct {
	began    time.Time
	pending  map[string]pendingStart // starts that the list doesn't show yet
	starting int                     // instances that the list shows as starting
	starts   []time.Time             // of the last minute
	loads    []time.Time             // of the last minute
	ordered  map[string]time.Time    // last load order by instance
	refusals map[offerKey]refusal
	peaks    map[Group][]sample
	highest  map[Group]int
	since    map[string]time.Time // when a phase was first seen
	reclaims map[string]time.Time // last reclaim by data centre
	// withdrawn is since when a drained instance has no upstream object.
	withdrawn map[string]time.Time
	// ejected is since when an upstream is ejected, and unknown since when a
	// drained one gives no load report.
	ejected, unknown map[string]time.Time
}

// refusalMemory is for how many longest backoffs a refusal counts. With 1, a
// limit of one start a minute and four refusing offers, retries took four of
// five starts.
const refusalMemory = 6

type pendingStart struct {
	instance Instance
	at       time.Time
}

type refusal struct {
	count int
	until time.Time
}

type sample struct {
	at    time.Time
	slots float64
}

func newMemory(now time.Time) memory {
	return memory{
		began: now, pending: make(map[string]pendingStart), ordered: make(map[string]time.Time),
		refusals: make(map[offerKey]refusal), peaks: make(map[Group][]sample), highest: make(map[Group]int),
		since: make(map[string]time.Time), reclaims: make(map[string]time.Time),
	}
}

// observe takes over what the state shows.
func (m *memory) observe(now time.Time, s State, l Limits) {
	m.starts = recent(m.starts, now)
	m.loads = recent(m.loads, now)
	m.since = times(now, s, m.since, func(i Instance) string { return phaseKey(i) })
	m.withdrawn = times(now, s, m.withdrawn, nameIf(func(i Instance) bool { return !i.DrainedAt.IsZero() && !i.Registered }))
	m.ejected = times(now, s, m.ejected, nameIf(func(i Instance) bool { return i.Ejected }))
	m.unknown = times(now, s, m.unknown, nameIf(func(i Instance) bool { return !i.DrainedAt.IsZero() && !i.InFlightKnown }))
	m.starting = 0
	for _, i := range s.Instances {
		if i.Phase == Starting {
			m.starting++
		}
		if i.Phase != Gone {
			m.settle(i)
		}
		if i.Phase == Leaving {
			m.reclaims[i.DataCentre] = now
		}
		if n, ok := i.Group.Number(i.Name); ok && i.Managed {
			m.highest[i.Group] = max(m.highest[i.Group], n)
		}
	}
	m.forget(now, l)
	for _, d := range s.Demands {
		m.notePeak(now, d, l)
	}
}

// times returns since when instances have had a key that is not empty.
func times(now time.Time, s State, old map[string]time.Time, key func(Instance) string) map[string]time.Time {
	result := make(map[string]time.Time)
	for _, i := range s.Instances {
		name := key(i)
		if name == "" {
			continue
		}
		result[name] = now
		if at, ok := old[name]; ok {
			result[name] = at
		}
	}
	return result
}

func nameIf(condition func(Instance) bool) func(Instance) string {
	return func(i Instance) string {
		if condition(i) {
			return i.Name
		}
		return ""
	}
}

func phaseKey(i Instance) string { return string(rune('0'+i.Phase)) + i.Name }

// settle ends a pending start that the list shows; the offer works again.
func (m *memory) settle(i Instance) {
	if _, ok := m.pending[i.Name]; ok {
		delete(m.pending, i.Name)
		delete(m.refusals, offerKey{i.Class, i.DataCentre, i.Reclaimable})
	}
}

func (m *memory) forget(now time.Time, l Limits) {
	for name, p := range m.pending {
		if now.Sub(p.at) >= l.PendingTimeout {
			delete(m.pending, name)
		}
	}
	for dc, at := range m.reclaims {
		if now.Sub(at) >= l.ReclaimHold {
			delete(m.reclaims, dc)
		}
	}
	for key, r := range m.refusals {
		if now.Sub(r.until) >= refusalMemory*l.MaxRefusalBackoff {
			delete(m.refusals, key)
		}
	}
	for name, at := range m.ordered {
		if now.Sub(at) >= time.Hour {
			delete(m.ordered, name)
		}
	}
}

// notePeak keeps a falling sequence: a lower sample before a higher one can't
// be the peak of any window that is still to come.
func (m *memory) notePeak(now time.Time, d Demand, l Limits) {
	list := m.peaks[d.Group]
	for len(list) > 0 && list[len(list)-1].slots <= d.slots() {
		list = list[:len(list)-1]
	}
	list = append(list, sample{now, d.slots()})
	for now.Sub(list[0].at) > l.StopDelay {
		list = list[1:]
	}
	m.peaks[d.Group] = list
}

func (m *memory) peak(g Group) float64 { return m.peaks[g][0].slots }

// refuse backs off from an offer: between half and the whole of a time that
// doubles with each refusal.
func (m *memory) refuse(now time.Time, key offerKey, l Limits, random *rand.Rand) {
	r := m.refusals[key]
	if r.until.After(now) {
		return
	}
	wait := l.RefusalBackoff
	for i := 0; i < r.count && wait < l.MaxRefusalBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, l.MaxRefusalBackoff)
	wait = wait/2 + time.Duration(random.Float64()*float64(wait/2))
	m.refusals[key] = refusal{count: r.count + 1, until: now.Add(wait)}
}

// recent drops the times that are a minute old.
func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= time.Minute {
		times = times[1:]
	}
	return times
}
