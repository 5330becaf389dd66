// Package lease elects one daemon at a time as the holder of a duty: a task that
// only one daemon may do. The holder gets a fencing token that is higher than
// that of every earlier holder. By its own clock, it stops holding the duty before
// the store can grant the duty to another daemon.
package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that a Backend returns, possibly wrapped. Any other error means that a
// write had no effect, or that a read got no answer.
var (
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = errors.New("lease write outcome unknown")
	// ErrExpired means that the lease no longer exists.
	ErrExpired = errors.New("lease expired")
)

// Entry is the value of a duty's key in the store.
type Entry struct {
	Value    []byte
	Revision int64 // store revision of the last write; 0 if the key doesn't exist
}

// Backend is the part of the key-value store that leases need.
type Backend interface {
	// Grant creates a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (id int64, err error)
	// KeepAlive renews a lease and returns its time to live, counted from the
	// time at which the store handled the call.
	KeepAlive(ctx context.Context, id int64) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id int64) error
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision equals the given one. The
	// key is deleted when the lease ends. It returns the new entry and true, or
	// the current entry and false.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease int64) (Entry, bool, error)
}
