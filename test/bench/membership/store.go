package main

import (
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Parameters of a member list in a key-value store, in which each daemon keeps a
// key with a lease and watches the prefix of all keys.
const (
	// leaseTTL is the time after which a death is detected; gossip takes 5 s as
	// well.
	leaseTTL       = 5 * time.Second
	renewalsPerTTL = 3 // two renewals may be lost
	// storeKeyBytes is the total size of the lease ID, key and revisions in a
	// message.
	storeKeyBytes = 64
	// configChangesPerDay is the number of configuration changes per day. After
	// each change every daemon publishes its revision; without it, the list would
	// not show which daemons lag.
	configChangesPerDay = 47000
	// memberChangesPerDay is the number of daemons replaced per day in a fleet of
	// 420.
	memberChangesPerDay = 220 + 790
)

// measureStore calculates the calls and encoded bytes of an hour.
func measureStore(o options) error {
	member := self(1, uuid.NewString(), "10.100.100.100:7000", o.Size)
	entry := proto.Size(gossip.RequestToProto("", membership.Message{Sender: member})) + storeKeyBytes
	const hour = 3600
	renewals := o.Size * hour * renewalsPerTTL / int(leaseTTL/time.Second)
	replacements := float64(memberChangesPerDay) / 24 * float64(o.Size) / 420
	// A new daemon grants a lease, puts its key, lists the prefix and watches it;
	// the list returns all entries. All watchers receive the put and the expiry
	// of the replaced key.
	calls := float64(renewals) + 4*replacements
	watchEvents := 2 * replacements * float64(o.Size)
	bytes := calls*float64(o.Overhead+storeKeyBytes) +
		watchEvents*float64(entry+o.Overhead/2) + replacements*float64(o.Size*entry)
	report("store calls per s", "%.1f", calls/hour)
	report("waiting watches", "%d", o.Size)
	report("watch events per s", "%.2f", watchEvents/hour)
	report("calls sent per daemon and s", "%.3f", calls/hour/float64(o.Size))
	report("bytes in+out per daemon and s", "%.0f", bytes/hour/float64(o.Size))
	revisions := float64(configChangesPerDay) / 24 / hour * float64(o.Size)
	report("store writes per s with revisions", "%.1f", calls/hour+revisions)
	return nil
}
