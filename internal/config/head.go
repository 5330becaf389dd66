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

// head is the value of the head key: the latest revision and the change that made
// it. Each commit replaces it, which orders the commits of all daemons.
type head struct {
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeId"`
	// modRevision is the store's revision of the key, 0 if it does not exist.
	modRevision int64
}

func decodeHead(kv store.KeyValue) (head, error) {
	h := head{modRevision: kv.ModRevision}
	if kv.ModRevision == 0 {
		return h, nil
	}
	return h, errors.Wrapf(json.Unmarshal(kv.Value, &h), "decode %s", headKey)
}

// localState is the state of this daemon before it read from the store. The reply
// is compared with it and not with the state afterwards, because newer changes
// may come into force during the read.
type localState struct {
	*Snapshot
	wantedRevision int64 // highest revision that is known to exist, or 0
}

func (m *Manager) localState() localState {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return localState{m.Current(), m.wantedRevision}
}

// readHead reads the head and checks it against the state of this daemon.
func (m *Manager) readHead(ctx context.Context) (head, error) {
	before := m.localState()
	kv, err := m.opts.Store.Get(ctx, headKey)
	if err != nil {
		return head{}, storeError(err, "read the head")
	}
	h, err := decodeHead(kv)
	if err != nil {
		return head{}, result.Wrap(err, result.Internal, result.NotRun, "the store's head cannot be decoded")
	}
	return h, m.checkHead(h, before)
}

// checkHead records a reply of the store. It returns an error with code
// StaleRevision if the head is older than the configuration in force on this
// daemon or on a peer, or if another change made the same revision.
func (m *Manager) checkHead(h head, before localState) error {
	var err error
	switch {
	case h.Revision < before.Revision:
		err = result.New(result.StaleRevision, result.NotRun,
			"the store's head is at revision %d, behind revision %d in force", h.Revision, before.Revision)
	case h.Revision == before.Revision && h.ChangeID != before.ChangeID:
		err = result.New(result.StaleRevision, result.NotRun,
			"the store's revision %d was made by change %q, and the one in force by change %q",
			h.Revision, h.ChangeID, before.ChangeID)
	case h.Revision < before.wantedRevision:
		err = result.New(result.StaleRevision, result.NotRun,
			"the store's head is at revision %d, behind revision %d of a peer", h.Revision, before.wantedRevision)
	case h.Revision > before.Revision:
		// Whether the store's history contains the change in force is only known
		// once the missing changes have been read.
		m.recordUnverifiedContact(h.Revision)
		return nil
	}
	m.recordContact(h.Revision, err)
	return err
}

// recordUnverifiedContact records a reply of the store that does not show whether
// its data is stale.
func (m *Manager) recordUnverifiedContact(revision int64) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	m.store.LastContact, m.store.Revision = m.opts.Clock.Now(), revision
}

// recordContact records a reply of the store and whether its data is stale.
func (m *Manager) recordContact(revision int64, stale error) {
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	wasStale := m.store.Stale
	m.store = StoreStatus{LastContact: m.opts.Clock.Now(), Revision: revision, Stale: stale != nil}
	if stale != nil {
		m.store.Detail = result.From(stale).Detail
	}
	switch {
	case !wasStale && stale != nil:
		m.opts.Logger.Error("store holds stale configuration, which is not applied", "detail", m.store.Detail)
	case wasStale && stale == nil:
		m.opts.Logger.Info("store holds current configuration again", "revision", revision)
	}
}

// storeError returns the error for a call of the store that had no effect.
func storeError(err error, action string) error {
	code := result.NotStored
	if errors.Is(err, store.ErrBudget) {
		code = result.StoreBudgetSpent
	}
	return result.Wrap(err, code, result.NotRun, "could not %s", action)
}
