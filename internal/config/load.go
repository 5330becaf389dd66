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

// maxCatchUpReads is the maximum number of change records that are read one by
// one. A daemon that lacks more lists the whole configuration with one call.
const maxCatchUpReads = 32

// LoadStore reads the whole configuration from the store and puts it in force
// if it is newer. It returns an error with code StaleRevision if the store's
// configuration is older than the one in force, and NotStored or StoreBudgetSpent
// if the read fails.
func (m *Manager) LoadStore(ctx context.Context) error {
	before := m.localState()
	kvs, _, err := m.opts.Store.List(ctx, configPrefix)
	if err != nil {
		return storeError(err, "list the configuration")
	}
	h, objects, modRevisions, err := decodeConfig(kvs)
	if err != nil {
		return result.Wrap(err, result.Internal, result.NotRun, "the stored configuration cannot be decoded")
	}
	if err := m.checkHead(h, before); err != nil {
		return err
	}
	if h.Revision > m.Current().Revision {
		m.applySnapshot(m.loadedSnapshot(h, objects))
	}
	m.stateMu.Lock()
	defer m.stateMu.Unlock()
	for ref, cached := range modRevisions {
		m.modRevisions[ref] = cached
	}
	return nil
}

// decodeConfig decodes the head and the objects and returns the store's revision of
// each object's key.
func decodeConfig(kvs []store.KeyValue) (head, []*object.Object, map[object.Ref]cachedModRevision, error) {
	var h head
	var objects []*object.Object
	modRevisions := make(map[object.Ref]cachedModRevision)
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
			modRevisions[o.Ref()] = cachedModRevision{o.Metadata.Revision, kv.ModRevision}
		}
	}
	for _, o := range objects {
		if o.Metadata.Revision > h.Revision {
			return h, nil, nil, errors.Errorf("%s is at revision %d, but the head at revision %d",
				o.Ref(), o.Metadata.Revision, h.Revision)
		}
	}
	return h, objects, modRevisions, nil
}

// loadedSnapshot builds a snapshot of objects that were loaded from the store or a
// peer. If they are invalid, this is logged and not refused, because another
// daemon has accepted them.
func (m *Manager) loadedSnapshot(h head, objects []*object.Object) *Snapshot {
	set := object.NewSet(h.Revision, objects...)
	if err := set.Validate(); err != nil {
		m.opts.Logger.Warn("loaded configuration is invalid and is applied anyway", "revision", h.Revision, "error", err)
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
		return result.Wrap(err, result.Internal, result.NotRun, "%s cannot be decoded", kv.Key)
	}
	if audit.ChangeKey(record.Revision) != kv.Key {
		return result.New(result.Internal, result.NotRun, "%s holds the record of revision %d", kv.Key, record.Revision)
	}
	message := &peerv1.Change{Revision: record.Revision, ChangeId: record.ChangeID, Record: kv.Value}
	err = m.apply(record, message)
	if err == nil {
		err = m.checkSameChange(record)
	}
	if err != nil {
		m.recordContact(record.Revision, err)
	}
	return err
}

// checkSameChange returns an error if the log of applied changes holds another
// change of the record's revision.
func (m *Manager) checkSameChange(record *audit.Record) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if applied := m.changeLog.changeID(record.Revision); applied != "" && applied != record.ChangeID {
		return result.New(result.StaleRevision, result.NotRun,
			"the store's revision %d was made by change %q, and the one in force by change %q",
			record.Revision, record.ChangeID, applied)
	}
	return nil
}
