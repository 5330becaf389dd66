// Package audit defines the change records that a commit writes with the
// objects it changes, lists and trims them in the store, and keeps refused
// changes in memory.
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
	// revisionDigits keeps the key order equal to the revision order.
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

// Record is one configuration change. It is written in the transaction that
// stores the change, so that a change and its record exist together.
type Record struct {
	// Revision is the configuration revision that the change made.
	Revision int64 `json:"revision"`
	// ChangeID is unique for each commit and settles lost replies.
	ChangeID string `json:"changeId"`
	// ParentID is the change ID of the revision before.
	ParentID string `json:"parentId,omitempty"`
	// Time is the clock of the daemon that accepted the change.
	Time time.Time `json:"time"`
	// Account is the client account or, for the system, the daemon's name.
	Account string `json:"account"`
	// RemoteAddress is ip:port of the client.
	RemoteAddress string `json:"remoteAddress,omitempty"`
	// Daemon is the name of the daemon that accepted the change.
	Daemon string `json:"daemon,omitempty"`
	// Result is ResultStored for records in the store.
	Result  string        `json:"result"`
	Objects []Entry       `json:"objects"`
	Moves   []MoveOutcome `json:"moves,omitempty"`
}

// Entry is the change of one object.
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

// MoveOutcome is the end of a move with its evidence.
type MoveOutcome struct {
	Move       string           `json:"move"`
	Generation int64            `json:"generation"`
	State      object.MoveState `json:"state"`
	Evidence   string           `json:"evidence,omitempty"`
}

// Encode returns the stored form of the record.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "encode change record %d", r.Revision)
}

// DecodeRecord reads the stored form of a record.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "decode change record")
	}
	for _, e := range r.Objects {
		if e.Object != nil && e.Object.Ref() != e.Ref {
			return nil, errors.Errorf("change record %d: entry %s holds object %s", r.Revision, e.Ref, e.Object.Ref())
		}
	}
	return r, nil
}
