package edge

import (
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// follower lets the daemon follow the coordinator's mirrors, so that the calls
// to the store don't grow with the number of daemons.
type follower struct {
	epoch string
	index int64
}

// relayContact is the age of the coordinator's own proof up to which it relays.
// Its polls wait 0.5 s, so that a store that has turned it away shows in time for
// the others to see a leaving instance themselves.
const relayContact = time.Second

// cursor returns how far the daemon follows the coordinator's mirror.
func (d *Daemon) cursor() *coordinatorv1.MirrorCursor {
	d.followMu.Lock()
	defer d.followMu.Unlock()
	return &coordinatorv1.MirrorCursor{
		Epoch: d.follower.epoch, Index: d.follower.index, Revision: d.state.fleet.Revision(),
	}
}

// completeReport adds what this daemon's mirrors have to its answer as coordinator.
func (d *Daemon) completeReport(r *coordinatorv1.ReportRequest, response *coordinatorv1.ReportResponse) {
	if r.Fleet == nil || r.Daemon == reportName(d.members.self) {
		return
	}
	contact, known := d.state.operator.Age()
	if !known || contact > relayContact || d.state.operator.Failing() || d.state.fleet.Failing() {
		return // this daemon lacks contact itself: the others must ask the store
	}
	response.ConfigRevision, response.ConfigAgeNanos = d.state.operator.LastChange(), int64(contact)
	age, known := d.state.fleet.Age()
	if !known {
		return
	}
	epoch := reportName(d.members.self)
	from := mirror.Cursor{Revision: r.Fleet.Revision}
	if r.Fleet.Epoch == epoch {
		from.Index = r.Fleet.Index
	}
	delta := d.state.fleet.Since(from)
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

// follow takes over the coordinator's mirrors. The age that it tells was read
// after the request was sent, so that the proof is no older than that.
func (d *Daemon) follow(response *coordinatorv1.ReportResponse, sent time.Duration) {
	if response.ConfigRevision > 0 {
		if response.ConfigRevision > d.state.operator.LastChange() {
			d.state.operator.StopRelay()
		} else {
			proof := sent - time.Duration(response.ConfigAgeNanos)
			d.state.operator.ProveRelayed(proof, proof)
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
	d.state.fleet.Follow(decoded, sent-time.Duration(delta.AgeNanos), sent)
	d.followMu.Lock()
	defer d.followMu.Unlock()
	d.follower = follower{epoch: delta.Cursor.Epoch, index: delta.Cursor.Index}
}

// loseCoordinator makes the daemon ask the store itself.
func (d *Daemon) loseCoordinator() {
	d.state.fleet.StopRelay()
	d.state.operator.StopRelay()
	d.load.Store(0)
}

// bigShare is the processor share from which on a machine coordinates at once;
// smaller ones leave larger ones the precedence.
const bigShare = 0.4

// vacancyWait is the precedence that larger machines have.
const vacancyWait = 700 * time.Millisecond

// mayCampaign reports whether nobody holds the duty, as far as the mirror knows.
func (d *Daemon) mayCampaign() bool {
	if d.draining.Load() || !d.state.Fresh(pollWait+time.Second) || !d.state.fleet.Synced() {
		return false
	}
	if _, held := d.state.fleet.Get(dutyKey); held {
		return false
	}
	return d.settings.CPUShare >= bigShare || bootclock.Now()-d.link.vacantSince() > vacancyWait
}
