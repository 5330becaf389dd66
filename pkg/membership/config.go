package membership

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	DefaultNeighbours    = 3
	DefaultProbeInterval = time.Second
	// DefaultSuspicionTimeout gives a suspect two probe rounds to refute. With a
	// probe interval of 1 s, a member is declared dead about 5 s after it died.
	DefaultSuspicionTimeout = 2500 * time.Millisecond
	// DefaultRetention exceeds the time for which stale records can survive in a
	// region that is partitioned for minutes.
	DefaultRetention         = time.Hour
	DefaultUpdateBytes       = 1400 // a probe with its headers fits into two TCP segments
	DefaultRetransmitFactor  = 3
	DefaultFullStateInterval = 5 * time.Second
	DefaultHelpers           = 2
	// fullStateMismatches is the number of consecutive probes with a different
	// state hash after which the full state is requested. Updates in flight make
	// the hashes differ for about two rounds.
	fullStateMismatches = 3
)

// Config holds the parameters of a List. Zero fields take the defaults.
type Config struct {
	Neighbours       int           // number of members that each member probes
	ProbeInterval    time.Duration // time between two probes of the same neighbour
	SuspicionTimeout time.Duration // after it, a suspect is declared dead
	// Retention is how long the records of dead and left members are kept, so
	// that outdated gossip can't mark them as alive again.
	Retention         time.Duration
	UpdateBytes       int           // maximum size of the piggybacked updates in a message
	RetransmitFactor  int           // an update is sent factor * ceil(log2(members+1)) times
	FullStateInterval time.Duration // minimum time between two requests for the full state
	Helpers           int           // number of members asked for an indirect probe
	Rand              *rand.Rand
	Hooks             Hooks
}

// Hooks are callbacks that run without the list's lock. They must not block. Nil
// hooks are not called.
type Hooks struct {
	// Changed is called after a member or one of its gossiped fields changed.
	Changed func()
	// DeclaredDead is called after the daemon learned that others declared it
	// dead. The argument is its own record with the new incarnation.
	DeclaredDead func(Member)
	// Conflict is called when another live process has the daemon's own name and
	// peer address and an incarnation that isn't lower.
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
