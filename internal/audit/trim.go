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
	// trimKey holds the highest revision whose record was deleted. It tells
	// where the next trim starts without listing all records.
	trimKey = "/rudder/audit/trimmed"
	// trimBatch is the number of records that one transaction deletes, below
	// the 128 operations that etcd accepts by default.
	trimBatch = 50
	// trimPause between transactions keeps the duty at one write a second; it
	// deletes up to 50 records a second, and 47,000 changes a day make 0.5.
	trimPause = time.Second
	// trimInterval is the pause between checks. About 16 records exceed the
	// limit in the meantime.
	trimInterval = 30 * time.Second
)

// Trim is the duty that keeps the number of change records in the store at
// MaxRecords. It runs on one daemon at a time; two that overlap do no harm.
type Trim struct {
	Trail *Trail
	Clock clockwork.Clock
	// Holds tells whether this daemon holds the duty.
	Holds  func() bool
	Logger *slog.Logger
	// Keep is the number of records to keep; 0 means MaxRecords.
	Keep int64
}

// Run trims until ctx ends and returns its error.
func (t *Trim) Run(ctx context.Context) error {
	for {
		if t.Holds() {
			if _, err := t.Once(ctx); err != nil && ctx.Err() == nil {
				t.Logger.Warn("audit trail was not trimmed", "error", err)
			}
		}
		if err := t.wait(ctx, trimInterval); err != nil {
			return err
		}
	}
}

func (t *Trim) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Clock.After(d):
		return nil
	}
}

// Once deletes the records that exceed the limit, in batches, and returns how
// many revisions it has passed. It stops early when the daemon loses the duty.
func (t *Trim) Once(ctx context.Context) (int64, error) {
	keep := t.Keep
	if keep == 0 {
		keep = MaxRecords
	}
	head, err := t.Trail.head(ctx)
	if err != nil {
		return 0, err
	}
	done, mod, err := t.Trail.trimmed(ctx)
	if err != nil {
		return 0, err
	}
	var deleted int64
	for last := head - keep; done < last && t.Holds(); {
		next := min(done+trimBatch, last)
		if mod, err = t.Trail.deleteRecords(ctx, done, next, mod); err != nil {
			return deleted, err
		}
		deleted += next - done
		done = next
		if err := t.wait(ctx, trimPause); err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// trimmed returns the highest deleted revision and the store's revision of its
// key.
func (t *Trail) trimmed(ctx context.Context) (revision, mod int64, err error) {
	kv, err := t.store.Get(ctx, trimKey)
	if err != nil || kv.ModRevision == 0 {
		return 0, 0, err
	}
	revision, err = strconv.ParseInt(string(kv.Value), 10, 64)
	return revision, kv.ModRevision, errors.Wrapf(err, "decode %s", trimKey)
}

// deleteRecords deletes the records after revision "after" up to "last". A
// transaction whose reply is lost is repeated by the next run from the stored
// position.
func (t *Trail) deleteRecords(ctx context.Context, after, last, mod int64) (int64, error) {
	ops := []store.Op{{Key: trimKey, Value: []byte(strconv.FormatInt(last, 10))}}
	for revision := after + 1; revision <= last; revision++ {
		ops = append(ops, store.Op{Key: ChangeKey(revision), Delete: true})
	}
	res, err := t.store.Txn(ctx, []store.Condition{{Key: trimKey, ModRevision: mod}}, ops)
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, errors.New("another daemon trims the audit trail")
	}
	return res.Revision, nil
}
