package edge

import (
	"strings"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/rollout"
)

// applyOtherChange applies a change of the record of crashes or of the fleet's size, or of
// an evacuation, or of a roll-out order or record in the store. It ignores other keys.
func (d *Daemon) applyOtherChange(c mirror.Change) {
	switch c.Key {
	case crashesKey:
		d.applyCrashRecord(c)
		return
	case fleetSizeKey:
		d.applyFleetSize(c)
		return
	}
	if strings.HasPrefix(c.Key, rollout.KeyPrefix) {
		d.applyRecord(c)
		return
	}
	if d.applyEvacuation(c) {
		return
	}
	service, isRollout := d.platform.Reader.RolloutService(c.Key)
	if !isRollout {
		return
	}
	if c.Deleted {
		d.splitter.RemoveOrder(service)
		d.rollouts.RemoveOrder(service)
		d.log.Info("roll-out order removed", "service", service, "revision", c.ModRevision)
		return
	}
	order, err := d.platform.Reader.RolloutOrder(service, c.Value, c.ModRevision)
	if err != nil {
		d.log.Warn("roll-out order ignored", "service", service, "revision", c.ModRevision, "error", err)
		return
	}
	d.splitter.SetOrder(order)
	d.rollouts.SetOrder(order)
	d.log.Info("roll-out ordered", "service", service, "target", order.Target, "within", order.Within, "revision", c.ModRevision)
}

// applyRecord applies the record of a roll-out.
func (d *Daemon) applyRecord(c mirror.Change) {
	if c.Deleted {
		return
	}
	state, err := rollout.DecodeRecord(c.Value)
	if err != nil {
		d.log.Warn("roll-out record ignored", "key", c.Key, "revision", c.ModRevision, "error", err)
		return
	}
	d.splitter.SetRecord(state)
}

// versionEvidence returns this daemon's counters for the report to the
// coordinator.
func (d *Daemon) versionEvidence() []*coordinatorv1.VersionEvidence {
	var evidence []*coordinatorv1.VersionEvidence
	for key, c := range d.splitter.Counters() {
		evidence = append(evidence, &coordinatorv1.VersionEvidence{
			Service: key.Service, Version: key.Version, Route: key.Route,
			Requests: c.Requests, Failures: c.Failures, LatencySeconds: c.Latency,
			Completed: c.Completed, LogDuration: c.LogDuration, LogDurationSquares: c.LogDurationSquares,
		})
	}
	return evidence
}

// fleetEvidence returns the counters summed over all daemons.
func (d *Daemon) fleetEvidence() map[rollout.Key]rollout.Counters {
	sums := map[rollout.Key]rollout.Counters{}
	for _, e := range d.coordinator.Evidence() {
		key := rollout.Key{Service: e.Service, Version: e.Version, Route: e.Route}
		sums[key] = sums[key].Add(rollout.Counters{
			Requests: e.Requests, Failures: e.Failures, Latency: e.LatencySeconds,
			Completed: e.Completed, LogDuration: e.LogDuration, LogDurationSquares: e.LogDurationSquares,
		})
	}
	return sums
}

// rolloutStates returns the states of the roll-outs for the coordinator's
// responses.
func (d *Daemon) rolloutStates() []*coordinatorv1.RolloutState {
	var states []*coordinatorv1.RolloutState
	for _, s := range d.rollouts.States() {
		states = append(states, &coordinatorv1.RolloutState{
			Service: s.Order.Service, Target: s.Order.Target, Share: s.Share, Outcome: string(s.Outcome),
			OrderRevision: s.Order.Revision, Unproven: s.Unproven,
		})
	}
	return states
}

// applyRolloutStates applies the states received from the coordinator.
func (d *Daemon) applyRolloutStates(states []*coordinatorv1.RolloutState) {
	for _, s := range states {
		d.splitter.SetState(rollout.State{
			Order: rollout.Order{Service: s.Service, Target: s.Target, Revision: s.OrderRevision},
			Share: s.Share, Outcome: rollout.Outcome(s.Outcome), Unproven: s.Unproven,
		})
	}
}
