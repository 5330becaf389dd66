package edge

import (
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
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
