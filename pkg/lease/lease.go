// Package lease gives a duty to one daemon at a time. The holder gets a
// fencing token that is higher than that of every earlier holder, and stops by
// its own clock before the store can give the duty to another daemon.
package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that a Backend returns, possibly wrapped. Any other error means that
// the call had no effect or that no answer to a read arrived.
var (
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = errors.New("lease write outcome unknown")
	// ErrExpired means that the lease no longer exists.
	ErrExpired = errors.New("lease expired")
)

// Entry is the value of a duty's key.
type Entry struct {
	Value    []byte
	Revision int64 // store revision of the last write; 0 if the key doesn't exist
}

// Backend is the part of the key-value store that leases need.
type Backend interface {
	// Grant creates a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (id int64, err error)
	// KeepAlive renews a lease and returns its time to live, counted from the
	// moment at which the store handled the call.
	KeepAlive(ctx context.Context, id int64) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id int64) error
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value, bound to the lease, if the key's revision
	// equals the given one. It returns the new entry and true, or the present
	// entry and false.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease int64) (Entry, bool, error)
}
