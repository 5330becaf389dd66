package membership

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	DefaultNeighbours    = 3
	DefaultProbeInterval = time.Second
	// DefaultSuspicionTimeout leaves a suspect two probe rounds to refute. With
	// a probe interval of 1 s, a death is declared about 5 s after it happened.
	DefaultSuspicionTimeout = 2500 * time.Millisecond
	// DefaultRetention exceeds the time that stale records can survive in a
	// region that is cut off for minutes.
	DefaultRetention         = time.Hour
	DefaultUpdateBytes       = 1400 // with headers, a probe fits into two segments
	DefaultRetransmitFactor  = 3
	DefaultFullStateInterval = 5 * time.Second
	DefaultHelpers           = 2
	// mismatchLimit is the number of probes in a row that must find a different
	// state hash before the full state is requested. Updates in flight make the
	// hashes differ for about two rounds.
	mismatchLimit = 3
)

// Config holds the parameters of a List. Zero fields take the defaults.
type Config struct {
	Neighbours       int           // number of members that each member probes
	ProbeInterval    time.Duration // time between two probes of the same neighbour
	SuspicionTimeout time.Duration
	// Retention is how long dead and left members are kept, so that old
	// gossip can't bring them back.
	Retention         time.Duration
	UpdateBytes       int // bound of the piggybacked updates of a message
	RetransmitFactor  int // an update is sent factor x log2(members+1) times
	FullStateInterval time.Duration
	Helpers           int // members asked for an indirect probe
	Rand              *rand.Rand
	Hooks             Hooks
}

// Hooks are called without any lock held; they must not block. Nil hooks are
// not called.
type Hooks struct {
	// Changed is called after a member or one of its gossiped fields changed.
	Changed func()
	// GivenUp is called after the daemon learned that others declared it dead.
	// The argument is the new record, with the new incarnation.
	GivenUp func(Member)
	// Conflict is called when another live process claims the daemon's own
	// name and peer address with an incarnation that isn't lower.
	Conflict func(other Member)
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func (c Config) withDefaults(seed uint64) Config {
	setDefault(&c.Neighbours, DefaultNeighbours)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.UpdateBytes, DefaultUpdateBytes)
	setDefault(&c.RetransmitFactor, DefaultRetransmitFactor)
	setDefault(&c.FullStateInterval, DefaultFullStateInterval)
	setDefault(&c.Helpers, DefaultHelpers)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(seed, rand.Uint64()))
	}
	return c
}
