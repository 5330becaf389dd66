// Package evacuation decides which instances of an evacuated data centre may still get
// requests. It has no clock and no transport; times are durations since a fixed moment,
// including suspensions of the machine.
package evacuation

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// RefusalDetail is the detail of the refusal of a request when all instances that it may
// use are in data centres under evacuation.
const RefusalDetail = "all data centres with instances are evacuated"

// Config holds the parameters of a Plan.
type Config struct {
	// Bound is the time from the acknowledgement of an order until its data centre must
	// get no more requests.
	Bound time.Duration
	// SendMargin is the part of Bound that is reserved for a request between the choice
	// of its instance and its arrival there.
	SendMargin time.Duration
	// ReturnTime is the time over which the instances get requests again after an order
	// was taken back.
	ReturnTime time.Duration
}

// Plan holds the data centres under evacuation. It is safe for concurrent use, and its
// readers take no lock.
type Plan struct {
	config Config

	mu     sync.Mutex // held by writers
	shifts atomic.Pointer[map[string]shift]
}

// shift is the change of the share of a data centre's instances that may get requests.
// It is linear from start to end.
type shift struct {
	ordered    bool
	orderedAt  time.Duration // when this daemon learned of the order
	settled    bool          // Settled has returned the data centre; no instance gets requests
	from, to   float64
	start, end time.Duration
}

// openShare returns the share of the instances that may get requests.
func (s shift) openShare(now time.Duration) float64 {
	switch {
	case now >= s.end:
		return s.to
	case now <= s.start:
		return s.from
	}
	return s.from + (s.to-s.from)*float64(now-s.start)/float64(s.end-s.start)
}

// New returns a plan without orders.
func New(config Config) *Plan { return &Plan{config: config} }

// Order records an order to evacuate a data centre that was learned of now. absentAt is
// the latest time at which the store was known not to have the order, so that it was
// acknowledged later; known is false if there is no such time, as after a start. The
// instances are then withheld at once. It returns false if the order is in force already:
// it keeps its end, also if it was taken back and put again unnoticed.
func (p *Plan) Order(dataCentre string, now, absentAt time.Duration, known bool) bool {
	return p.update(func(shifts map[string]shift) bool {
		s, exists := shifts[dataCentre]
		if s.ordered {
			return false
		}
		from := 1.0
		if exists {
			from = s.openShare(now)
		}
		end := now
		if known {
			end = max(absentAt+p.config.Bound-p.config.SendMargin, now)
		}
		shifts[dataCentre] = shift{ordered: true, orderedAt: now, from: from, start: now, end: end}
		return true
	})
}

// TakeBack records that an order was removed, and returns the time since this daemon
// learned of it. It returns false if the order isn't in force.
func (p *Plan) TakeBack(dataCentre string, now time.Duration) (time.Duration, bool) {
	var age time.Duration
	changed := p.update(func(shifts map[string]shift) bool {
		s := shifts[dataCentre]
		if !s.ordered {
			return false
		}
		age = now - s.orderedAt
		shifts[dataCentre] = shift{from: s.openShare(now), to: 1, start: now, end: now + p.config.ReturnTime}
		return true
	})
	return age, changed
}

// Settled returns the data centres that have become withheld in full since the last call,
// with the time since this daemon learned of their orders. It forgets data centres whose
// instances are all back.
func (p *Plan) Settled(now time.Duration) map[string]time.Duration {
	if !p.Active() {
		return nil
	}
	settled := map[string]time.Duration{}
	p.update(func(shifts map[string]shift) bool {
		changed := false
		for dataCentre, s := range shifts {
			switch {
			case now < s.end:
			case !s.ordered:
				delete(shifts, dataCentre)
				changed = true
			case !s.settled:
				settled[dataCentre] = now - s.orderedAt
				s.settled = true
				shifts[dataCentre] = s
				changed = true
			}
		}
		return changed
	})
	return settled
}

// update calls change with a copy of the shifts, which takes effect if it returns true.
func (p *Plan) update(change func(map[string]shift) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	shifts := map[string]shift{}
	maps.Copy(shifts, p.current())
	if !change(shifts) {
		return false
	}
	if len(shifts) == 0 {
		p.shifts.Store(nil)
	} else {
		p.shifts.Store(&shifts)
	}
	return true
}

func (p *Plan) current() map[string]shift {
	if shifts := p.shifts.Load(); shifts != nil {
		return *shifts
	}
	return nil
}

// Active reports whether requests are withheld from any instance.
func (p *Plan) Active() bool { return p.shifts.Load() != nil }

// Evacuated reports whether an order for the data centre is in force.
func (p *Plan) Evacuated(dataCentre string) bool { return p.current()[dataCentre].ordered }

// Empty reports whether no instance of the data centre may get requests.
func (p *Plan) Empty(dataCentre string, now time.Duration) bool {
	s := p.current()[dataCentre]
	return s.ordered && now >= s.end
}

// DataCentres returns the data centres whose orders are in force, sorted.
func (p *Plan) DataCentres() []string {
	var ordered []string
	for dataCentre, s := range p.current() {
		if s.ordered {
			ordered = append(ordered, dataCentre)
		}
	}
	slices.Sort(ordered)
	return ordered
}

// Allows reports whether an instance may get a request. All daemons empty and refill a
// data centre instance by instance in the same order, so that the caches of those that
// still serve stay in use.
func (p *Plan) Allows(dataCentre, instance string, now func() time.Duration) bool {
	shifts := p.current()
	if shifts == nil {
		return true
	}
	s, affected := shifts[dataCentre]
	if !affected {
		return true
	}
	if s.settled {
		return false // without reading the clock
	}
	switch share := s.openShare(now()); {
	case share <= 0:
		return false
	case share >= 1:
		return true
	default:
		return position(instance) < share
	}
}

// position returns the place of an instance in the order in which a data centre is
// refilled, from 0 to 1.
func position(instance string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	// Mix the bits with steps of the MurmurHash3 finaliser: the high bits of FNV hardly
	// depend on the last bytes.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (math.MaxUint64>>11 + 1)
}
