package main

import (
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Parameters of a member list in the store: each daemon keeps a leased key and
// watches the prefix.
const (
	// storeTTL detects a death within 5 s, as the gossip does.
	storeTTL      = 5 * time.Second
	renewalsInTTL = 3 // two renewals may be lost
	// storeKeyBytes is the size of a lease ID, a key and revisions in a message.
	storeKeyBytes = 64
	// configChangesPerDay makes each daemon publish its revision. Without it
	// the list doesn't show who lags.
	configChangesPerDay = 47000
	churnPerDay         = 220 + 790
)

// measureStore counts the calls and encoded bytes of a simulated hour.
func measureStore(o options) error {
	member := self(1, uuid.NewString(), "10.100.100.100:7000", o.Size)
	entry := proto.Size(gossip.RequestToProto("", membership.Message{Sender: member})) + storeKeyBytes
	const hour = 3600
	renewals := o.Size * hour * renewalsInTTL / int(storeTTL/time.Second)
	churn := float64(churnPerDay) / 24 * float64(o.Size) / 420
	// A replacement grants, puts, lists and watches; the list of the store
	// returns all entries. The put and the expiry reach all watchers.
	calls := float64(renewals) + 4*churn
	watchEvents := 2 * churn * float64(o.Size)
	bytes := calls*float64(o.Overhead+storeKeyBytes) +
		watchEvents*float64(entry+o.Overhead/2) + churn*float64(o.Size*entry)
	report("store calls per s", "%.1f", calls/hour)
	report("waiting watches", "%d", o.Size)
	report("watch events per s", "%.2f", watchEvents/hour)
	report("calls sent per daemon and s", "%.3f", calls/hour/float64(o.Size))
	report("bytes in+out per daemon and s", "%.0f", bytes/hour/float64(o.Size))
	revisions := float64(configChangesPerDay) / 24 / hour * float64(o.Size)
	report("store writes per s with revisions", "%.1f", calls/hour+revisions)
	return nil
}
