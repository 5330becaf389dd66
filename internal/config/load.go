package config

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// maxCatchUpReads is the number of change records that are read one by one; a
// daemon that lags more lists the whole configuration with one call.
const maxCatchUpReads = 32

// LoadStore reads the whole configuration from the store and puts it in force
// if it is newer. It returns an error with code StaleRevision if the store is
// behind the configuration in force, and NotStored or StoreBudgetSpent if it
// does not answer.
func (m *Manager) LoadStore(ctx context.Context) error {
	before := m.known()
	kvs, _, err := m.opts.Store.List(ctx, configPrefix)
	if err != nil {
		return storeError(err, "list the configuration")
	}
	h, objects, mods, err := decodeConfig(kvs)
	if err != nil {
		return result.Wrap(err, result.Internal, result.NotRun, "the stored configuration is unreadable")
	}
	if err := m.checkHead(h, before); err != nil {
		return err
	}
	if h.Revision > m.Current().Revision {
		m.applySnapshot(m.loadedSnapshot(h, objects))
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	for ref, known := range mods {
		m.mods[ref] = known
	}
	return nil
}

func decodeConfig(kvs []store.KeyValue) (head, []*object.Object, map[object.Ref]knownMod, error) {
	var h head
	var objects []*object.Object
	mods := make(map[object.Ref]knownMod)
	for _, kv := range kvs {
		switch {
		case kv.Key == headKey:
			var err error
			if h, err = decodeHead(kv); err != nil {
				return h, nil, nil, err
			}
		case strings.HasPrefix(kv.Key, objectPrefix):
			o := &object.Object{}
			if err := json.Unmarshal(kv.Value, o); err != nil {
				return h, nil, nil, errors.Wrap(err, kv.Key)
			}
			if objectKey(o.Ref()) != kv.Key {
				return h, nil, nil, errors.Errorf("%s holds %s", kv.Key, o.Ref())
			}
			objects = append(objects, o)
			mods[o.Ref()] = knownMod{o.Metadata.Revision, kv.ModRevision}
		}
	}
	for _, o := range objects {
		if o.Metadata.Revision > h.Revision {
			return h, nil, nil, errors.Errorf("%s is at revision %d, but the head at revision %d",
				o.Ref(), o.Metadata.Revision, h.Revision)
		}
	}
	return h, objects, mods, nil
}

// loadedSnapshot builds a snapshot of stored objects. Invalid objects are
// reported and not refused, because another daemon has accepted them.
func (m *Manager) loadedSnapshot(h head, objects []*object.Object) *Snapshot {
	set := object.NewSet(h.Revision, objects...)
	if err := set.Validate(); err != nil {
		m.opts.Logger.Warn("loaded configuration is invalid", "revision", h.Revision, "error", err)
	}
	return NewSnapshot(set, h.ChangeID)
}

// catchUp reads the changes between the configuration in force and head h
// from the store.
func (m *Manager) catchUp(ctx context.Context, h head) error {
	if h.Revision-m.Current().Revision > maxCatchUpReads {
		return m.LoadStore(ctx)
	}
	for next := m.Current().Revision + 1; next <= h.Revision; next = m.Current().Revision + 1 {
		kv, err := m.opts.Store.Get(ctx, audit.ChangeKey(next))
		if err != nil {
			return storeError(err, "read the changes of other daemons")
		}
		if kv.ModRevision == 0 {
			return m.LoadStore(ctx) // the record was trimmed
		}
		if err := m.applyStored(kv); err != nil {
			return err
		}
		if m.Current().Revision < next {
			return result.New(result.StaleRevision, result.NotRun, "the stored record of revision %d cannot be applied", next)
		}
	}
	return nil
}

// applyStored applies a change record from the store.
func (m *Manager) applyStored(kv store.KeyValue) error {
	record, err := audit.DecodeRecord(kv.Value)
	if err != nil {
		return result.Wrap(err, result.Internal, result.NotRun, "%s is unreadable", kv.Key)
	}
	if audit.ChangeKey(record.Revision) != kv.Key {
		return result.New(result.Internal, result.NotRun, "%s holds the record of revision %d", kv.Key, record.Revision)
	}
	raw := &peerv1.Change{Revision: record.Revision, ChangeId: record.ChangeID, Record: kv.Value}
	err = m.apply(record, raw)
	if err == nil {
		err = m.checkApplied(record)
	}
	if err != nil {
		m.noteContact(record.Revision, err)
	}
	return err
}

// checkApplied refuses a record of a revision that another change has made.
func (m *Manager) checkApplied(record *audit.Record) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if known := m.log.changeID(record.Revision); known != "" && known != record.ChangeID {
		return result.New(result.StaleRevision, result.NotRun,
			"the store's revision %d was made by change %q, and the one in force by change %q",
			record.Revision, record.ChangeID, known)
	}
	return nil
}
