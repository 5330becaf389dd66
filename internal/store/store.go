// Package store defines the interface to the platform's key-value service.
// Adapters live in subpackages, one for each wire protocol; code outside an
// adapter doesn't depend on the protocol.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by every adapter, possibly wrapped.
var (
	// ErrUnavailable means that the call failed before it could take effect
	// or, for reads, that no answer arrived.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write was sent and no reply arrived, so
	// that it may have taken effect.
	ErrOutcomeUnknown = errors.New("store write outcome unknown")
	// ErrBudget means that the call would have exceeded this daemon's rate limit
	// (see Budget) and was not sent.
	ErrBudget = errors.New("store call budget exhausted")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("store lease expired")
	// ErrCompacted means that the store can't report the changes after the watch's
	// revision. List the keys again and watch from the revision of the list.
	ErrCompacted = errors.New("store revision compacted")
	// ErrRestored means that the call refers to revisions from before a restore of the
	// store from an older copy. It had no effect.
	ErrRestored = errors.New("store restored from an older copy")
)

// KeyValue is one stored entry.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64 // 0 means that the key does not exist
	Lease          LeaseID
}

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Condition requires that a key's ModRevision equals the given one. A revision
// of 0 requires that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Op is a put, or a delete if Delete is set.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	Succeeded bool
	Revision  int64 // store revision at which the transaction was evaluated
	// Current holds the entries of the condition keys if it did not succeed,
	// in the order of the conditions; absent keys have ModRevision 0.
	Current []KeyValue
}

// Event is a change of a key that a watch reports.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch holds the events of one store revision, or the error that ended the
// watch.
type WatchBatch struct {
	Revision int64
	Events   []Event
	Err      error
}

// Store is a client of the key-value service. Every method respects the context's
// deadline; adapters apply a default time-out if there is none.
type Store interface {
	// Get returns the entry; a missing key has ModRevision 0 and no error.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all entries whose key starts with prefix, in key order, and
	// the store revision of the listing.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Txn applies ops if all conditions hold.
	Txn(ctx context.Context, conditions []Condition, ops []Op) (TxnResult, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its remaining time to live.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch reports changes of keys that start with prefix after the given store
	// revision. The channel closes after a batch with Err set or when ctx ends.
	Watch(ctx context.Context, prefix string, afterRevision int64) <-chan WatchBatch
	// Close releases connections.
	Close() error
}
