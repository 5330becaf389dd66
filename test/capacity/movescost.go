package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/moves"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Parameters of internal/moves.
const (
	maxReportBytesPerSecond = 4096.0 // received by an evaluator for one move
	callOverheadBytes       = 250    // HTTP/2 and TCP/IP headers of one call
)

// moveSizes are the numbers of concurrently open moves.
var moveSizes = []int{1, 20, 80}

func measureMoves(r *run) error {
	for _, suspects := range []int{0, 10, 100} {
		size := float64(proto.Size(newReport(suspects)) + callOverheadBytes)
		r.record("moves.report_bytes", "upstreams with failures", "bytes a report", float64(suspects), size)
		interval := size * targetDaemons / maxReportBytesPerSecond
		r.record("moves.report_interval", "upstreams with failures", "s between reports to an evaluator, 420 daemons", float64(suspects), interval)
	}
	for _, n := range moveSizes {
		highest, mean := evaluatorLoad(n)
		r.record("moves.evaluator_bytes", "open moves", "B/s received by the busiest of 420 daemons", float64(n), highest*maxReportBytesPerSecond)
		r.record("moves.daemon_bytes", "open moves", "B/s sent by a daemon", float64(n), mean*maxReportBytesPerSecond)
	}
	r.addLimit("moves: bytes a second of the busiest evaluator, 20 open moves", r.find("moves.evaluator_bytes").values[1], controlBytesPerSecond, "B/s")
	return nil
}

const targetDaemons = 420

// newReport returns the report of a move between two versions on 4 routes and 3 data
// centres, in which the given number of upstreams of the new version have
// counters of their own.
func newReport(suspects int) *peerv1.ReportEvidenceRequest {
	request := &peerv1.ReportEvidenceRequest{DaemonId: issuingDaemonID, Sequence: 1000}
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

// evaluatorLoad returns the highest and the mean number of moves that a daemon of
// 420 evaluates.
func evaluatorLoad(open int) (highest, mean float64) {
	members := make([]membership.Member, targetDaemons)
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
			highest = max(highest, float64(counts[m.DaemonID]))
		}
	}
	return highest, float64(open*moves.Evaluators) / targetDaemons
}
