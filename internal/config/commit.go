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
	// maxCommitAttempts is the maximum number of attempts of one commit when
	// other daemons take the next revision first.
	maxCommitAttempts = 50
	// maxSendAttempts is the maximum number of transactions of one attempt. If
	// the cached revisions of the objects' keys are missing or outdated, the
	// first transaction fails, and the next one uses those from its reply.
	maxSendAttempts = 3
	// Bounds of the exponential backoff between attempts. It is randomised, so
	// that racing daemons do not retry at the same time.
	minRetryBackoff = 2 * time.Millisecond
	maxRetryBackoff = 250 * time.Millisecond
)

// cachedModRevision is the store's revision (modRevision) of an object's key. It
// is valid while the object's own configuration revision is objectRevision.
type cachedModRevision struct{ objectRevision, modRevision int64 }

// outcome is the result of sending a transaction.
type outcome int

const (
	outcomeStored   outcome = iota
	outcomeLostRace         // another change was stored as this revision
	outcomeRefused          // not stored, and an error tells why
	outcomeUnknown          // the reply was lost, and the store does not show the outcome
)

// Commit stores changes as one revision, puts them in force and returns the
// revision. The whole resulting set must be valid. If another commit has changed
// the same object since it was read, the changes are refused with code Conflict;
// if it has changed other objects, they are validated again and retried. Other
// codes are those of object.Set.Validate, ObjectNotFound, MoveConflict,
// StaleRevision if the store holds older data than this daemon, NotStored and
// StoreBudgetSpent if there was no effect, and StoreOutcomeUnknown if the store
// does not answer after a write; RunSettler then finds out the outcome.
func (m *Manager) Commit(ctx context.Context, actor Actor, changes []Change) (int64, error) {
	revision, err := m.commit(ctx, actor, changes)
	if err != nil {
		m.recordRefusal(actor, changes, err)
	}
	return revision, err
}

// recordRefusal adds refused changes to the list of refusals.
func (m *Manager) recordRefusal(actor Actor, changes []Change, err error) {
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

// commit is Commit without the entry in the list of refusals.
func (m *Manager) commit(ctx context.Context, actor Actor, changes []Change) (int64, error) {
	if err := checkChanges(changes); err != nil {
		return 0, err
	}
	expected := expectedRevisions(m.Current(), changes)
	select {
	case m.commitSemaphore <- struct{}{}:
		defer func() { <-m.commitSemaphore }()
	case <-ctx.Done():
		return 0, storeError(ctx.Err(), "wait for other commits of this daemon")
	}
	retryBackoff := newRetryBackoff()
	for attempt := 0; attempt < maxCommitAttempts; attempt++ {
		revision, retry, err := m.tryCommit(ctx, actor, changes, expected)
		if !retry {
			return revision, err
		}
		if err := m.waitBackoff(ctx, retryBackoff); err != nil {
			return 0, storeError(err, "store the change before the deadline")
		}
	}
	return 0, result.New(result.NotStored, result.NotRun,
		"the change was not stored: in each of %d attempts a change of another object was stored first", maxCommitAttempts).WithRetryAfter(1)
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minRetryBackoff, MaxInterval: maxRetryBackoff,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
}

// waitBackoff waits for the next backoff interval or until ctx ends.
func (m *Manager) waitBackoff(ctx context.Context, retryBackoff *backoff.ExponentialBackOff) error {
	select {
	case <-m.opts.Clock.After(retryBackoff.NextBackOff()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryCommit tries once to store the changes as the next revision. retry means
// that another change was first and that the commit can be tried again.
func (m *Manager) tryCommit(ctx context.Context, actor Actor, changes []Change, expected map[object.Ref]int64) (revision int64, retry bool, err error) {
	h, err := m.readHead(ctx)
	if err != nil {
		return 0, false, err
	}
	if err := m.catchUp(ctx, h); err != nil {
		return 0, false, err
	}
	base := m.Current()
	if base.Revision != h.Revision || base.ChangeID != h.ChangeID {
		return 0, true, nil // another change came into force after the head was read
	}
	p, err := m.prepareCommit(base, actor, changes, expected)
	if err != nil {
		return 0, false, err
	}
	if m.unsettledFull() {
		return 0, false, result.New(result.NotStored, result.NotRun,
			"the outcome of %d earlier changes is not known yet", maxUnsettled).WithRetryAfter(1)
	}
	switch got, err := m.send(ctx, h, p); got {
	case outcomeStored:
		return p.record.Revision, false, m.applyAndBroadcast(ctx, p)
	case outcomeLostRace:
		return 0, true, nil
	case outcomeUnknown:
		m.addUnsettled(p)
		return 0, false, result.Wrap(err, result.StoreOutcomeUnknown, result.Unknown,
			"change %s may have been stored as revision %d", p.record.ChangeID, p.record.Revision)
	default:
		return 0, false, err
	}
}

// applyAndBroadcast puts a stored commit in force and sends it to the other
// daemons.
func (m *Manager) applyAndBroadcast(ctx context.Context, p *preparedCommit) error {
	if err := m.apply(p.record, p.message); err != nil {
		return err
	}
	m.opts.Logger.Info("configuration change stored", "revision", p.record.Revision,
		"change_id", p.record.ChangeID, "account", p.record.Account, "objects", len(p.record.Objects))
	m.broadcast(ctx, p.message)
	return nil
}

// broadcast sends a stored change to the other daemons.
func (m *Manager) broadcast(ctx context.Context, message *peerv1.Change) {
	if m.opts.Broadcaster == nil {
		return
	}
	// The change is stored, so it must reach the other daemons even if the
	// operator's request is cancelled now.
	m.opts.Broadcaster.Broadcast(context.WithoutCancel(ctx), &peerv1.Item{Kind: &peerv1.Item_Change{Change: message}})
}

// send sends the transaction of a commit on top of head h. If the reply is lost, it
// waits for the outcome with settle.
func (m *Manager) send(ctx context.Context, h head, p *preparedCommit) (outcome, error) {
	for attempt := 0; attempt < maxSendAttempts; attempt++ {
		p.conditions = m.conditions(h, p)
		res, err := m.opts.Store.Txn(ctx, p.conditions, p.ops)
		switch {
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrBudget):
			return outcomeRefused, storeError(err, "store the change")
		case err != nil:
			return m.settle(ctx, h, p, err)
		case res.Succeeded:
			m.cacheStored(p, res.Revision)
			return outcomeStored, nil
		}
		if !headUnchanged(h, p, res) {
			return outcomeLostRace, nil
		}
		if err := m.cacheModRevisions(p, res.Current); err != nil {
			return outcomeRefused, err
		}
	}
	return outcomeLostRace, nil
}

// headUnchanged reports whether the head was still as read when a transaction
// failed, which means that another condition failed.
func headUnchanged(h head, p *preparedCommit, res store.TxnResult) bool {
	return len(res.Current) == len(p.conditions) && res.Current[0].ModRevision == h.modRevision
}

// conditions returns the conditions of a commit's transaction: the head is as
// read, the revision has no change record, and the key of each object has the
// cached revision. If none is cached, 0 is sent; for an existing object this
// condition fails, and the reply holds the current revision.
func (m *Manager) conditions(h head, p *preparedCommit) []store.Condition {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	conditions := []store.Condition{
		{Key: headKey, ModRevision: h.modRevision},
		{Key: audit.ChangeKey(p.record.Revision)},
	}
	for _, e := range p.record.Objects {
		c := store.Condition{Key: objectKey(e.Ref)}
		if cached, ok := m.modRevisions[e.Ref]; ok && e.OldRevision != 0 && cached.objectRevision == e.OldRevision {
			c.ModRevision = cached.modRevision
		}
		conditions = append(conditions, c)
	}
	return conditions
}

// cacheStored caches the store's revision of the objects of a stored commit and
// updates the store's status.
func (m *Manager) cacheStored(p *preparedCommit, storeRevision int64) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.pruneModRevisions()
	for _, e := range p.record.Objects {
		delete(m.modRevisions, e.Ref)
		if e.Object != nil {
			m.modRevisions[e.Ref] = cachedModRevision{e.NewRevision, storeRevision}
		}
	}
	m.store.LastContact, m.store.Revision = m.opts.Clock.Now(), p.record.Revision
}

// pruneModRevisions removes objects that no longer exist from modRevisions once it
// has grown well beyond the configuration. stateMu must be held.
func (m *Manager) pruneModRevisions() {
	const maxExtra = 2 * MaxChanges // entries more than there are objects
	if set := m.Current().Set; len(m.modRevisions) > set.Len()+maxExtra {
		for ref := range m.modRevisions {
			if set.Get(ref) == nil {
				delete(m.modRevisions, ref)
			}
		}
	}
}

// cacheModRevisions caches the store's revisions of the objects from the reply of
// a transaction that failed although the head was unchanged. It returns an error
// if the stored objects differ from those in force, because something other than
// a commit has written them. current is in the order of the conditions: the head,
// the change record, then the objects.
func (m *Manager) cacheModRevisions(p *preparedCommit, current []store.KeyValue) error {
	if current[1].ModRevision != 0 {
		return m.inconsistentStoreError("the store holds a record of revision %d, but its head is at revision %d",
			p.record.Revision, p.base.Revision)
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.pruneModRevisions()
	for i, e := range p.record.Objects {
		kv := current[i+2]
		var stored struct {
			Metadata object.Metadata `json:"metadata"`
		}
		if kv.ModRevision != 0 {
			if err := json.Unmarshal(kv.Value, &stored); err != nil {
				return result.Wrap(err, result.StaleRevision, result.NotRun, "%s cannot be decoded from the store", e.Ref)
			}
		}
		if stored.Metadata.Revision != e.OldRevision {
			return result.New(result.StaleRevision, result.NotRun,
				"%s is at revision %d in the store and at revision %d in force, although the heads agree",
				e.Ref, stored.Metadata.Revision, e.OldRevision)
		}
		m.modRevisions[e.Ref] = cachedModRevision{e.OldRevision, kv.ModRevision}
	}
	return nil
}

// inconsistentStoreError logs and returns an error with code StaleRevision.
func (m *Manager) inconsistentStoreError(format string, args ...any) error {
	err := result.New(result.StaleRevision, result.NotRun, format, args...)
	m.opts.Logger.Error("store holds inconsistent configuration", "detail", err.Detail)
	return err
}
