package placement

import (
	"math/rand/v2"
	"time"
)

// history is the state that a Planner keeps between plans. A new holder of the
// duty starts without it: the numbers in the instance names make its starts
// idempotent, and it stops nothing before it has observed the demand for
// StopDelay.
type history struct {
	createdAt         time.Time
	pendingStarts     map[string]pendingStart // by name; starts that the cloud does not list yet
	startingInstances int                     // number of instances listed as starting
	recentStarts      []time.Time             // of the last minute
	recentLoads       []time.Time             // of the last minute
	loadOrderedAt     map[string]time.Time    // last load order, by instance
	refusals          map[offerKey]refusal
	demandPeaks       map[Group][]demandSample
	highestNumber     map[Group]int
	phaseSince        map[string]time.Time // when an instance was first seen in its phase, by phaseKey
	reclaimedAt       map[string]time.Time // last reclaim, by data centre
	// unregisteredSince is when a drained instance was first seen without an
	// upstream object, by instance.
	unregisteredSince map[string]time.Time
	// ejectedSince is when an upstream was first seen ejected, and
	// reportMissingSince when a drained one was first seen without a load report,
	// by instance.
	ejectedSince, reportMissingSince map[string]time.Time
}

// refusalRetentionBackoffs is how long a refusal is remembered after its backoff,
// in multiples of MaxRefusalBackoff. With 1, a limit of one start per minute and
// four refusing offers, retries used up four of five starts.
const refusalRetentionBackoffs = 6

type pendingStart struct {
	instance Instance
	at       time.Time
}

type refusal struct {
	count        int
	backoffUntil time.Time
}

type demandSample struct {
	at    time.Time
	slots float64
}

func newHistory(now time.Time) history {
	return history{
		createdAt: now, pendingStarts: make(map[string]pendingStart), loadOrderedAt: make(map[string]time.Time),
		refusals: make(map[offerKey]refusal), demandPeaks: make(map[Group][]demandSample), highestNumber: make(map[Group]int),
		phaseSince: make(map[string]time.Time), reclaimedAt: make(map[string]time.Time),
	}
}

// observe updates the history from the state.
func (h *history) observe(now time.Time, s State, l Limits) {
	h.recentStarts = withinLastMinute(h.recentStarts, now)
	h.recentLoads = withinLastMinute(h.recentLoads, now)
	h.phaseSince = firstSeen(now, s, h.phaseSince, func(i Instance) string { return phaseKey(i) })
	h.unregisteredSince = firstSeen(now, s, h.unregisteredSince, nameIf(func(i Instance) bool { return !i.DrainedAt.IsZero() && !i.Registered }))
	h.ejectedSince = firstSeen(now, s, h.ejectedSince, nameIf(func(i Instance) bool { return i.Ejected }))
	h.reportMissingSince = firstSeen(now, s, h.reportMissingSince, nameIf(func(i Instance) bool { return !i.DrainedAt.IsZero() && !i.InFlightKnown }))
	h.startingInstances = 0
	for _, i := range s.Instances {
		if i.Phase == Starting {
			h.startingInstances++
		}
		if i.Phase != Gone {
			h.confirmStart(i)
		}
		if i.Phase == Leaving {
			h.reclaimedAt[i.DataCentre] = now
		}
		if n, ok := i.Group.Number(i.Name); ok && i.Managed {
			h.highestNumber[i.Group] = max(h.highestNumber[i.Group], n)
		}
	}
	h.expire(now, l)
	for _, d := range s.Demands {
		h.recordDemand(now, d, l)
	}
}

// firstSeen returns when each key was first seen. Instances with an empty key are
// left out, and keys that are no longer present are dropped.
func firstSeen(now time.Time, s State, previous map[string]time.Time, key func(Instance) string) map[string]time.Time {
	result := make(map[string]time.Time)
	for _, i := range s.Instances {
		name := key(i)
		if name == "" {
			continue
		}
		result[name] = now
		if at, ok := previous[name]; ok {
			result[name] = at
		}
	}
	return result
}

// nameIf returns a key function that gives the name of instances for which the
// condition holds, and an empty key otherwise.
func nameIf(condition func(Instance) bool) func(Instance) string {
	return func(i Instance) string {
		if condition(i) {
			return i.Name
		}
		return ""
	}
}

// phaseKey returns a key that is unique to the phase and the instance.
func phaseKey(i Instance) string { return string(rune('0'+i.Phase)) + i.Name }

// confirmStart removes the pending start of a listed instance and the refusals of
// its offer, which works again.
func (h *history) confirmStart(i Instance) {
	if _, ok := h.pendingStarts[i.Name]; ok {
		delete(h.pendingStarts, i.Name)
		delete(h.refusals, offerKey{i.Class, i.DataCentre, i.Reclaimable})
	}
}

// expire drops entries that are too old to matter.
func (h *history) expire(now time.Time, l Limits) {
	for name, p := range h.pendingStarts {
		if now.Sub(p.at) >= l.PendingTimeout {
			delete(h.pendingStarts, name)
		}
	}
	for dc, at := range h.reclaimedAt {
		if now.Sub(at) >= l.ReclaimCooldown {
			delete(h.reclaimedAt, dc)
		}
	}
	for key, r := range h.refusals {
		if now.Sub(r.backoffUntil) >= refusalRetentionBackoffs*l.MaxRefusalBackoff {
			delete(h.refusals, key)
		}
	}
	for name, at := range h.loadOrderedAt {
		if now.Sub(at) >= time.Hour {
			delete(h.loadOrderedAt, name)
		}
	}
}

// recordDemand adds a sample to the samples of the last StopDelay, which are kept
// in decreasing order: a lower sample before a higher one cannot be the peak of
// any later window.
func (h *history) recordDemand(now time.Time, d Demand, l Limits) {
	list := h.demandPeaks[d.Group]
	for len(list) > 0 && list[len(list)-1].slots <= d.slots() {
		list = list[:len(list)-1]
	}
	list = append(list, demandSample{now, d.slots()})
	for now.Sub(list[0].at) > l.StopDelay {
		list = list[1:]
	}
	h.demandPeaks[d.Group] = list
}

// peakDemand returns the highest demand in slots within the last StopDelay.
func (h *history) peakDemand(g Group) float64 { return h.demandPeaks[g][0].slots }

// recordRefusal starts a backoff for an offer. It lasts between half and the whole
// of a time that doubles with each refusal. Refusals during a backoff are ignored.
func (h *history) recordRefusal(now time.Time, key offerKey, l Limits, random *rand.Rand) {
	r := h.refusals[key]
	if r.backoffUntil.After(now) {
		return
	}
	wait := l.RefusalBackoff
	for i := 0; i < r.count && wait < l.MaxRefusalBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, l.MaxRefusalBackoff)
	wait = wait/2 + time.Duration(random.Float64()*float64(wait/2))
	h.refusals[key] = refusal{count: r.count + 1, backoffUntil: now.Add(wait)}
}

// withinLastMinute drops the times that are at least a minute old.
func withinLastMinute(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= time.Minute {
		times = times[1:]
	}
	return times
}
