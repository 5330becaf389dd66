package moves

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

// Parameters of evidence reports. Each daemon spaces its reports so that an
// evaluator receives at most reportBudget from all daemons together, out of
// the 14 KB/s of control traffic of a daemon.
const (
	reportBudget = 4096.0 // bytes a second
	// callOverhead is the size of the HTTP/2 and TCP/IP headers of one call.
	callOverhead      = 250
	minReportInterval = time.Second
	// idleInterval is the time between reports without new counters. They
	// bring back verdicts that gossip has lost.
	idleInterval  = 30 * time.Second
	reportTimeout = 2 * time.Second
)

func randomJitter() float64 { return rand.Float64() }

// sentState is what an evaluator has acknowledged.
type sentState struct {
	acked    map[counterKey]counter
	sequence int64
	next     time.Time // of a report with new counters
	idle     time.Time // of a report without
	busy     bool
}

// report is one call to an evaluator.
type report struct {
	to      membership.Member
	request *peerv1.ReportEvidenceRequest
	entry   *entry
	values  map[counterKey]counter
}

// dueReports prepares the reports whose time has come; the caller holds mu.
func (m *Manager) dueReports(now time.Time, daemons int) []report {
	var due []report
	for _, e := range m.entries {
		if e.machine.Final() {
			continue
		}
		for _, to := range m.options.Ranked(e.key.name, Evaluators) {
			if r, ok := m.prepare(e, to, now, daemons); ok {
				due = append(due, r)
			}
		}
	}
	return due
}

func (m *Manager) prepare(e *entry, to membership.Member, now time.Time, daemons int) (report, bool) {
	state := e.sent[to.DaemonID]
	if state == nil {
		state = &sentState{acked: make(map[counterKey]counter)}
		e.sent[to.DaemonID] = state
	}
	if state.busy || now.Before(state.next) {
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
		if now.Before(state.idle) {
			return report{}, false
		}
		// Names the move, so that the answer brings its verdict.
		r.request.Counters = []*peerv1.Counter{{Move: e.key.name, Generation: e.key.generation}}
	}
	state.sequence++
	state.busy = true
	state.next = now.Add(m.jittered(interval(proto.Size(r.request), daemons)))
	state.idle = now.Add(m.jittered(idleInterval))
	return r, true
}

// interval is the time until the next report after one of the given size.
func interval(size, daemons int) time.Duration {
	seconds := float64(size+callOverhead) * float64(daemons) / reportBudget
	return max(minReportInterval, time.Duration(seconds*float64(time.Second)))
}

// jittered spreads an interval by a tenth in both directions.
func (m *Manager) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.options.Jitter()))
}

// send makes the call and applies the verdicts of the answer.
func (m *Manager) send(ctx context.Context, r report) {
	answer, err := m.call(ctx, r)
	m.mu.Lock()
	state := r.entry.sent[r.to.DaemonID]
	state.busy = false
	if err == nil {
		for k, v := range r.values {
			state.acked[k] = v
		}
	} else {
		state.idle = m.options.Clock.Now()
	}
	m.mu.Unlock()
	if err != nil {
		m.options.Log.Debug("evidence not reported", "move", r.entry.key.name, "evaluator", r.to.DaemonID, "error", err.Error())
		return
	}
	m.OnVerdicts(answer.GetVerdicts())
}

func (m *Manager) call(ctx context.Context, r report) (*peerv1.ReportEvidenceResponse, error) {
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
