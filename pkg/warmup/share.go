package warmup

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSenders is the number of daemons that may send requests to one cold instance. With
	// more, the requests that their buckets let through at once take up the bound.
	maxSenders = 8
	// spareSenders is the number of further daemons that may choose themselves because
	// other daemons are missing from their lists: after a start, a stop or a partition,
	// lists differ for some seconds.
	spareSenders = 3
)

// Bound limits the requests that a cold instance gets in one second from all daemons.
type Bound struct {
	Rate    float64 // requests per second that the instance bears
	Overrun float64 // factor by which a second may exceed Rate
	Slack   float64 // requests of a second beyond Rate x Overrun
}

func (b Bound) perSecond() float64 { return b.Rate*b.Overrun + b.Slack }

// share returns the number of daemons that may send to a cold instance in a fleet of the
// given size, and the requests per second of each; 0 if the bound leaves no room.
//
// Two requests of a daemon are at least 1/rate apart, so that it sends at most 1+rate in
// any second. The rate is chosen so that senders+spareSenders daemons stay within the
// bound.
func (b Bound) share(size int) (senders int, rate float64) {
	best := 0.0
	for n := 1; n <= min(maxSenders, size); n++ {
		spare := min(spareSenders, size-n)
		each := min(b.Rate/float64(n), b.perSecond()/float64(n+spare)-1)
		if total := each * float64(n); total >= best && each > 0 {
			senders, rate, best = n, each, total
		}
	}
	return senders, rate
}

// Fleet is a daemon's view of the fleet.
type Fleet struct {
	Self    string   // name of the daemon
	Daemons []string // names of the announced daemons; Self counts also if it is missing
	// Size is the number of daemons that are known to exist. Daemons may be missing from
	// the list, for example when all start together.
	Size int
	// Unproven tells that Size may be far too low. Cold instances then get nothing.
	Unproven bool
}

// Rate returns the requests per second that the daemon may send to a cold instance. key
// identifies the incarnation of the instance; 0 means that others are chosen for it.
// Daemons are chosen by rendezvous hashing (highest random weight).
func (f Fleet) Rate(key string, b Bound) float64 {
	if f.Unproven {
		return 0
	}
	daemons := 1
	own, above := weight(f.Self, key), 0
	for _, name := range f.Daemons {
		if name == f.Self {
			continue
		}
		daemons++
		if weight(name, key) > own {
			above++
		}
	}
	size := max(f.Size, daemons)
	senders, rate := b.share(size)
	if above >= senders {
		return 0
	}
	if daemons+spareSenders < size {
		// Too many are missing for the ranks to tell. Daemons choose themselves by chance,
		// half as many as senders on average, since their number varies.
		if float64(own)/(1<<64) < 1-float64(senders)/2/float64(size) {
			return 0
		}
	}
	return rate
}

// weight returns the weight of a daemon for a cold instance. It is the same at all daemons.
func weight(daemon, key string) uint64 {
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], xxhash.Sum64String(daemon))
	h := xxhash.NewWithSeed(xxhash.Sum64String(key))
	_, _ = h.Write(data[:]) // never fails
	return h.Sum64()
}
