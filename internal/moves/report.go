package moves

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Parameters of evidence reports.
const (
	// maxReportBytesPerSecond bounds the reports that an evaluator receives about a
	// move from all daemons together. Each daemon spaces its reports accordingly. It
	// is a part of the 14 KB/s that a daemon may use for control traffic.
	maxReportBytesPerSecond = 4096.0
	// callOverheadBytes is the size of the HTTP/2 and TCP/IP headers of one call.
	callOverheadBytes = 250
	minReportInterval = time.Second
	// idleReportInterval is the time between reports without new counters. Their
	// responses return verdicts that were lost in gossip.
	idleReportInterval = 30 * time.Second
	reportTimeout      = 2 * time.Second
)

func randomJitter() float64 { return rand.Float64() }

// reportState is the state of the reports about one move to one evaluator.
type reportState struct {
	acked      map[counterKey]counter // values that the evaluator has acknowledged
	sequence   int64                  // of the last report
	next       time.Time              // earliest time of a report with new counters
	nextIdle   time.Time              // earliest time of a report without them
	inProgress bool
}

// report is one call to an evaluator.
type report struct {
	to      membership.Member
	request *peerv1.ReportEvidenceRequest
	entry   *entry
	values  map[counterKey]counter
}

// dueReports returns the reports that this daemon should send now. The caller holds
// mu.
func (m *Manager) dueReports(now time.Time, daemons int) []report {
	var due []report
	for _, e := range m.entries {
		if e.machine.Final() {
			continue
		}
		for _, to := range m.options.Ranked(e.key.name, Evaluators) {
			if r, ok := m.prepareReport(e, to, now, daemons); ok {
				due = append(due, r)
			}
		}
	}
	return due
}

// prepareReport returns the report to one evaluator, if it is due, and marks it as
// in progress.
func (m *Manager) prepareReport(e *entry, to membership.Member, now time.Time, daemons int) (report, bool) {
	state := e.reported[to.DaemonID]
	if state == nil {
		state = &reportState{acked: make(map[counterKey]counter)}
		e.reported[to.DaemonID] = state
	}
	if state.inProgress || now.Before(state.next) {
		return report{}, false
	}
	r := report{to: to, entry: e, values: make(map[counterKey]counter)}
	r.request = &peerv1.ReportEvidenceRequest{DaemonId: m.options.Self, Sequence: state.sequence + 1}
	for k, v := range e.own.values {
		if v.requests > state.acked[k].requests {
			r.values[k] = *v
			r.request.Counters = append(r.request.Counters, v.toProto(e.key, k))
		}
	}
	if len(r.values) == 0 {
		if now.Before(state.nextIdle) {
			return report{}, false
		}
		// This names the move, so that the response has its verdict.
		r.request.Counters = []*peerv1.Counter{{Move: e.key.name, Generation: e.key.generation}}
	}
	state.sequence++
	state.inProgress = true
	state.next = now.Add(m.jittered(reportInterval(proto.Size(r.request), daemons)))
	state.nextIdle = now.Add(m.jittered(idleReportInterval))
	return r, true
}

// reportInterval returns the time until the next report after one of the given size
// in bytes.
func reportInterval(size, daemons int) time.Duration {
	seconds := float64(size+callOverheadBytes) * float64(daemons) / maxReportBytesPerSecond
	return max(minReportInterval, time.Duration(seconds*float64(time.Second)))
}

// jittered changes an interval at random by up to 10% in either direction.
func (m *Manager) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.options.Jitter()))
}

// sendReport sends a report and applies the verdicts in the response.
func (m *Manager) sendReport(ctx context.Context, r report) {
	response, err := m.callEvaluator(ctx, r)
	m.mu.Lock()
	state := r.entry.reported[r.to.DaemonID]
	state.inProgress = false
	if err == nil {
		for k, v := range r.values {
			state.acked[k] = v
		}
	} else {
		// A report without new counters is repeated at state.next too.
		state.nextIdle = m.options.Clock.Now()
	}
	m.mu.Unlock()
	if err != nil {
		m.options.Log.Debug("evidence not reported", "move", r.entry.key.name, "evaluator", r.to.DaemonID, "error", err.Error())
		return
	}
	m.OnVerdicts(response.GetVerdicts())
}

func (m *Manager) callEvaluator(ctx context.Context, r report) (*peerv1.ReportEvidenceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if r.to.DaemonID == m.options.Self {
		return m.ReportEvidence(ctx, r.request)
	}
	client, err := m.options.Client(r.to.PeerAddress)
	if err != nil {
		return nil, err
	}
	return client.ReportEvidence(ctx, r.request)
}
