package coordination

import (
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

const (
	// maxLoadsTold is the number of loads in one response, at most about 5 bytes each. A
	// pass over more instances takes several responses.
	maxLoadsTold = 1024
	// maxKeysTold is the number of instances that one response introduces, 8 bytes each.
	maxKeysTold = 1024
	// idleSlotTime is how long an instance without load keeps its number. It covers the
	// pauses of an instance in use.
	idleSlotTime = time.Minute
	// minSlots is the number of numbered instances below which none is dropped.
	minSlots = 1024
)

// loadSlot is the load of a numbered instance.
type loadSlot struct {
	id     string
	key    uint64 // fleet.LoadKey of the ID
	total  fleet.Load
	change int64         // number of the latest change
	at     time.Duration // time of the latest change
}

// loadTotals sums the load of each instance over the daemons that report. The
// sums are updated incrementally: adding up all daemons for each report would
// take time that grows with the square of the number of daemons. It numbers the
// instances and the changes, so that it can tell each daemon what changed after a cursor
// and needs no record of what each daemon knows.
type loadTotals struct {
	now        func() time.Duration
	token      int64
	generation int64 // changes with the numbers of the instances
	changes    int64
	slots      []loadSlot
	slotOf     map[string]int                   // by instance ID
	byDaemon   map[string]map[string]fleet.Load // by instance ID, as reported
	trimAt     int                              // number of slots from which on idle ones are dropped
}

func newLoadTotals(now func() time.Duration, token int64) *loadTotals {
	return &loadTotals{
		now: now, token: token, slotOf: map[string]int{}, byDaemon: map[string]map[string]fleet.Load{}, trimAt: minSlots,
	}
}

// set replaces the loads that a daemon has reported.
func (s *loadTotals) set(daemon string, part []*coordinatorv1.InstanceLoad) {
	before := s.byDaemon[daemon]
	after := make(map[string]fleet.Load, len(part))
	for _, l := range part {
		if _, repeated := after[l.Instance]; repeated {
			continue
		}
		load := fleet.Load{Inflight: int(l.Inflight), PrefillTokens: int(l.PrefillTokens)}
		after[l.Instance] = load
		s.add(l.Instance, load.Inflight-before[l.Instance].Inflight, load.PrefillTokens-before[l.Instance].PrefillTokens)
	}
	for id, load := range before {
		if _, ok := after[id]; !ok {
			s.add(id, -load.Inflight, -load.PrefillTokens)
		}
	}
	if s.byDaemon[daemon] = after; len(after) == 0 {
		delete(s.byDaemon, daemon)
	}
	if len(s.slots) > s.trimAt {
		s.trim()
	}
}

// add adds to the load of an instance.
func (s *loadTotals) add(id string, inflight, prefillTokens int) {
	if inflight == 0 && prefillTokens == 0 {
		return
	}
	n, ok := s.slotOf[id]
	if !ok {
		n = len(s.slots)
		s.slotOf[id] = n
		s.slots = append(s.slots, loadSlot{id: id, key: fleet.LoadKey(id)})
	}
	slot := &s.slots[n]
	slot.total.Inflight += inflight
	slot.total.PrefillTokens += prefillTokens
	s.changes++
	slot.change, slot.at = s.changes, s.now()
}

// trim drops the slots of instances without load for idleSlotTime, and numbers the others
// again. Each daemon then gets all loads again.
func (s *loadTotals) trim() {
	now := s.now()
	var kept []loadSlot
	for _, slot := range s.slots {
		if slot.total != (fleet.Load{}) || now-slot.at < idleSlotTime {
			kept = append(kept, slot)
		}
	}
	s.trimAt = max(2*len(kept), minSlots)
	if len(kept) == len(s.slots) {
		return
	}
	s.generation++
	s.slots = kept
	s.slotOf = make(map[string]int, len(kept))
	for n, slot := range kept {
		s.slotOf[slot.id] = n
	}
}

// without returns the loads that all daemons but the given one have caused, for a daemon
// of an earlier version.
func (s *loadTotals) without(daemon string) []*coordinatorv1.InstanceLoad {
	own := s.byDaemon[daemon]
	var list []*coordinatorv1.InstanceLoad
	for n := range s.slots {
		slot := &s.slots[n]
		rest := fleet.Load{
			Inflight:      slot.total.Inflight - own[slot.id].Inflight,
			PrefillTokens: slot.total.PrefillTokens - own[slot.id].PrefillTokens,
		}
		if rest != (fleet.Load{}) {
			list = append(list, &coordinatorv1.InstanceLoad{
				Instance: slot.id, Inflight: int32(rest.Inflight), PrefillTokens: int32(rest.PrefillTokens), //nolint:gosec // sums of int32 counts far below the limit
			})
		}
	}
	return list
}

// since returns the loads that changed after a cursor, or all if the cursor is not of
// these numbers. At most maxLoadsTold are told; the cursor returned continues the pass.
func (s *loadTotals) since(c *coordinatorv1.LoadsCursor) *coordinatorv1.LoadsDelta {
	delta := &coordinatorv1.LoadsDelta{}
	next := &coordinatorv1.LoadsCursor{Token: s.token, Generation: s.generation}
	if c.GetToken() == s.token && c.GetGeneration() == s.generation && s.holds(c) {
		next.Instances, next.Known, next.Pass, next.Position = c.Instances, c.Known, c.Pass, c.Position
	} else {
		delta.Whole = true
	}
	for int(next.Instances) < len(s.slots) && len(delta.Keys) < maxKeysTold {
		delta.Keys = append(delta.Keys, s.slots[next.Instances].key)
		next.Instances++
	}
	if next.Position == 0 {
		next.Pass = s.changes
	}
	previous := -1
	for next.Position < next.Instances && len(delta.Gaps) < maxLoadsTold {
		n := int(next.Position)
		next.Position++
		slot := &s.slots[n]
		if slot.change <= next.Known || next.Known == 0 && slot.total == (fleet.Load{}) {
			continue
		}
		delta.Gaps = append(delta.Gaps, uint32(n-previous-1))                                       //nolint:gosec // ascending
		delta.Inflight = append(delta.Inflight, uint32(max(slot.total.Inflight, 0)))                //nolint:gosec // as in without
		delta.PrefillTokens = append(delta.PrefillTokens, uint32(max(slot.total.PrefillTokens, 0))) //nolint:gosec // as in without
		previous = n
	}
	if int(next.Position) == len(s.slots) {
		next.Known, next.Position = next.Pass, 0
	}
	delta.Cursor = next
	return delta
}

// holds reports whether the values of a cursor are in range.
func (s *loadTotals) holds(c *coordinatorv1.LoadsCursor) bool {
	return c.Position >= 0 && c.Position <= c.Instances && int(c.Instances) <= len(s.slots) && c.Known >= 0 && c.Known <= s.changes
}
