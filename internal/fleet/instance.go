// Package fleet keeps a daemon's view of the upstream instances: which
// instances exist, which are leaving, how many requests they are running and
// how healthy they are. It picks the instance for each request.
package fleet

import (
	"time"
)

// Description is the information that an instance announces about itself.
type Description struct {
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	Version    string
	// Slots is the number of requests that the instance can run at a time.
	Slots int
	// Leaving reports that the instance is about to stop and takes no new requests.
	Leaving bool
	// RemainingLifetime is the time until a leaving instance stops; 0 if unknown.
	RemainingLifetime time.Duration
	// Reclaimable instances are cheaper, and the cloud provider may reclaim them.
	Reclaimable bool
	// WarmupTime is how much longer the instance is cold, as its entry says.
	WarmupTime time.Duration
	// Incarnation changes when the instance restarts under the same ID.
	Incarnation int64
}
