package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// generationKey is the store key of the generation of the store, which the coordinator
	// keeps. A daemon that starts finds an earlier one if the store was restored just before
	// and its owners may not have written it again.
	generationKey = ownPrefix + "generation"
	// generationInterval is the time between two checks whether the record is right.
	generationInterval = time.Second
	// generationTimeout bounds a write of the record.
	generationTimeout = 800 * time.Millisecond
)

// keepGeneration records the generation of the store while this daemon is the coordinator.
func (d *Daemon) keepGeneration(ctx context.Context) error {
	return duty.Every(ctx, generationInterval, func(ctx context.Context) {
		generation := store.CurrentGeneration(d.platform.Store)
		if generation == 0 || !d.holder.Valid() || d.state.fleet.Settling() || generation != store.Generation(d.state.fleet.Revision()) {
			return
		}
		current, _ := d.state.fleet.Get(generationKey)
		value := strconv.FormatInt(generation, 10)
		if string(current.Value) == value {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, generationTimeout)
		defer cancel()
		if _, err := d.platform.Store.Txn(ctx, nil, []store.Op{{Key: generationKey, Value: []byte(value)}}); err != nil {
			d.log.Warn("store generation not written", "generation", generation, "error", err)
		}
	})
}

// checkGeneration is called after the first list of the store. If the store was restored and
// not recorded since, the copy isn't used until the owners have had the time to write their
// entries again, and a coordinator of before may still hold its duty. A store without a record
// has had no coordinator yet.
func (d *Daemon) checkGeneration() {
	recorded, found := d.state.fleet.Get(generationKey)
	generation := store.Generation(d.state.fleet.Revision())
	if generation == 0 || !found || string(recorded.Value) == strconv.FormatInt(generation, 10) {
		d.state.fleet.Confirm()
		d.state.operator.Confirm()
		return
	}
	d.campaignsAfter.Store(int64(bootclock.Now() + max(d.settings.Bounds.Lease, minLeaseTTL)))
	d.log.Warn("started after a restore of the store", "recorded", string(recorded.Value), "generation", generation)
}
