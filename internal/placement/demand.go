package placement

import (
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/placement"
)

// demands estimates the work of each version in the whole fleet: the load
// reports of its upstreams, which count the requests of all daemons, and this
// daemon's waiting requests as a sample of those of every daemon.
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
	expectMoves(snapshot, list)
	return list
}

// slotsInUse scales the work on the upstreams that this daemon uses to all
// upstreams of the version.
func slotsInUse(snapshot *config.Snapshot, g placement.Group, usage map[string]upstreams.Usage) float64 {
	version, _, ok := object.Lookup[*object.Version](snapshot.Set, object.KindVersion, g.Version)
	if !ok {
		return 0
	}
	all := snapshot.Upstreams(version.Selector)
	used, work := 0, 0
	for _, o := range all {
		if u, ok := usage[o.Metadata.Name]; ok {
			used++
			work += max(u.InFlight, u.Reported)
		}
	}
	if used == 0 {
		return 0
	}
	return float64(work) * float64(len(all)) / float64(used)
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

// expectMoves gives the new version of an open or completed move the demand of
// the old one, so that its capacity is there before its traffic share rises,
// and the old version of an open move that of the new one, so that it can be
// rolled back.
func expectMoves(snapshot *config.Snapshot, list []placement.Demand) {
	slots := make(map[string]float64)
	for _, demand := range list {
		slots[demand.Group.Version] = max(demand.SlotsInUse+demand.Waiting, demand.Floor)
	}
	expect := func(version string, offered float64) {
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
		expect(move.To, slots[move.From])
		if move.Open() {
			expect(move.From, slots[move.To])
		}
	})
}
