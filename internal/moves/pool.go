package moves

import (
	"context"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// maxReporters bounds the daemons whose counters an evaluator keeps.
const maxReporters = 4096

// poolAlarm is the probability of a false alarm of all evaluators of a move
// together.
const poolAlarm = 0.003

// pool holds the counters of all daemons about one move on an evaluator.
type pool struct {
	judge     *move.Judge
	reporters map[string]*reporter // by daemon ID
	flow      flow
}

type reporter struct {
	sequence int64
	last     map[counterKey]counter
}

func (e *entry) pooled() *pool {
	if e.pool == nil {
		e.pool = &pool{
			judge:     move.NewJudge(move.JudgeConfig{FalseAlarmProbability: poolAlarm, Judges: Evaluators, Routes: e.routes}),
			reporters: make(map[string]*reporter),
		}
		e.pool.judge.SetUpstreams(e.upstreams)
	}
	return e.pool
}

// ReportEvidence implements peer.EvidenceHandler. The counters are cumulative,
// so a lost report is made good by the next one, and a report that arrives
// after a later one of the same daemon is dropped. The answer has the verdicts
// of the moves in the request.
func (m *Manager) ReportEvidence(ctx context.Context, request *peerv1.ReportEvidenceRequest) (*peerv1.ReportEvidenceResponse, error) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	byMove := make(map[key][]*peerv1.Counter)
	for _, c := range request.GetCounters() {
		k := key{c.GetMove(), c.GetGeneration()}
		byMove[k] = append(byMove[k], c)
	}
	answer := &peerv1.ReportEvidenceResponse{}
	var announce []*peerv1.Verdict
	for k, counters := range byMove {
		if e := m.entries[k.name]; e != nil && e.key == k && e.judged(now) {
			e.pooled().add(now, m.share(e, now), e, request, counters)
			if v, ok := m.decide(e, now); ok {
				announce = append(announce, v)
			}
		}
		if v, known := m.verdicts[k]; known {
			answer.Verdicts = append(answer.Verdicts, toProto(k, v))
		}
	}
	if len(announce) > 0 {
		m.rebuild()
	}
	m.mu.Unlock()
	for _, v := range announce {
		m.announce(context.WithoutCancel(ctx), v)
	}
	return answer, nil
}

// add judges the increase since the daemon's last report.
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
	fresh, all := 0.0, 0.0
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
		all += one.Requests
		if one.New {
			fresh += one.Requests
		}
		samples = append(samples, one)
	}
	p.flow.add(now, share, fresh, all)
	p.judge.Add(now, share, samples)
}

// valid reports whether a counter is about one of the move's versions.
func (e *entry) valid(k counterKey) bool { return k.version == e.spec.To || k.version == e.spec.From }
