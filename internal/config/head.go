package config

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Keys of the configuration in the store.
const (
	configPrefix = "/rudder/config/"
	headKey      = configPrefix + "head"
	objectPrefix = configPrefix + "objects/"
)

func objectKey(ref object.Ref) string {
	return objectPrefix + string(ref.Kind) + "/" + ref.Name
}

// head is the value of the head key.
type head struct {
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeId"`
	// mod is the store's revision of the key.
	mod int64
}

func decodeHead(kv store.KeyValue) (head, error) {
	h := head{mod: kv.ModRevision}
	if kv.ModRevision == 0 {
		return h, nil
	}
	return h, errors.Wrapf(json.Unmarshal(kv.Value, &h), "decode %s", headKey)
}

// known is what a daemon knew before it read from the store. The answer is
// compared with it and not with the state afterwards, because newer changes
// may come into force during the read.
type known struct {
	*Snapshot
	wanted int64 // revision that a peer has in force
}

func (m *Manager) known() known {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return known{m.Current(), m.wanted}
}

// readHead reads the head and checks it against what was known before.
func (m *Manager) readHead(ctx context.Context) (head, error) {
	before := m.known()
	kv, err := m.opts.Store.Get(ctx, headKey)
	if err != nil {
		return head{}, storeError(err, "read the head")
	}
	h, err := decodeHead(kv)
	if err != nil {
		return head{}, result.Wrap(err, result.Internal, result.NotRun, "the store's head is unreadable")
	}
	return h, m.checkHead(h, before)
}

// checkHead records a contact with the store. It returns an error with code
// StaleRevision if the head is older than the configuration in force on this
// daemon or on a peer, or belongs to another history.
func (m *Manager) checkHead(h head, before known) error {
	var err error
	switch {
	case h.Revision < before.Revision:
		err = result.New(result.StaleRevision, result.NotRun,
			"the store's head is at revision %d, behind revision %d in force", h.Revision, before.Revision)
	case h.Revision == before.Revision && h.ChangeID != before.ChangeID:
		err = result.New(result.StaleRevision, result.NotRun,
			"the store's revision %d was made by change %q, and the one in force by change %q",
			h.Revision, h.ChangeID, before.ChangeID)
	case h.Revision < before.wanted:
		err = result.New(result.StaleRevision, result.NotRun,
			"the store's head is at revision %d, behind revision %d of a peer", h.Revision, before.wanted)
	case h.Revision > before.Revision:
		// Whether the store continues the history in force is known after the
		// missing changes are read.
		m.noteSeen(h.Revision)
		return nil
	}
	m.noteContact(h.Revision, err)
	return err
}

// noteSeen records an answer of the store that does not tell whether it is stale.
func (m *Manager) noteSeen(revision int64) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.store.LastContact, m.store.Revision = m.opts.Clock.Now(), revision
}

// noteContact records an answer of the store and whether its data is stale.
func (m *Manager) noteContact(revision int64, stale error) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	was := m.store.Stale
	m.store = StoreStatus{LastContact: m.opts.Clock.Now(), Revision: revision, Stale: stale != nil}
	if stale != nil {
		m.store.Detail = result.From(stale).Detail
	}
	switch {
	case !was && stale != nil:
		m.opts.Logger.Error("store holds stale configuration and is not followed", "detail", m.store.Detail)
	case was && stale == nil:
		m.opts.Logger.Info("store holds current configuration again", "revision", revision)
	}
}

// storeError returns the result for a call that had no effect.
func storeError(err error, action string) error {
	code := result.NotStored
	if errors.Is(err, store.ErrBudget) {
		code = result.StoreBudgetSpent
	}
	return result.Wrap(err, code, result.NotRun, "could not %s", action)
}
