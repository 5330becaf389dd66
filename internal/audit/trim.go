package audit

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// trimPositionKey holds the trim position: the highest revision whose record
	// was deleted. The next trim starts there without listing all records.
	trimPositionKey = "/rudder/audit/trimmed"
	// trimBatchRecords is the maximum number of records that one transaction
	// deletes, below the 128 operations that etcd accepts by default.
	trimBatchRecords = 50
	// trimBatchInterval is the wait between transactions. It limits the duty to one
	// write per second, which deletes up to 50 records; 47,000 changes a day add
	// about 0.5 records per second.
	trimBatchInterval = time.Second
	// trimInterval is the wait between runs. About 16 records are added in this
	// time.
	trimInterval = 30 * time.Second
)

// Trimmer is the duty that limits the number of change records in the store to
// MaxRecords. It runs on one daemon at a time. Two daemons that run it at once do no
// harm, because each transaction requires an unchanged trim position.
type Trimmer struct {
	Trail *Trail
	Clock clockwork.Clock
	// HoldsDuty reports whether this daemon holds the duty.
	HoldsDuty func() bool
	Logger    *slog.Logger
	// Keep is the number of records to keep; 0 means MaxRecords.
	Keep int64
}

// Run trims the audit trail at regular intervals until ctx ends, and returns the
// error of ctx.
func (t *Trimmer) Run(ctx context.Context) error {
	for {
		if t.HoldsDuty() {
			if _, err := t.RunOnce(ctx); err != nil && ctx.Err() == nil {
				t.Logger.Warn("audit trail was not trimmed; the next run tries again", "error", err)
			}
		}
		if err := t.wait(ctx, trimInterval); err != nil {
			return err
		}
	}
}

func (t *Trimmer) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Clock.After(d):
		return nil
	}
}

// RunOnce deletes the oldest records above the limit, in batches, and returns the
// number of revisions by which the trim position advanced. It stops early when the
// daemon loses the duty.
func (t *Trimmer) RunOnce(ctx context.Context) (int64, error) {
	keep := t.Keep
	if keep == 0 {
		keep = MaxRecords
	}
	head, err := t.Trail.headRevision(ctx)
	if err != nil {
		return 0, err
	}
	trimmed, modRevision, err := t.Trail.trimPosition(ctx)
	if err != nil {
		return 0, err
	}
	var deleted int64
	for last := head - keep; trimmed < last && t.HoldsDuty(); {
		next := min(trimmed+trimBatchRecords, last)
		if modRevision, err = t.Trail.deleteRecords(ctx, trimmed, next, modRevision); err != nil {
			return deleted, err
		}
		deleted += next - trimmed
		trimmed = next
		if err := t.wait(ctx, trimBatchInterval); err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// trimPosition returns the highest revision whose record was deleted, and the
// store's revision of trimPositionKey.
func (t *Trail) trimPosition(ctx context.Context) (revision, modRevision int64, err error) {
	kv, err := t.store.Get(ctx, trimPositionKey)
	if err != nil || kv.ModRevision == 0 {
		return 0, 0, err
	}
	revision, err = strconv.ParseInt(string(kv.Value), 10, 64)
	return revision, kv.ModRevision, errors.Wrapf(err, "decode %s", trimPositionKey)
}

// deleteRecords deletes the records of the revisions after "after" up to and
// including "last", and returns the new store revision of trimPositionKey. If the
// reply is lost, the next run continues from the stored trim position.
func (t *Trail) deleteRecords(ctx context.Context, after, last, modRevision int64) (int64, error) {
	ops := []store.Op{{Key: trimPositionKey, Value: []byte(strconv.FormatInt(last, 10))}}
	for revision := after + 1; revision <= last; revision++ {
		ops = append(ops, store.Op{Key: ChangeKey(revision), Delete: true})
	}
	res, err := t.store.Txn(ctx, []store.Condition{{Key: trimPositionKey, ModRevision: modRevision}}, ops)
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, errors.New("trim position changed: another daemon is trimming the audit trail")
	}
	return res.Revision, nil
}
