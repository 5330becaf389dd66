package moves

import (
	"context"
	"fmt"
	"strings"
	"time"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/move"
)

// maxEvidenceBytes bounds the evidence text of a verdict.
const maxEvidenceBytes = 512

// decide derives a verdict from the findings of the judges and returns it if it
// changes the known one. A judge of a single daemon's counters may take a version
// back, but the proof needs the counters of all daemons. The caller holds mu and, if
// there is a verdict, calls rebuild.
func (m *Manager) decide(e *entry, now time.Time) (*peerv1.Verdict, bool) {
	known := m.verdicts[e.key]
	if known.Outcome == move.TakenBack {
		return nil, false
	}
	v := move.Verdict{Decided: now, By: m.options.Self}
	switch evidence, bad := e.takeBackEvidence(); {
	case bad:
		v.Outcome, v.Evidence = move.TakenBack, evidence
	case known.Proved.IsZero() && known.Outcome < move.Proved && e.pool != nil && e.pool.judge.Finding().Proved:
		v.Outcome, v.Proved, v.Evidence = move.Proved, now, e.summary()
	default:
		return nil, false
	}
	if !m.merge(e.key, v) {
		return nil, false
	}
	m.options.Log.Info("move verdict decided", "move", e.key.name, "generation", e.key.generation,
		"outcome", v.Outcome.String(), "evidence", v.Evidence)
	return toProto(e.key, v), true
}

// takeBackEvidence returns the evidence of a judge that found the new version bad,
// if there is one.
func (e *entry) takeBackEvidence() (string, bool) {
	if e.pool != nil {
		if f := e.pool.judge.Finding(); f.TakeBack {
			return "all daemons, " + f.Evidence, true
		}
	}
	if e.judge != nil {
		if f := e.judge.Finding(); f.TakeBack {
			return "one daemon, " + f.Evidence, true
		}
	}
	return "", false
}

// summary describes the evidence for a version that was not found bad.
func (e *entry) summary() string {
	f, _ := e.finding()
	text := fmt.Sprintf("%.0f requests to the new version and %.0f to the old one show no excess", f.NewRequests, f.OldRequests)
	if len(f.FaultyUpstreams) > 0 {
		text += "; set aside as faulty: " + strings.Join(f.FaultyUpstreams, ", ")
	}
	return text
}

// announce sends a verdict to all daemons and does not wait: Options.Broadcast may
// block and has a time-out of its own.
func (m *Manager) announce(ctx context.Context, v *peerv1.Verdict) {
	item := &peerv1.Item{Kind: &peerv1.Item_Verdict{Verdict: v}}
	go m.options.Broadcast(ctx, item)
}

// HandleItem applies a verdict that was received by gossip.
func (m *Manager) HandleItem(item *peerv1.Item) {
	if v := item.GetVerdict(); v != nil {
		m.OnVerdicts([]*peerv1.Verdict{v})
	}
}

// OnVerdicts applies the verdicts of another daemon.
func (m *Manager) OnVerdicts(verdicts []*peerv1.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, p := range verdicts {
		k, v := verdictFromProto(p)
		if v.Outcome == move.Unproved || k.name == "" || !m.merge(k, v) {
			continue
		}
		changed = true
		m.options.Log.Info("move verdict received", "move", k.name, "generation", k.generation,
			"outcome", v.Outcome.String(), "by", v.By)
	}
	if changed {
		m.rebuild()
	}
}

// Verdicts returns all known verdicts, for daemons that join.
func (m *Manager) Verdicts() []*peerv1.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*peerv1.Verdict, 0, len(m.verdicts))
	for k, v := range m.verdicts {
		list = append(list, toProto(k, v))
	}
	return list
}

// toProto encodes a verdict. A verdict with the outcome Proved carries the time of
// the proof as the time of the decision. With other outcomes the time of the proof is
// not needed.
func toProto(k key, v move.Verdict) *peerv1.Verdict {
	decided := v.Decided
	if v.Outcome == move.Proved {
		decided = v.Proved
	}
	return &peerv1.Verdict{
		Move: k.name, Generation: k.generation, Outcome: v.Outcome.String(),
		Evidence: v.Evidence[:min(len(v.Evidence), maxEvidenceBytes)], DecidedUnixMs: decided.UnixMilli(), DecidedBy: v.By,
	}
}

func verdictFromProto(p *peerv1.Verdict) (key, move.Verdict) {
	decided := time.UnixMilli(p.GetDecidedUnixMs())
	v := move.Verdict{
		Outcome: move.ParseOutcome(p.GetOutcome()), Decided: decided, By: p.GetDecidedBy(), Evidence: p.GetEvidence(),
	}
	if v.Outcome == move.Proved {
		v.Proved = decided
	}
	return key{p.GetMove(), p.GetGeneration()}, v
}
