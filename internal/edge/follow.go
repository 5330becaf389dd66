package edge

import (
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// mirrorPosition is the daemon's position in the changes that the coordinator
// forwards from its mirrors. Daemons follow these mirrors instead of polling, so
// that the calls to the store don't grow with the number of daemons.
type mirrorPosition struct {
	epoch string // identifies the coordinator and its incarnation
	index int64
}

// maxRelayContactAge is the age of the coordinator's last proof of contact with the
// store up to which it forwards its mirrors. Its polls wait 0.5 s. If the store
// refuses it, the other daemons therefore notice early enough to learn of a
// leaving instance from the store themselves.
const maxRelayContactAge = time.Second

// mirrorCursor returns the daemon's position in the coordinator's mirror.
func (d *Daemon) mirrorCursor() *coordinatorv1.MirrorCursor {
	d.positionMu.Lock()
	defer d.positionMu.Unlock()
	return &coordinatorv1.MirrorCursor{
		Epoch: d.mirrorPosition.epoch, Index: d.mirrorPosition.index, Revision: d.state.fleet.Revision(),
	}
}

// addMirrorDelta adds the state of this daemon's mirrors to its response as
// coordinator, unless the reporting daemon is this one.
func (d *Daemon) addMirrorDelta(r *coordinatorv1.ReportRequest, response *coordinatorv1.ReportResponse) {
	if r.Fleet == nil || r.Daemon == reportID(d.members.self) {
		return
	}
	contact, known := d.state.operator.Age()
	if !known || contact > maxRelayContactAge || d.state.operator.Failing() || d.state.fleet.Failing() {
		return // the coordinator has lost contact itself: the others must poll the store
	}
	response.ConfigRevision, response.ConfigAgeNanos = d.state.operator.MaxModRevision(), int64(contact)
	age, known := d.state.fleet.Age()
	if !known {
		return
	}
	epoch := reportID(d.members.self)
	from := mirror.Cursor{Revision: r.Fleet.Revision}
	if r.Fleet.Epoch == epoch {
		from.Index = r.Fleet.Index
	}
	delta := d.state.fleet.DeltaSince(from)
	response.Fleet = encodeDelta(delta, epoch, age)
}

func encodeDelta(delta mirror.Delta, epoch string, age time.Duration) *coordinatorv1.MirrorDelta {
	encoded := &coordinatorv1.MirrorDelta{
		Cursor:   &coordinatorv1.MirrorCursor{Epoch: epoch, Index: delta.Cursor.Index, Revision: delta.Cursor.Revision},
		AgeNanos: int64(age), Deleted: delta.Deleted, Whole: delta.Whole, AllKeys: delta.Keys,
	}
	for _, kv := range delta.Entries {
		encoded.Entries = append(encoded.Entries, &coordinatorv1.MirrorEntry{
			Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision, Lease: int64(kv.Lease),
		})
	}
	return encoded
}

// applyMirrorDelta applies the coordinator's mirrors to those of this daemon. The
// coordinator determined the ages after the report was sent, so the time of
// sending minus the age is a safe time for the proof.
func (d *Daemon) applyMirrorDelta(response *coordinatorv1.ReportResponse, sent time.Duration) {
	if response.ConfigRevision > 0 {
		if response.ConfigRevision > d.state.operator.MaxModRevision() {
			d.state.operator.StopRelay()
		} else {
			proof := sent - time.Duration(response.ConfigAgeNanos)
			d.state.operator.SetRelayedCurrent(proof, proof)
		}
	}
	delta := response.Fleet
	if delta == nil {
		d.state.fleet.StopRelay()
		d.state.operator.StopRelay()
		return
	}
	decoded := mirror.Delta{
		Cursor:  mirror.Cursor{Index: delta.Cursor.Index, Revision: delta.Cursor.Revision},
		Deleted: delta.Deleted, Whole: delta.Whole, Keys: delta.AllKeys,
	}
	for _, e := range delta.Entries {
		decoded.Entries = append(decoded.Entries, store.KeyValue{
			Key: e.Key, Value: e.Value, ModRevision: e.Revision, CreateRevision: e.CreateRevision, Lease: store.LeaseID(e.Lease),
		})
	}
	d.state.fleet.ApplyDelta(decoded, sent-time.Duration(delta.AgeNanos), sent)
	d.positionMu.Lock()
	defer d.positionMu.Unlock()
	d.mirrorPosition = mirrorPosition{epoch: delta.Cursor.Epoch, index: delta.Cursor.Index}
}

// stopFollowing makes the daemon poll the store itself.
func (d *Daemon) stopFollowing() {
	d.state.fleet.StopRelay()
	d.state.operator.StopRelay()
	d.fleetRateBits.Store(0)
}

// immediateCampaignCPU is the CPU share in cores from which on a daemon campaigns
// for a vacant coordinator duty at once. Daemons on smaller machines wait, so that
// larger ones come first.
const immediateCampaignCPU = 0.4

// campaignDelay is how long daemons on smaller machines wait.
const campaignDelay = 700 * time.Millisecond

// mayCampaign reports whether this daemon may campaign for the coordinator duty:
// it is not draining, its mirrors are current, and they show no holder.
func (d *Daemon) mayCampaign() bool {
	if d.draining.Load() || !d.state.Fresh(configPollWait+time.Second) || !d.state.fleet.Synced() {
		return false
	}
	if _, held := d.state.fleet.Get(dutyKey); held {
		return false
	}
	return d.settings.CPUShare >= immediateCampaignCPU || bootclock.Now()-d.link.lastHolderChange() > campaignDelay
}
