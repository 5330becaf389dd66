package config

import (
	"encoding/json"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Limits of one commit.
const (
	// MaxChanges keeps a transaction below the 128 operations that etcd
	// accepts by default.
	MaxChanges = 100
	// MaxRecordBytes keeps each value below 1 MB. A transaction holds the
	// objects twice, once in the change record, and stays below the 1.5 MiB
	// that etcd accepts by default.
	MaxRecordBytes = 700_000
)

// Change puts or deletes one object.
type Change struct {
	// Put is the object to write, or nil for a delete. Its Metadata.Revision is
	// the revision that the writer read; 0 means no check.
	Put *object.Object
	// Delete identifies the object to delete if Put is nil.
	Delete object.Ref
	// Revision is the revision of the object to delete that the writer read; 0
	// means no check.
	Revision int64
}

// Ref returns the identity of the changed object.
func (c Change) Ref() object.Ref {
	if c.Put != nil {
		return c.Put.Ref()
	}
	return c.Delete
}

// expectedRevision returns the revision that the writer read, or 0 for no check.
func (c Change) expectedRevision() int64 {
	if c.Put != nil {
		return c.Put.Metadata.Revision
	}
	return c.Revision
}

// preparedCommit is a set of validated changes with the transaction that stores it.
type preparedCommit struct {
	record     *audit.Record
	message    *peerv1.Change // the record as it is sent to the other daemons
	conditions []store.Condition
	ops        []store.Op
	base       *Snapshot // the configuration on top of which the changes were validated
}

// revisionOf returns the revision of an object, or 0 if it does not exist.
func revisionOf(set *object.Set, ref object.Ref) int64 {
	if o := set.Get(ref); o != nil {
		return o.Metadata.Revision
	}
	return 0
}

// checkChanges refuses change sets that are invalid whatever the configuration is.
func checkChanges(changes []Change) error {
	if len(changes) == 0 {
		return result.New(result.InvalidObject, result.NotRun, "the change set is empty")
	}
	if len(changes) > MaxChanges {
		return result.New(result.InvalidObject, result.NotRun,
			"the change set has %d objects; at most %d can be changed together", len(changes), MaxChanges)
	}
	seen := make(map[object.Ref]bool, len(changes))
	for _, c := range changes {
		if seen[c.Ref()] {
			return result.New(result.InvalidObject, result.NotRun, "%s: the change set contains this object twice", c.Ref())
		}
		seen[c.Ref()] = true
	}
	return nil
}

// expectedRevisions returns the revision that each object must have for the change
// to be accepted: the one that the writer read, or the one in force when the
// commit began if the writer gave none.
func expectedRevisions(snapshot *Snapshot, changes []Change) map[object.Ref]int64 {
	expected := make(map[object.Ref]int64, len(changes))
	for _, c := range changes {
		expected[c.Ref()] = revisionOf(snapshot.Set, c.Ref())
		if c.expectedRevision() != 0 {
			expected[c.Ref()] = c.expectedRevision()
		}
	}
	return expected
}

// prepareCommit validates changes on top of base and builds their transaction
// except for the conditions.
func (m *Manager) prepareCommit(base *Snapshot, actor Actor, changes []Change, expected map[object.Ref]int64) (*preparedCommit, error) {
	record := &audit.Record{
		Revision:      base.Revision + 1,
		ChangeID:      m.opts.NewID(),
		ParentID:      base.ChangeID,
		Time:          m.opts.Clock.Now().UTC(),
		Account:       actor.Account,
		RemoteAddress: actor.RemoteAddress,
		Daemon:        m.opts.Daemon,
		Result:        audit.ResultStored,
	}
	var puts []*object.Object
	var deletes, refs []object.Ref
	for _, c := range changes {
		entry, err := newAuditEntry(base.Set, c, expected[c.Ref()], record.Revision)
		if err != nil {
			return nil, err
		}
		if entry.Object != nil {
			puts = append(puts, entry.Object)
			record.Moves = append(record.Moves, moveOutcome(base.Set, entry.Object)...)
		} else {
			deletes = append(deletes, entry.Ref)
		}
		record.Objects, refs = append(record.Objects, entry), append(refs, entry.Ref)
	}
	next := base.Set.With(record.Revision, puts, deletes)
	if err := next.ValidateChange(base.Set, refs, m.opts.Clock.Now()); err != nil {
		return nil, err
	}
	return encodeCommit(base, record)
}

// newAuditEntry checks one change and returns its entry in the change record.
func newAuditEntry(set *object.Set, c Change, expected, revision int64) (audit.Entry, error) {
	ref := c.Ref()
	current := revisionOf(set, ref)
	entry := audit.Entry{Ref: ref, OldRevision: current}
	if current != expected {
		return entry, conflictError(ref, current, expected)
	}
	if c.Put == nil {
		if current == 0 {
			return entry, result.New(result.ObjectNotFound, result.NotRun, "%s does not exist", ref)
		}
		return entry, checkMoveDelete(set.Get(ref))
	}
	if err := c.Put.Validate(); err != nil {
		return entry, err
	}
	put := *c.Put
	put.Metadata.Revision = revision
	if err := prepareMove(set.Get(ref), &put); err != nil {
		return entry, err
	}
	entry.Object, entry.NewRevision = &put, revision
	return entry, nil
}

func conflictError(ref object.Ref, current, expected int64) error {
	if current == 0 {
		return result.New(result.Conflict, result.NotRun,
			"%s no longer exists; the change was based on its revision %d", ref, expected)
	}
	return result.New(result.Conflict, result.NotRun,
		"%s is at revision %d; the change was based on revision %d", ref, current, expected)
}

// encodeCommit encodes a change record and builds the operations that store it.
func encodeCommit(base *Snapshot, record *audit.Record) (*preparedCommit, error) {
	data, err := record.Encode()
	if err != nil {
		return nil, result.Wrap(err, result.InvalidObject, result.NotRun, "the change cannot be encoded")
	}
	if len(data) > MaxRecordBytes {
		return nil, result.New(result.InvalidObject, result.NotRun,
			"the change set has %d bytes; at most %d can be changed together", len(data), MaxRecordBytes)
	}
	p := &preparedCommit{
		record:  record,
		message: &peerv1.Change{Revision: record.Revision, ChangeId: record.ChangeID, Record: data},
		base:    base,
	}
	headValue, err := json.Marshal(head{Revision: record.Revision, ChangeID: record.ChangeID})
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	p.ops = append(p.ops,
		store.Op{Key: headKey, Value: headValue},
		store.Op{Key: audit.ChangeKey(record.Revision), Value: data})
	for _, e := range record.Objects {
		op := store.Op{Key: objectKey(e.Ref), Delete: e.Object == nil}
		if e.Object != nil {
			if op.Value, err = json.Marshal(e.Object); err != nil {
				return nil, errors.Wrapf(err, "encode %s", e.Ref)
			}
		}
		p.ops = append(p.ops, op)
	}
	return p, nil
}
