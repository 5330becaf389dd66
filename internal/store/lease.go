package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
)

// LeaseBackend adapts a Store to the interface of pkg/lease.
type LeaseBackend struct{ Store Store }

var _ lease.Backend = LeaseBackend{}

// Grant implements lease.Backend.
func (b LeaseBackend) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	id, err := b.Store.Grant(ctx, ttl)
	return int64(id), leaseError(err)
}

// KeepAlive implements lease.Backend.
func (b LeaseBackend) KeepAlive(ctx context.Context, id int64) (time.Duration, error) {
	ttl, err := b.Store.KeepAlive(ctx, LeaseID(id))
	return ttl, leaseError(err)
}

// Revoke implements lease.Backend.
func (b LeaseBackend) Revoke(ctx context.Context, id int64) error {
	return leaseError(b.Store.Revoke(ctx, LeaseID(id)))
}

// Get implements lease.Backend.
func (b LeaseBackend) Get(ctx context.Context, key string) (lease.Entry, error) {
	kv, err := b.Store.Get(ctx, key)
	return lease.Entry{Value: kv.Value, Revision: kv.ModRevision}, leaseError(err)
}

// CompareAndSwap implements lease.Backend. The revision of a written key is the
// store revision of the transaction.
func (b LeaseBackend) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, id int64) (lease.Entry, bool, error) {
	result, err := b.Store.Txn(ctx,
		[]Condition{{Key: key, ModRevision: revision}},
		[]Op{{Key: key, Value: value, Lease: LeaseID(id)}})
	switch {
	case err != nil:
		return lease.Entry{}, false, leaseError(err)
	case result.Succeeded:
		return lease.Entry{Value: value, Revision: result.Revision}, true, nil
	case len(result.Current) == 0:
		return lease.Entry{}, false, nil
	default:
		current := result.Current[0]
		return lease.Entry{Value: current.Value, Revision: current.ModRevision}, false, nil
	}
}

// leaseError translates the errors that pkg/lease distinguishes. All other errors
// mean that the call had no effect.
func leaseError(err error) error {
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return errors.Wrap(lease.ErrOutcomeUnknown, err.Error())
	case errors.Is(err, ErrLeaseExpired):
		return errors.Wrap(lease.ErrExpired, err.Error())
	default:
		return err
	}
}
