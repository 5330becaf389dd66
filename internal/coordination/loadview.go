package coordination

import (
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// loadView is what a daemon knows of the load on the instances from the coordinator's
// deltas. Keys are those of fleet.LoadKey.
type loadView struct {
	cursor *coordinatorv1.LoadsCursor // nil before the first delta
	keys   []uint64                   // by number
	loads  map[uint64]toldLoad        // without idle instances
	// retold has the keys told since the numbers began anew, until all have had their
	// turn. Loads that were known before are kept until then; nil otherwise.
	retold map[uint64]bool
}

// toldLoad is a load as it was told last.
type toldLoad struct {
	total fleet.Load // over all daemons
	own   fleet.Load // this daemon's part of total
}

// others returns the load that the other daemons cause.
func (l toldLoad) others() fleet.Load {
	return fleet.Load{
		Inflight: max(l.total.Inflight-l.own.Inflight, 0), PrefillTokens: max(l.total.PrefillTokens-l.own.PrefillTokens, 0),
	}
}

// position returns the cursor for the next report.
func (v *loadView) position() *coordinatorv1.LoadsCursor {
	if v.cursor == nil {
		return &coordinatorv1.LoadsCursor{}
	}
	return v.cursor
}

// reset drops all loads.
func (v *loadView) reset() { *v = loadView{} }

// list replaces all loads by those of the other daemons that a coordinator of an earlier
// version lists.
func (v *loadView) list(others map[string]fleet.Load) {
	*v = loadView{loads: make(map[uint64]toldLoad, len(others))}
	for id, l := range others {
		v.loads[fleet.LoadKey(id)] = toldLoad{total: l}
	}
}

// apply applies the response to a report and returns the loads of the other daemons that
// it changed. A delta from another position than the present one changes nothing: the
// response to a later report was applied before.
func (v *loadView) apply(request *coordinatorv1.ReportRequest, delta *coordinatorv1.LoadsDelta) map[uint64]fleet.Load {
	if !proto.Equal(request.LoadsCursor, v.position()) || len(delta.Inflight) != len(delta.Gaps) || len(delta.PrefillTokens) != len(delta.Gaps) {
		return nil
	}
	if delta.Whole || v.cursor == nil {
		v.keys, v.retold = nil, map[uint64]bool{}
	}
	if v.loads == nil {
		v.loads = map[uint64]toldLoad{}
	}
	v.keys = append(v.keys, delta.Keys...)
	numbers, ok := numbersOf(delta.Gaps, len(v.keys))
	if !ok {
		v.cursor = nil // the next report asks for all loads
		return nil
	}
	reported := make(map[uint64]fleet.Load, len(request.Loads))
	for _, l := range request.Loads {
		reported[fleet.LoadKey(l.Instance)] = fleet.Load{Inflight: int(l.Inflight), PrefillTokens: int(l.PrefillTokens)}
	}
	changed := make(map[uint64]fleet.Load, len(numbers))
	for i, number := range numbers {
		key := v.keys[number]
		told := toldLoad{fleet.Load{Inflight: int(delta.Inflight[i]), PrefillTokens: int(delta.PrefillTokens[i])}, reported[key]}
		changed[key] = told.others()
		if v.loads[key] = told; told.total == (fleet.Load{}) {
			delete(v.loads, key)
		}
		if v.retold != nil {
			v.retold[key] = true
		}
	}
	v.cursor = delta.Cursor
	if v.retold != nil && v.cursor.GetPosition() == 0 {
		v.dropOld(changed)
	}
	return changed
}

// dropOld drops the loads that weren't told again, and adds them to changed as idle.
func (v *loadView) dropOld(changed map[uint64]fleet.Load) {
	for key := range v.loads {
		if !v.retold[key] {
			delete(v.loads, key)
			changed[key] = fleet.Load{}
		}
	}
	v.retold = nil
}

// numbersOf returns the numbers that gaps stand for, and false if one isn't below limit.
func numbersOf(gaps []uint32, limit int) ([]int, bool) {
	numbers := make([]int, len(gaps))
	number := -1
	for i, gap := range gaps {
		if number += int(gap) + 1; number >= limit {
			return nil, false
		}
		numbers[i] = number
	}
	return numbers, true
}

// applyLoads applies the loads of a response. A coordinator of an earlier version tells
// all loads of the other daemons.
func (a *Agent) applyLoads(request *coordinatorv1.ReportRequest, response *coordinatorv1.ReportResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if response.LoadsDelta != nil {
		metrics.GetOrCreateCounter("rudder_coordination_loads_told_total").Add(len(response.LoadsDelta.Gaps))
		if response.LoadsDelta.Whole {
			metrics.GetOrCreateCounter("rudder_coordination_loads_restarted_total").Inc()
		}
		a.config.Instances.UpdateRemoteLoads(a.loads.apply(request, response.LoadsDelta))
		return
	}
	loads := make(map[string]fleet.Load, len(response.Loads))
	for _, l := range response.Loads {
		loads[l.Instance] = fleet.Load{Inflight: int(l.Inflight), PrefillTokens: int(l.PrefillTokens)}
	}
	a.loads.list(loads)
	a.config.Instances.SetRemoteLoads(loads)
}
