package placement

import (
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

// demands estimates the demand for each version in the whole fleet. The load
// reports of its upstreams count the running requests of all daemons. The waiting
// requests are this daemon's, multiplied by the number of daemons.
func (d *Duty) demands(snapshot *config.Snapshot, groups []placement.Group, usage map[string]upstreams.Usage) []placement.Demand {
	inUse, sum := make(map[string]float64), 0.0
	for _, g := range groups {
		inUse[g.Version] = slotsInUse(snapshot, g, usage)
		sum += inUse[g.Version]
	}
	waiting := float64(d.options.Admission().Waiting * max(1, d.options.Daemons()))
	routed := routedVersions(snapshot)
	list := make([]placement.Demand, 0, len(groups))
	for _, g := range groups {
		demand := placement.Demand{Group: g, SlotsInUse: inUse[g.Version]}
		switch {
		case sum > 0:
			demand.Waiting = waiting * inUse[g.Version] / sum
		case routed[g.Version]:
			demand.Waiting = waiting
		}
		if routed[g.Version] {
			demand.Floor = 1
		}
		list = append(list, demand)
	}
	addMoveDemand(snapshot, list)
	return list
}

// slotsInUse returns the running requests on all upstreams of the version,
// extrapolated from those on the upstreams that this daemon uses.
func slotsInUse(snapshot *config.Snapshot, g placement.Group, usage map[string]upstreams.Usage) float64 {
	version, _, ok := object.Lookup[*object.Version](snapshot.Set, object.KindVersion, g.Version)
	if !ok {
		return 0
	}
	all := snapshot.Upstreams(version.Selector)
	used, requests := 0, 0
	for _, o := range all {
		if u, ok := usage[o.Metadata.Name]; ok {
			used++
			requests += max(u.InFlight, u.Reported)
		}
	}
	if used == 0 {
		return 0
	}
	return float64(requests) * float64(len(all)) / float64(used)
}

// routedVersions lists the versions that a route sends traffic to.
func routedVersions(snapshot *config.Snapshot) map[string]bool {
	routed := make(map[string]bool)
	snapshot.Set.Each(object.KindRoute, func(o *object.Object) {
		route, ok := o.Spec.(*object.Route)
		if !ok {
			return
		}
		for _, share := range route.Shares {
			if share.Percent > 0 {
				routed[share.Version] = true
			}
		}
	})
	return routed
}

// addMoveDemand raises the expected demand of the new version of an open or
// completed move to the demand of the old one, so that its capacity is ready before
// its traffic share rises. It also raises that of the old version of an open move
// to the demand of the new one, so that the move can be rolled back.
func addMoveDemand(snapshot *config.Snapshot, list []placement.Demand) {
	slots := make(map[string]float64)
	for _, demand := range list {
		slots[demand.Group.Version] = max(demand.SlotsInUse+demand.Waiting, demand.Floor)
	}
	raise := func(version string, offered float64) {
		for n := range list {
			if list[n].Group.Version == version {
				list[n].Offered = max(list[n].Offered, offered)
			}
		}
	}
	snapshot.Set.Each(object.KindMove, func(o *object.Object) {
		move, ok := o.Spec.(*object.Move)
		if !ok || (!move.Open() && move.State != object.MoveDone) {
			return
		}
		raise(move.To, slots[move.From])
		if move.Open() {
			raise(move.From, slots[move.To])
		}
	})
}
