package config

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// maxUnknowns bounds the commits whose outcome is not settled.
	maxUnknowns = 64
	// maxSettleAttempts bounds the read-backs while the operator waits.
	maxSettleAttempts = 8
	// settleTimeout bounds the time that the operator, and other commits of the
	// daemon, wait for a silent store.
	settleTimeout = 3 * time.Second
	// settleInterval is the pause between read-backs in the background.
	settleInterval = time.Second
	// settleWindow is the time after which an unknown outcome is given up. A
	// write that takes effect even later is picked up by the store watch.
	settleWindow = 10 * time.Minute
)

// settle finds out whether a draft was stored after the reply was lost. The
// change record tells. If there is none, the write may still be on its way, so
// the transaction is sent again: both compare the head with the same revision,
// so that only one of them can take effect.
func (m *Manager) settle(ctx context.Context, h head, d *draft, cause error) (outcome, error) {
	m.opts.Logger.Warn("reply of the store was lost", "revision", d.record.Revision,
		"change_id", d.record.ChangeID, "error", cause)
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, settleTimeout)
	defer cancel()
	pauses := newPauses()
	for attempt := 0; attempt < maxSettleAttempts; attempt++ {
		if got := m.readBack(ctx, d); got != outcomeUnknown {
			return got, nil
		}
		res, err := m.opts.Store.Txn(ctx, d.conditions, d.ops)
		switch {
		case err != nil:
		case res.Succeeded:
			m.learnStored(d, res.Revision)
			return outcomeStored, nil
		case headUnchanged(h, d, res):
			if err := m.learnMods(d, res.Current); err != nil {
				return outcomeRefused, err
			}
			d.conditions = m.conditions(h, d)
		}
		if m.pause(ctx, pauses) != nil {
			break
		}
	}
	return outcomeUnknown, cause
}

// readBack compares the stored change record with the draft.
func (m *Manager) readBack(ctx context.Context, d *draft) outcome {
	kv, err := m.opts.Store.Get(ctx, audit.ChangeKey(d.record.Revision))
	if err != nil || kv.ModRevision == 0 {
		return outcomeUnknown
	}
	record, err := audit.DecodeRecord(kv.Value)
	if err != nil {
		return outcomeUnknown
	}
	if record.ChangeID == d.record.ChangeID {
		m.learnStored(d, kv.ModRevision)
		return outcomeStored
	}
	return outcomeRaced
}

func (m *Manager) unknownsFull() bool {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	return len(m.unknowns) >= maxUnknowns
}

func (m *Manager) addUnknown(d *draft) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.unknowns = append(m.unknowns, d)
}

// RunSettler settles commits with an unknown outcome until ctx ends. It is a
// duty of every daemon.
func (m *Manager) RunSettler(ctx context.Context) error {
	ticker := m.opts.Clock.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			m.SettleUnknown(ctx)
		}
	}
}

// SettleUnknown tries once to settle each commit whose outcome is unknown and
// returns how many remain. A commit that turns out to be stored is put in
// force and sent to the other daemons.
func (m *Manager) SettleUnknown(ctx context.Context) int {
	m.stateMu.Lock()
	drafts := append([]*draft(nil), m.unknowns...)
	m.stateMu.Unlock()
	settled := make(map[*draft]bool)
	for _, d := range drafts {
		settled[d] = m.settleLater(ctx, d)
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	var remaining []*draft
	for _, d := range m.unknowns {
		if !settled[d] {
			remaining = append(remaining, d)
		}
	}
	m.unknowns = remaining
	return len(remaining)
}

func (m *Manager) settleLater(ctx context.Context, d *draft) bool {
	got := m.readBack(ctx, d)
	switch {
	case got == outcomeStored:
		m.finishLate(ctx, d)
	case got == outcomeRaced:
		m.opts.Logger.Info("change of unknown outcome was not stored",
			"revision", d.record.Revision, "change_id", d.record.ChangeID)
	case m.opts.Clock.Since(d.record.Time) > settleWindow:
		m.opts.Logger.Warn("change of unknown outcome was given up",
			"revision", d.record.Revision, "change_id", d.record.ChangeID)
	default:
		return false
	}
	return true
}

// finishLate applies a change that was stored without a reply. Its
// predecessors can be missing here if this daemon was cut off meanwhile.
func (m *Manager) finishLate(ctx context.Context, d *draft) {
	err := m.finish(ctx, d)
	if err != nil && !errors.Is(err, context.Canceled) {
		m.opts.Logger.Error("change of unknown outcome was stored but cannot be applied",
			"revision", d.record.Revision, "change_id", d.record.ChangeID, "code", int(result.CodeOf(err)), "error", err)
	}
}
