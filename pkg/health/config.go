// Package health decides which upstreams may get work and how much.
//
// A [Tracker] combines outcomes of requests (passive checks), results of health
// probes (active checks), streams without progress (frozen streams) and leaving
// notices. It gives every upstream a weight from 0 (ejected) to 1 and reports
// whether it is leaving. It does no I/O; [Tracker.Evaluate] must be called about
// once per second.
package health

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Config configures a Tracker. Zero values mean the defaults below.
type Config struct {
	Clock clockwork.Clock
	// ConsecutiveFailures is the number of consecutive failed requests that
	// ejects an upstream.
	ConsecutiveFailures int
	// FailureRate is the part of failed requests in Window, from 0 to 1, that
	// ejects an upstream with at least MinRequests outcomes in Window.
	FailureRate float64
	Window      time.Duration
	MinRequests int
	// LatencyFactor ejects an upstream whose smoothed latency exceeds the
	// median of its version by this factor, if at least MinPeers other upstreams
	// of the version have been measured.
	LatencyFactor float64
	MinPeers      int
	// ActiveFailures and ActiveSuccesses are the numbers of consecutive failed
	// probes that eject an upstream and of successful ones that readmit it.
	ActiveFailures, ActiveSuccesses int
	// FreezeAfter is the time without a byte after which a stream is frozen.
	FreezeAfter time.Duration
	// BaseEjection is the duration of an ejection. It doubles with each repeated
	// ejection up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// SlowStart is the time in which the weight of a readmitted upstream rises
	// from SlowStartFloor to 1.
	SlowStart      time.Duration
	SlowStartFloor float64
	// PanicThreshold is the share of a version's upstreams, from 0 to 1, that is
	// never ejected.
	PanicThreshold float64
	// DataCentreShare is the share of failing upstreams in a data centre, from 0
	// to 1, from which on the fault is attributed to the data centre and not to
	// the instances, if it has at least DataCentreMembers upstreams.
	DataCentreShare   float64
	DataCentreMembers int
	// OnChange is called for every changed status. It runs under the tracker's
	// lock and must not call the tracker.
	OnChange func(name string, s Status)
}

// Defaults of Config.
const (
	defaultConsecutiveFailures = 5
	defaultFailureRate         = 0.5
	defaultWindow              = 10 * time.Second
	defaultMinRequests         = 10
	// defaultLatencyFactor allows for the differences between machine classes.
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
