// Package fleet holds what a daemon knows of the upstream instances: which
// exist, which leave, how many requests run there and how they answer.
package fleet

import (
	"time"
)

// Description is what an instance announces of itself.
type Description struct {
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	Version    string
	Slots      int
	Leaving    bool
	// LeavesIn is the remaining time of a leaving instance; 0 if unknown.
	LeavesIn time.Duration
	// Reclaimable instances are cheaper and may be taken away.
	Reclaimable bool
	// ColdFor is how long the instance remains slow after its start.
	ColdFor time.Duration
	// Incarnation changes when the instance restarts under its ID.
	Incarnation int64
}
