package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/moves"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Parameters of internal/moves: the bytes a second that an evaluator receives
// for one move, and the headers of one call.
const (
	reportBudget = 4096.0
	callOverhead = 250
)

// moveSizes are numbers of moves that are open at once.
var moveSizes = []int{1, 20, 80}

func measureMoves(r *run) error {
	for _, suspects := range []int{0, 10, 100} {
		size := float64(proto.Size(reportOf(suspects)) + callOverhead)
		r.at("moves.report_bytes", "upstreams with failures", "bytes a report", float64(suspects), size)
		interval := size * daemonsAtTarget / reportBudget
		r.at("moves.report_interval", "upstreams with failures", "s between reports to an evaluator, 420 daemons", float64(suspects), interval)
	}
	for _, n := range moveSizes {
		most, mean := evaluatorLoad(n)
		r.at("moves.evaluator_bytes", "open moves", "B/s received by the busiest of 420 daemons", float64(n), most*reportBudget)
		r.at("moves.daemon_bytes", "open moves", "B/s sent by a daemon", float64(n), mean*reportBudget)
	}
	r.atMost("moves: bytes a second of the busiest evaluator, 20 open moves", r.find("moves.evaluator_bytes").values[1], controlBytes, "B/s")
	return nil
}

const daemonsAtTarget = 420

// reportOf is the report of a move between two versions on 4 routes and 3 data
// centres, with some upstreams of the new version counted by name.
func reportOf(suspects int) *peerv1.ReportEvidenceRequest {
	request := &peerv1.ReportEvidenceRequest{DaemonId: orderDaemon, Sequence: 1000}
	add := func(version, route, dataCentre, upstream string) {
		request.Counters = append(request.Counters, &peerv1.Counter{
			Move: "appraisal-v2", Generation: 40_000, Version: version, Route: route, DataCentre: dataCentre, Upstream: upstream,
			Requests: 20_000, Failures: 20, Slow: 400, LatencySumMs: 9.5e6, LatencySquareSumMs: 6.1e9,
		})
	}
	for route := range 4 {
		for centre := range 3 {
			for _, version := range []string{"s0-v0", "s0-v1"} {
				add(version, fmt.Sprint("route-", route), fmt.Sprintf("dc%02d", centre), "")
			}
		}
	}
	for i := range suspects {
		add("s0-v1", fmt.Sprint("route-", i%4), fmt.Sprintf("dc%02d", i%3), upstreamName(i))
	}
	return request
}

// evaluatorLoad returns the most and the mean number of moves that a daemon of
// 420 evaluates.
func evaluatorLoad(open int) (most, mean float64) {
	members := make([]membership.Member, daemonsAtTarget)
	for i := range members {
		members[i] = membership.Member{
			DaemonID: fmt.Sprintf("daemon-%03d-%08x", i, i), DataCentre: fmt.Sprintf("dc%02d", i%fleetDataCentres), State: membership.Alive,
		}
	}
	overlay := membership.NewOverlay(members[0].DaemonID, members)
	counts := make(map[string]int)
	for i := range open {
		for _, m := range overlay.Evaluators(fmt.Sprint("move-", i), moves.Evaluators) {
			counts[m.DaemonID]++
			most = max(most, float64(counts[m.DaemonID]))
		}
	}
	return most, float64(open*moves.Evaluators) / daemonsAtTarget
}
