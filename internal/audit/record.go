// Package audit defines the change records of the configuration. A commit writes a
// record together with the objects that it changes. The records in the store form
// the audit trail, which this package lists and trims. Refused changes are only
// kept in memory.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Keys of change records.
const (
	// ChangePrefix is the prefix of the keys of change records.
	ChangePrefix = "/rudder/changes/"
	// revisionDigits is the width to which revisions are padded with zeros, so
	// that keys sort in the order of revisions.
	revisionDigits = 20
)

// ChangeKey returns the key of the change record of a revision.
func ChangeKey(revision int64) string {
	return fmt.Sprintf("%s%0*d", ChangePrefix, revisionDigits, revision)
}

// Results of recorded changes.
const (
	ResultStored  = "stored"
	ResultRefused = "refused"
)

// Record describes one configuration change. The transaction that stores the change
// also writes its record, so that one never exists without the other.
type Record struct {
	// Revision is the configuration revision that the change made.
	Revision int64 `json:"revision"`
	// ChangeID is unique for each commit. If the store's reply to a commit is
	// lost, it shows whether the stored record is that of the commit.
	ChangeID string `json:"changeId"`
	// ParentID is the change ID of the preceding revision.
	ParentID string `json:"parentId,omitempty"`
	// Time is the time of the change by the clock of the daemon that accepted it.
	Time time.Time `json:"time"`
	// Account is the name of the client account or, if a daemon made the change by
	// itself, of the duty.
	Account string `json:"account"`
	// RemoteAddress is ip:port of the client, empty if a daemon made the change by
	// itself.
	RemoteAddress string `json:"remoteAddress,omitempty"`
	// Daemon is the name of the daemon that accepted the change.
	Daemon string `json:"daemon,omitempty"`
	// Result is ResultStored for records in the store.
	Result  string        `json:"result"`
	Objects []Entry       `json:"objects"`
	Moves   []MoveOutcome `json:"moves,omitempty"`
}

// Entry describes the change of one object in a Record.
type Entry struct {
	object.Ref
	// OldRevision is the object's revision before the change; 0 means that it
	// did not exist.
	OldRevision int64 `json:"oldRevision,omitempty"`
	// NewRevision is 0 if the object was deleted.
	NewRevision int64 `json:"newRevision,omitempty"`
	// Object is nil if the object was deleted.
	Object *object.Object `json:"object,omitempty"`
}

// MoveOutcome is the final state of a move and the evidence for it.
type MoveOutcome struct {
	Move       string           `json:"move"`
	Generation int64            `json:"generation"`
	State      object.MoveState `json:"state"`
	Evidence   string           `json:"evidence,omitempty"`
}

// Encode returns the record as JSON, the format in which it is stored.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "encode change record %d", r.Revision)
}

// DecodeRecord decodes a stored record and checks that its entries agree with their
// objects.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "decode change record")
	}
	for _, e := range r.Objects {
		if e.Object != nil && e.Object.Ref() != e.Ref {
			return nil, errors.Errorf("change record %d: entry %s contains object %s", r.Revision, e.Ref, e.Object.Ref())
		}
	}
	return r, nil
}
