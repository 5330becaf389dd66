package moves

import (
	"context"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// maxReporters bounds the number of daemons whose counters an evaluator keeps.
const maxReporters = 4096

// poolFalseAlarmProbability bounds the probability that any evaluator of a move
// raises a false alarm.
const poolFalseAlarmProbability = 0.003

// pool holds the counters of all daemons for one move, on an evaluator.
type pool struct {
	judge     *move.Judge
	reporters map[string]*reporter // by daemon ID
	traffic   traffic
}

// reporter is the state of the reports of one daemon.
type reporter struct {
	sequence int64                  // of the last report
	last     map[counterKey]counter // values of the last report
}

// ensurePool returns the pool of a move and creates it if there is none.
func (e *entry) ensurePool() *pool {
	if e.pool == nil {
		e.pool = &pool{
			judge:     move.NewJudge(move.JudgeConfig{FalseAlarmProbability: poolFalseAlarmProbability, Judges: Evaluators, Routes: e.routes}),
			reporters: make(map[string]*reporter),
		}
		e.pool.judge.SetUpstreams(e.upstreams)
	}
	return e.pool
}

// ReportEvidence implements peer.EvidenceHandler. The counters are totals, so the
// next report replaces a lost one, and a report that arrives after a later one of
// the same daemon is dropped. The response has the known verdicts of the moves in
// the request.
func (m *Manager) ReportEvidence(ctx context.Context, request *peerv1.ReportEvidenceRequest) (*peerv1.ReportEvidenceResponse, error) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	byMove := make(map[key][]*peerv1.Counter)
	for _, c := range request.GetCounters() {
		k := key{c.GetMove(), c.GetGeneration()}
		byMove[k] = append(byMove[k], c)
	}
	response := &peerv1.ReportEvidenceResponse{}
	var announce []*peerv1.Verdict
	for k, counters := range byMove {
		if e := m.entries[k.name]; e != nil && e.key == k && e.isJudged(now) {
			e.ensurePool().add(now, m.share(e, now), e, request, counters)
			if v, ok := m.decide(e, now); ok {
				announce = append(announce, v)
			}
		}
		if v, known := m.verdicts[k]; known {
			response.Verdicts = append(response.Verdicts, toProto(k, v))
		}
	}
	if len(announce) > 0 {
		m.rebuild()
	}
	m.mu.Unlock()
	for _, v := range announce {
		m.announce(context.WithoutCancel(ctx), v)
	}
	return response, nil
}

// add passes the increase since the daemon's last report to the judge. It skips
// counters that have not increased and counters that have decreased.
func (p *pool) add(now time.Time, share float64, e *entry, request *peerv1.ReportEvidenceRequest, counters []*peerv1.Counter) {
	r := p.reporters[request.GetDaemonId()]
	if r == nil {
		if len(p.reporters) >= maxReporters {
			return
		}
		r = &reporter{last: make(map[counterKey]counter)}
		p.reporters[request.GetDaemonId()] = r
	}
	if request.GetSequence() <= r.sequence {
		return
	}
	r.sequence = request.GetSequence()
	var samples []move.Sample
	newRequests, requests := 0.0, 0.0
	for _, c := range counters {
		k, after := fromProto(c)
		before := r.last[k]
		if _, known := r.last[k]; !known && len(r.last) >= maxCounters {
			continue
		}
		if !e.valid(k) || after.requests <= before.requests || after.failures < before.failures || after.slow < before.slow {
			continue
		}
		r.last[k] = after
		one := sample(k, before, after, e.spec.To)
		requests += one.Requests
		if one.New {
			newRequests += one.Requests
		}
		samples = append(samples, one)
	}
	p.traffic.add(now, share, newRequests, requests)
	p.judge.Add(now, share, samples)
}

// valid reports whether a counter belongs to one of the move's two versions.
func (e *entry) valid(k counterKey) bool { return k.version == e.spec.To || k.version == e.spec.From }
