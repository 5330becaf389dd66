// Package health decides which upstreams may get work and how much.
//
// A [Tracker] combines outcomes of requests (passive checks), results of health
// probes (active checks), streams without progress (freezes) and leaving
// notices. It gives every upstream a weight from 0 (ejected) to 1 and tells
// whether it leaves. It does no I/O; [Tracker.Evaluate] must be called about
// once per second.
package health

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures a Tracker. Zero values mean the defaults below.
type Config struct {
	Clock clockwork.Clock
	// ConsecutiveFailures eject an upstream.
	ConsecutiveFailures int
	// FailureRate (0 to 1) over Window ejects, given MinRequests outcomes.
	FailureRate float64
	Window      time.Duration
	MinRequests int
	// LatencyFactor ejects an upstream whose smoothed latency exceeds the
	// median of its version by this factor, given MinPeers measured peers.
	LatencyFactor float64
	MinPeers      int
	// ActiveFailures and ActiveSuccesses are the consecutive probe results
	// that eject an upstream and bring it back.
	ActiveFailures, ActiveSuccesses int
	// FreezeAfter is the time without a byte after which a stream is frozen.
	FreezeAfter time.Duration
	// BaseEjection doubles with each repeated ejection up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// SlowStart is the time in which the weight of a returning upstream rises
	// from SlowStartFloor to 1.
	SlowStart      time.Duration
	SlowStartFloor float64
	// PanicThreshold is the share of a version's upstreams that ejection
	// never goes below.
	PanicThreshold float64
	// DataCentreShare is the share of failing upstreams from which on the data
	// centre and not the instances is at fault, given at least
	// DataCentreMembers upstreams there.
	DataCentreShare   float64
	DataCentreMembers int
	// OnChange is called with every changed status. It runs under the
	// tracker's lock and must not call the tracker.
	OnChange func(name string, s Status)
}

// Defaults of Config.
const (
	defaultConsecutiveFailures = 5
	defaultFailureRate         = 0.5
	defaultWindow              = 10 * time.Second
	defaultMinRequests         = 10
	// defaultLatencyFactor leaves room for the spread between machine classes.
	defaultLatencyFactor     = 5
	defaultMinPeers          = 3
	defaultActiveFailures    = 3
	defaultActiveSuccesses   = 2
	defaultFreezeAfter       = 5 * time.Second
	defaultBaseEjection      = 10 * time.Second
	defaultMaxEjection       = 5 * time.Minute
	defaultSlowStart         = 20 * time.Second
	defaultSlowStartFloor    = 0.1
	defaultPanicThreshold    = 0.5
	defaultDataCentreShare   = 0.6
	defaultDataCentreMembers = 3
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	orDefault(&c.ConsecutiveFailures, defaultConsecutiveFailures)
	orDefault(&c.FailureRate, defaultFailureRate)
	orDefault(&c.Window, defaultWindow)
	orDefault(&c.MinRequests, defaultMinRequests)
	orDefault(&c.LatencyFactor, defaultLatencyFactor)
	orDefault(&c.MinPeers, defaultMinPeers)
	orDefault(&c.ActiveFailures, defaultActiveFailures)
	orDefault(&c.ActiveSuccesses, defaultActiveSuccesses)
	orDefault(&c.FreezeAfter, defaultFreezeAfter)
	orDefault(&c.BaseEjection, defaultBaseEjection)
	orDefault(&c.MaxEjection, defaultMaxEjection)
	orDefault(&c.SlowStart, defaultSlowStart)
	orDefault(&c.SlowStartFloor, defaultSlowStartFloor)
	orDefault(&c.PanicThreshold, defaultPanicThreshold)
	orDefault(&c.DataCentreShare, defaultDataCentreShare)
	orDefault(&c.DataCentreMembers, defaultDataCentreMembers)
	return c
}

func orDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
