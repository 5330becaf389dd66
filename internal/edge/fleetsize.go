package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// fleetSizeKey is the store key of the number of daemons, which the coordinator keeps.
	// Unlike announcements it has no lease, so that daemons that start after an outage of
	// the store know how many others there are before these are announced again.
	fleetSizeKey = ownPrefix + "fleet-size"
	// fleetSizeInterval is the time between two checks whether the record is right.
	fleetSizeInterval = time.Second
	// fleetSizeTimeout bounds a write of the record.
	fleetSizeTimeout = 800 * time.Millisecond
	// maxFleetSize bounds the number in the record, which another writer may have left.
	maxFleetSize = 100_000
)

// fleetSizeMemory is how long a larger number of daemons is remembered. Announcements that
// have lapsed in an outage of the store are back within some seconds of its return.
const fleetSizeMemory = 20 * time.Second

// fleetSize is the largest number of daemons that was known lately. Parts of the fleet's
// limits follow from it: announcements come one by one after a start, and lapse in an
// outage of the store, so that with the number of the moment the parts of all daemons
// would add up to a multiple of a limit. The zero value is ready for use.
type fleetSize struct {
	mu   sync.Mutex
	peak int
	// seen is when peak was last observed, on the boot clock.
	seen time.Duration
	// recorded tells that the record was read. Until then, or until unprovenUntil, peak may
	// be far too low.
	recorded      bool
	unprovenUntil time.Duration // on the boot clock
}

// record applies the record of the number of daemons.
func (f *fleetSize) record(size int) {
	f.observe(size)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = true
}

// expectRecord makes the number unproven until the record is read. Where there is none, the
// daemons have been announced after fleetSizeMemory.
func (f *fleetSize) expectRecord() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unprovenUntil = bootclock.Now() + fleetSizeMemory
}

// unproven reports whether the number may be far too low because the daemon has just
// started and hasn't read the record.
func (f *fleetSize) unproven() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.recorded && bootclock.Now() < f.unprovenUntil
}

// observe adds an observation and returns the largest number known.
func (f *fleetSize) observe(count int) int { return f.observeAt(count, bootclock.Now()) }

func (f *fleetSize) observeAt(count int, now time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if count >= f.peak || now-f.seen > fleetSizeMemory {
		f.peak, f.seen = count, now
	}
	return f.peak
}

// keepFleetSize writes the number of daemons while this daemon is the coordinator. It
// waits until the number is the same at two checks, since daemons start one by one.
func (d *Daemon) keepFleetSize(ctx context.Context) error {
	last := 0
	return duty.Every(ctx, fleetSizeInterval, func(ctx context.Context) {
		size := d.members.limitCount()
		settled := size == last
		last = size
		if !d.holder.Valid() || !settled {
			return
		}
		current, _ := d.state.fleet.Get(fleetSizeKey)
		value := strconv.Itoa(size)
		if string(current.Value) == value {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, fleetSizeTimeout)
		defer cancel()
		if _, err := d.platform.Store.Txn(ctx, nil, []store.Op{{Key: fleetSizeKey, Value: []byte(value)}}); err != nil {
			d.log.Warn("fleet size not written", "daemons", size, "error", err)
		}
	})
}

// applyFleetSize applies the record of the number of daemons.
func (d *Daemon) applyFleetSize(c mirror.Change) {
	if c.Deleted {
		return
	}
	size, err := strconv.Atoi(string(c.Value))
	if err != nil || size < 1 || size > maxFleetSize {
		d.log.Warn("fleet size ignored", "revision", c.ModRevision, "error", err)
		return
	}
	d.members.size.record(size)
	d.members.changed()
}
