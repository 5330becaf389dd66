package edge

import (
	"sync"
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// mirrorPosition is the daemon's position in the changes that the coordinator or a
// reader forwards from its mirrors. Daemons follow these mirrors instead of polling,
// so that the calls to the store don't grow with the number of daemons.
type mirrorPosition struct {
	mu       sync.Mutex
	epoch    string // identifies the other daemon and its incarnation
	fleet    int64
	operator int64
	// fleetIncomplete and operatorIncomplete mean that the copy may have entries that were
	// deleted: the next requests ask for all keys until a delta with them was applied.
	fleetIncomplete, operatorIncomplete bool
}

// maxRelayContactAge is the age of the last proof of contact with the store up to
// which a daemon forwards its mirrors. Polls of the coordinator and of readers wait
// 0.5 s. If the store refuses one, its followers therefore notice early enough to
// learn of a leaving instance in another way.
const maxRelayContactAge = time.Second

// mirrorCursors returns the daemon's positions in the mirrors of the daemon that it
// follows.
func (d *Daemon) mirrorCursors() (fleet, operator *coordinatorv1.MirrorCursor) {
	p := &d.position
	p.mu.Lock()
	defer p.mu.Unlock()
	fleet = &coordinatorv1.MirrorCursor{Epoch: p.epoch, Index: p.fleet, Revision: d.state.fleet.Revision()}
	operator = &coordinatorv1.MirrorCursor{Epoch: p.epoch, Index: p.operator, Revision: d.state.operator.Revision()}
	if !p.fleetIncomplete {
		fleet.Digest = d.state.fleet.Digest()
	}
	if !p.operatorIncomplete {
		operator.Digest = d.state.operator.Digest()
	}
	return fleet, operator
}

// contactAge returns the age of the last proof that this daemon's mirrors are current,
// and false if they are not current enough to be forwarded.
func (d *Daemon) contactAge() (time.Duration, bool) {
	age, known := d.state.operator.Age()
	if !known || age > maxRelayContactAge || d.state.operator.Failing() || d.state.fleet.Failing() {
		return 0, false
	}
	_, known = d.state.fleet.Age()
	return age, known
}

// behind reports whether a follower at a position knows of a restore of the store that this
// daemon hasn't seen, so that it can't use the copy of before.
func (d *Daemon) behind(position *coordinatorv1.MirrorCursor) bool {
	own := min(store.Generation(d.state.fleet.Revision()), store.Generation(d.state.operator.Revision()))
	return store.Generation(position.GetRevision()) > own
}

// addMirrorDelta adds the state of this daemon's mirrors to its response as
// coordinator, unless the reporting daemon is this one.
func (d *Daemon) addMirrorDelta(r *coordinatorv1.ReportRequest, response *coordinatorv1.ReportResponse) {
	if r.Fleet == nil || r.Daemon == reportID(d.members.self) {
		return
	}
	age, current := d.contactAge()
	if !current || d.behind(r.Fleet) || d.behind(r.Operator) {
		return
	}
	response.ConfigRevision, response.ConfigAgeNanos = d.state.operator.MaxModRevision(), int64(age)
	response.Fleet = d.encodeDelta(d.state.fleet, r.Fleet)
	if r.Operator != nil {
		response.Operator = d.encodeDelta(d.state.operator, r.Operator)
	}
}

// encodeDelta returns the changes of a mirror after a follower's position.
func (d *Daemon) encodeDelta(m *mirror.Mirror, position *coordinatorv1.MirrorCursor) *coordinatorv1.MirrorDelta {
	epoch := reportID(d.members.self)
	from := mirror.Cursor{Revision: position.GetRevision(), Digest: position.GetDigest()}
	if position.GetEpoch() == epoch {
		from.Index = position.GetIndex()
	}
	age, _ := m.Age() // known: contactAge has been checked
	delta := m.DeltaSince(from)
	encoded := &coordinatorv1.MirrorDelta{
		Cursor:   &coordinatorv1.MirrorCursor{Epoch: epoch, Index: delta.Cursor.Index, Revision: delta.Cursor.Revision},
		AgeNanos: int64(age), Deleted: delta.Deleted, Whole: delta.Whole, AllKeys: delta.Keys, Digest: delta.Digest,
	}
	for _, r := range delta.Pending {
		encoded.PendingRemovals = append(encoded.PendingRemovals, &coordinatorv1.PendingRemoval{
			Key: r.Key, Revision: r.Revision, DelayNanos: int64(r.Delay),
		})
	}
	for _, kv := range delta.Entries {
		entry := &coordinatorv1.MirrorEntry{
			Key: kv.Key, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision, Lease: int64(kv.Lease),
		}
		if entry.DeflatedValue = d.deflater.deflate(kv); entry.DeflatedValue == nil {
			entry.Value = kv.Value
		}
		encoded.Entries = append(encoded.Entries, entry)
	}
	return encoded
}

// applyMirrorDelta applies the coordinator's mirrors to those of this daemon.
func (d *Daemon) applyMirrorDelta(response *coordinatorv1.ReportResponse, sent time.Duration) {
	if response.Fleet == nil {
		d.relayEnded()
		return
	}
	if response.Operator != nil {
		d.applyDeltas(response.Fleet, response.Operator, sent)
		return
	}
	// A coordinator of an earlier version doesn't forward the operators' entries.
	if response.ConfigRevision > d.state.operator.MaxModRevision() {
		d.state.operator.StopRelay()
	} else {
		proof := sent - time.Duration(response.ConfigAgeNanos)
		d.state.operator.SetRelayedCurrent(proof, proof)
	}
	d.applyDeltas(response.Fleet, nil, sent)
}

// applyDeltas applies the changes of another daemon's mirrors. That daemon determined
// the ages after the request was sent, so the time of sending minus the age is a safe
// time for the proof.
func (d *Daemon) applyDeltas(fleet, operator *coordinatorv1.MirrorDelta, sent time.Duration) {
	p := &d.position
	p.mu.Lock()
	defer p.mu.Unlock()
	if operator != nil {
		proof := sent - time.Duration(operator.AgeNanos)
		if !d.applyDelta(d.state.operator, operator, proof, proof, &p.operatorIncomplete) {
			return
		}
	}
	if !d.applyDelta(d.state.fleet, fleet, sent-time.Duration(fleet.AgeNanos), sent, &p.fleetIncomplete) {
		return
	}
	switch epoch := fleet.Cursor.GetEpoch(); {
	case operator != nil:
		p.operator = operator.Cursor.GetIndex()
	case epoch != p.epoch:
		p.operator = 0 // the index was of the other epoch
	}
	p.epoch, p.fleet = fleet.Cursor.GetEpoch(), fleet.Cursor.GetIndex()
}

// applyDelta applies a delta to a mirror. It returns false for a delta that can't be
// decoded, after which the mirror polls the store itself, and for one that lacks deletions,
// after which incomplete is set. The caller holds the lock of the position.
func (d *Daemon) applyDelta(m *mirror.Mirror, delta *coordinatorv1.MirrorDelta, currentAt, requestedAt time.Duration, incomplete *bool) bool {
	decoded := mirror.Delta{
		Cursor:  mirror.Cursor{Index: delta.Cursor.GetIndex(), Revision: delta.Cursor.GetRevision()},
		Deleted: delta.Deleted, Whole: delta.Whole, Keys: delta.AllKeys, Digest: delta.Digest,
	}
	for _, e := range delta.Entries {
		value := e.Value
		if len(e.DeflatedValue) > 0 {
			var err error
			if value, err = inflate(e.DeflatedValue); err != nil {
				d.log.Warn("forwarded entry not decoded", "key", e.Key, "revision", e.Revision, "error", err)
				m.StopRelay()
				return false
			}
		}
		decoded.Entries = append(decoded.Entries, store.KeyValue{
			Key: e.Key, Value: value, ModRevision: e.Revision, CreateRevision: e.CreateRevision, Lease: store.LeaseID(e.Lease),
		})
	}
	for _, r := range delta.PendingRemovals {
		decoded.Pending = append(decoded.Pending, mirror.PendingRemoval{
			Key: r.Key, Revision: r.Revision, Delay: time.Duration(r.DelayNanos),
		})
	}
	if *incomplete && !decoded.Whole && decoded.Digest == 0 {
		return false // the answer to a request from before the difference was found
	}
	*incomplete = !m.ApplyDelta(decoded, currentAt, requestedAt)
	if *incomplete {
		p := &d.position
		p.epoch, p.fleet, p.operator = "", 0, 0
	}
	return !*incomplete
}

// relayEnded is called when the coordinator has lost contact with the store, or this
// daemon with the coordinator.
func (d *Daemon) relayEnded() {
	if d.usesReaders() {
		select {
		case d.askReaders <- struct{}{}:
		default: // it has been woken already
		}
		return
	}
	d.pollStore()
}

// pollStore makes the daemon's mirrors poll the store at once.
func (d *Daemon) pollStore() {
	d.state.fleet.StopRelay()
	d.state.operator.StopRelay()
}

// coordinatorLost is called when the coordinator has become unreachable.
func (d *Daemon) coordinatorLost() {
	d.relayEnded()
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
	now := bootclock.Now()
	d.campaignsFrom.CompareAndSwap(0, int64(now+campaignDelay))
	vacant := now - d.link.lastHolderChange()
	return d.settings.CPUShare >= immediateCampaignCPU || vacant > campaignDelay && now > time.Duration(d.campaignsFrom.Load())
}
