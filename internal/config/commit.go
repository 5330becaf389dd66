package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const (
	// maxCommitAttempts bounds the retries after races with other daemons.
	maxCommitAttempts = 50
	// maxSendAttempts bounds the transactions of one attempt: a second one
	// follows when the first has shown the store's revisions of the objects.
	maxSendAttempts = 3
	// Pauses between attempts; random, so that racing daemons spread out.
	minRetryPause = 2 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
)

// knownMod is the store's revision of the key of an object. It holds as long
// as the object is at the configuration revision.
type knownMod struct{ revision, mod int64 }

// outcome is the result of sending a transaction.
type outcome int

const (
	outcomeStored  outcome = iota
	outcomeRaced           // another change took the revision
	outcomeRefused         // not stored, with an error
	outcomeUnknown
)

// Commit stores changes as one revision and puts them in force. The whole
// resulting set must be valid. A change that raced with another one on the
// same object is refused with code Conflict; after a race on another object it
// is validated again and retried. Other codes are those of
// object.Set.Validate, ObjectNotFound, MoveConflict, StaleRevision if the
// store holds older data than this daemon, NotStored and StoreBudgetSpent if
// there was no effect, and StoreOutcomeUnknown if the store stays silent after
// a write; the outcome is then settled by RunSettler.
func (m *Manager) Commit(ctx context.Context, actor Actor, changes []Change) (int64, error) {
	revision, err := m.commit(ctx, actor, changes)
	if err != nil {
		m.refused(actor, changes, err)
	}
	return revision, err
}

func (m *Manager) refused(actor Actor, changes []Change, err error) {
	refs := make([]object.Ref, len(changes))
	for i, c := range changes {
		refs[i] = c.Ref()
	}
	failure := result.From(err)
	m.opts.Refusals.Add(audit.Refusal{
		Time: m.opts.Clock.Now().UTC(), Account: actor.Account, RemoteAddress: actor.RemoteAddress,
		Daemon: m.opts.Daemon, Objects: refs, Code: failure.Code, Detail: failure.Detail,
	})
}

func (m *Manager) commit(ctx context.Context, actor Actor, changes []Change) (int64, error) {
	if err := checkChanges(changes); err != nil {
		return 0, err
	}
	expected := expectations(m.Current(), changes)
	select {
	case m.committing <- struct{}{}:
		defer func() { <-m.committing }()
	case <-ctx.Done():
		return 0, storeError(ctx.Err(), "wait for other commits of this daemon")
	}
	pauses := newPauses()
	for attempt := 0; attempt < maxCommitAttempts; attempt++ {
		revision, again, err := m.attempt(ctx, actor, changes, expected)
		if !again {
			return revision, err
		}
		if err := m.pause(ctx, pauses); err != nil {
			return 0, storeError(err, "store the change before the deadline")
		}
	}
	return 0, result.New(result.NotStored, result.NotRun,
		"the change lost %d races with changes of other objects", maxCommitAttempts).WithRetryAfter(1)
}

func newPauses() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minRetryPause, MaxInterval: maxRetryPause,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
}

func (m *Manager) pause(ctx context.Context, pauses *backoff.ExponentialBackOff) error {
	select {
	case <-m.opts.Clock.After(pauses.NextBackOff()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt tries to store the changes as the next revision of the store. It
// asks to be called again after a race.
func (m *Manager) attempt(ctx context.Context, actor Actor, changes []Change, expected map[object.Ref]int64) (revision int64, again bool, err error) {
	h, err := m.readHead(ctx)
	if err != nil {
		return 0, false, err
	}
	if err := m.catchUp(ctx, h); err != nil {
		return 0, false, err
	}
	base := m.Current()
	if base.Revision != h.Revision || base.ChangeID != h.ChangeID {
		return 0, true, nil // another change came into force after the read
	}
	d, err := m.newDraft(base, actor, changes, expected)
	if err != nil {
		return 0, false, err
	}
	if m.unknownsFull() {
		return 0, false, result.New(result.NotStored, result.NotRun,
			"the outcome of %d earlier changes is not known yet", maxUnknowns).WithRetryAfter(1)
	}
	switch got, err := m.send(ctx, h, d); got {
	case outcomeStored:
		return d.record.Revision, false, m.finish(ctx, d)
	case outcomeRaced:
		return 0, true, nil
	case outcomeUnknown:
		m.addUnknown(d)
		return 0, false, result.Wrap(err, result.StoreOutcomeUnknown, result.Unknown,
			"change %s may have been stored as revision %d", d.record.ChangeID, d.record.Revision)
	default:
		return 0, false, err
	}
}

// finish puts a stored change in force and sends it to the other daemons.
func (m *Manager) finish(ctx context.Context, d *draft) error {
	if err := m.apply(d.record, d.raw); err != nil {
		return err
	}
	m.opts.Logger.Info("configuration change stored", "revision", d.record.Revision,
		"change_id", d.record.ChangeID, "account", d.record.Account, "objects", len(d.record.Objects))
	m.broadcast(ctx, d.raw)
	return nil
}

func (m *Manager) broadcast(ctx context.Context, raw *peerv1.Change) {
	if m.opts.Broadcaster == nil {
		return
	}
	// The change is stored, so the end of the operator's request must not
	// keep it from the other daemons.
	m.opts.Broadcaster.Broadcast(context.WithoutCancel(ctx), &peerv1.Item{Kind: &peerv1.Item_Change{Change: raw}})
}

// send stores a draft on top of head h.
func (m *Manager) send(ctx context.Context, h head, d *draft) (outcome, error) {
	for attempt := 0; attempt < maxSendAttempts; attempt++ {
		d.conditions = m.conditions(h, d)
		res, err := m.opts.Store.Txn(ctx, d.conditions, d.ops)
		switch {
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrBudget):
			return outcomeRefused, storeError(err, "store the change")
		case err != nil:
			return m.settle(ctx, h, d, err)
		case res.Succeeded:
			m.learnStored(d, res.Revision)
			return outcomeStored, nil
		}
		if !headUnchanged(h, d, res) {
			return outcomeRaced, nil
		}
		if err := m.learnMods(d, res.Current); err != nil {
			return outcomeRefused, err
		}
	}
	return outcomeRaced, nil
}

// headUnchanged reports whether a failed transaction found the head as it was
// read, so that it failed because of another condition.
func headUnchanged(h head, d *draft, res store.TxnResult) bool {
	return len(res.Current) == len(d.conditions) && res.Current[0].ModRevision == h.mod
}

// conditions compares the head, the absence of a record for the revision, and
// the stored revision of each object. An unknown object revision is sent as 0,
// which fails and makes the store reply with the true one.
func (m *Manager) conditions(h head, d *draft) []store.Condition {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	conditions := []store.Condition{
		{Key: headKey, ModRevision: h.mod},
		{Key: audit.ChangeKey(d.record.Revision)},
	}
	for _, e := range d.record.Objects {
		c := store.Condition{Key: objectKey(e.Ref)}
		if known, ok := m.mods[e.Ref]; ok && e.OldRevision != 0 && known.revision == e.OldRevision {
			c.ModRevision = known.mod
		}
		conditions = append(conditions, c)
	}
	return conditions
}

// learnStored records the store's revision of the objects of a stored draft.
func (m *Manager) learnStored(d *draft, storeRevision int64) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.boundMods()
	for _, e := range d.record.Objects {
		delete(m.mods, e.Ref)
		if e.Object != nil {
			m.mods[e.Ref] = knownMod{e.NewRevision, storeRevision}
		}
	}
	m.store.LastContact, m.store.Revision = m.opts.Clock.Now(), d.record.Revision
}

// boundMods drops what is known of objects that no longer exist.
func (m *Manager) boundMods() {
	const spare = 2 * MaxChanges
	if set := m.Current().Set; len(m.mods) > set.Len()+spare {
		for ref := range m.mods {
			if set.Get(ref) == nil {
				delete(m.mods, ref)
			}
		}
	}
}

// learnMods takes the store's revisions of the objects from a failed
// transaction whose head was current. It returns an error if the stored
// objects are not those in force, because something other than a commit has
// written them.
func (m *Manager) learnMods(d *draft, current []store.KeyValue) error {
	if current[1].ModRevision != 0 {
		return m.inconsistent("the store holds a record of revision %d, but its head is at revision %d",
			d.record.Revision, d.base.Revision)
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.boundMods()
	for i, e := range d.record.Objects {
		kv := current[i+2]
		var stored struct {
			Metadata object.Metadata `json:"metadata"`
		}
		if kv.ModRevision != 0 {
			if err := json.Unmarshal(kv.Value, &stored); err != nil {
				return result.Wrap(err, result.StaleRevision, result.NotRun, "%s is unreadable in the store", e.Ref)
			}
		}
		if stored.Metadata.Revision != e.OldRevision {
			return result.New(result.StaleRevision, result.NotRun,
				"%s is at revision %d in the store and at revision %d in force, although the heads agree",
				e.Ref, stored.Metadata.Revision, e.OldRevision)
		}
		m.mods[e.Ref] = knownMod{e.OldRevision, kv.ModRevision}
	}
	return nil
}

func (m *Manager) inconsistent(format string, args ...any) error {
	err := result.New(result.StaleRevision, result.NotRun, format, args...)
	m.opts.Logger.Error("store holds inconsistent configuration", "detail", err.Detail)
	return err
}
