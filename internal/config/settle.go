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
	// maxUnsettled is the maximum number of commits with an unknown outcome.
	maxUnsettled = 64
	// maxSettleAttempts is the maximum number of reads of the change record while
	// the operator waits.
	maxSettleAttempts = 8
	// settleTimeout is the maximum time that the operator, and other commits of
	// the daemon, wait while the store does not answer.
	settleTimeout = 3 * time.Second
	// settleInterval is the interval between reads of the change record in the
	// background.
	settleInterval = time.Second
	// settleWindow is the age at which a commit with an unknown outcome is no
	// longer checked. If its write takes effect later, the store watch applies it.
	settleWindow = 10 * time.Minute
)

// settle finds out whether a commit was stored when the store's reply was lost: it
// was if the store holds its change record. If there is no record, the write may
// still be in transit, so the transaction is sent again. Both transactions require
// the same revision of the head, so that only one of them can take effect.
func (m *Manager) settle(ctx context.Context, h head, p *preparedCommit, cause error) (outcome, error) {
	m.opts.Logger.Warn("store did not reply to a write; checking whether it took effect", "revision", p.record.Revision,
		"change_id", p.record.ChangeID, "error", cause)
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, settleTimeout)
	defer cancel()
	retryBackoff := newRetryBackoff()
	for attempt := 0; attempt < maxSettleAttempts; attempt++ {
		if got := m.readBack(ctx, p); got != outcomeUnknown {
			return got, nil
		}
		res, err := m.opts.Store.Txn(ctx, p.conditions, p.ops)
		switch {
		case err != nil: // try again after the backoff
		case res.Succeeded:
			m.cacheStored(p, res.Revision)
			return outcomeStored, nil
		case headUnchanged(h, p, res):
			if err := m.cacheModRevisions(p, res.Current); err != nil {
				return outcomeRefused, err
			}
			p.conditions = m.conditions(h, p)
		}
		if m.waitBackoff(ctx, retryBackoff) != nil {
			break
		}
	}
	return outcomeUnknown, cause
}

// readBack reads the change record of a commit's revision. The commit was stored if
// the record is its own, and lost the race if it is another one. Without a record
// the outcome stays unknown.
func (m *Manager) readBack(ctx context.Context, p *preparedCommit) outcome {
	kv, err := m.opts.Store.Get(ctx, audit.ChangeKey(p.record.Revision))
	if err != nil || kv.ModRevision == 0 {
		return outcomeUnknown
	}
	record, err := audit.DecodeRecord(kv.Value)
	if err != nil {
		return outcomeUnknown
	}
	if record.ChangeID == p.record.ChangeID {
		m.cacheStored(p, kv.ModRevision)
		return outcomeStored
	}
	return outcomeLostRace
}

// unsettledFull reports whether no further commit with an unknown outcome may be
// added.
func (m *Manager) unsettledFull() bool {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	return len(m.unsettled) >= maxUnsettled
}

func (m *Manager) addUnsettled(p *preparedCommit) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.unsettled = append(m.unsettled, p)
}

// RunSettler settles commits with an unknown outcome until ctx ends. It runs on
// every daemon.
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
	commits := append([]*preparedCommit(nil), m.unsettled...)
	m.stateMu.Unlock()
	settled := make(map[*preparedCommit]bool)
	for _, p := range commits {
		settled[p] = m.settleInBackground(ctx, p)
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	var remaining []*preparedCommit
	for _, p := range m.unsettled {
		if !settled[p] {
			remaining = append(remaining, p)
		}
	}
	m.unsettled = remaining
	return len(remaining)
}

// settleInBackground checks a commit once and reports whether it needs no more
// checks.
func (m *Manager) settleInBackground(ctx context.Context, p *preparedCommit) bool {
	got := m.readBack(ctx, p)
	switch {
	case got == outcomeStored:
		m.applySettled(ctx, p)
	case got == outcomeLostRace:
		m.opts.Logger.Info("configuration change with an unknown outcome was not stored",
			"revision", p.record.Revision, "change_id", p.record.ChangeID)
	case m.opts.Clock.Since(p.record.Time) > settleWindow:
		m.opts.Logger.Warn("outcome of a configuration change stays unknown and is no longer checked",
			"revision", p.record.Revision, "change_id", p.record.ChangeID)
	default:
		return false
	}
	return true
}

// applySettled applies a commit that turned out to be stored. Its predecessors can
// be missing here if this daemon was disconnected in the meantime; the commit is
// then pending until they are fetched.
func (m *Manager) applySettled(ctx context.Context, p *preparedCommit) {
	err := m.applyAndBroadcast(ctx, p)
	if err != nil && !errors.Is(err, context.Canceled) {
		m.opts.Logger.Error("configuration change with an unknown outcome was stored but cannot be applied",
			"revision", p.record.Revision, "change_id", p.record.ChangeID, "code", int(result.CodeOf(err)), "error", err)
	}
}
