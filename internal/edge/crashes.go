package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/coordination"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

const (
	// crashesKey is the store key of the parts of prompts that crash instances, as far as
	// the coordinator knows. All daemons mirror it, so that they still know after all of
	// them have lost power.
	crashesKey = ownPrefix + "crashes"
	// crashRecordInterval is the time between two checks whether the record has changed.
	crashRecordInterval = 500 * time.Millisecond
	// crashRecordTimeout bounds a write of the record.
	crashRecordTimeout = 800 * time.Millisecond
	// crashRecordCheckTime is the time after a restore of the store within which the duty has
	// a holder and the mirrors have what the store has.
	crashRecordCheckTime = 10 * time.Second
	// minRecordedCrashes is the number of crashes from which on a part is recorded. Most
	// parts that were there at one crash have not caused it.
	minRecordedCrashes = 2
	// maxCrashRecordBytes leaves room below maxFleetValueBytes.
	maxCrashRecordBytes = maxFleetValueBytes - 512
)

// keepCrashes writes the record of crashes while this daemon is the coordinator.
func (d *Daemon) keepCrashes(ctx context.Context) error {
	var written uint64 // digest of the guard at the last write
	var generation int64
	var checkUntil time.Duration
	return duty.Every(ctx, crashRecordInterval, func(ctx context.Context) {
		now, digest := bootclock.Now(), d.crashGuard.Digest()
		if current := store.CurrentGeneration(d.platform.Store); current != generation {
			generation, checkUntil = current, now+crashRecordCheckTime
		}
		if !d.holder.Valid() || digest == written && now > checkUntil {
			return
		}
		if err := d.writeCrashes(ctx); err != nil {
			d.log.Warn("crash record not written", "error", err)
			return
		}
		written = digest
	})
}

// writeCrashes writes the record of crashes, unless the store holds an equal one. It needs
// no condition: where two coordinators overlap, each adds what the other has written.
func (d *Daemon) writeCrashes(ctx context.Context) error {
	state, _ := d.crashGuard.Export()
	state = recordedParts(state)
	current, exists := d.state.fleet.Get(crashesKey)
	if len(state) == 0 && !exists {
		return nil
	}
	if stored, err := decodeCrashRecord(current.Value); exists && err == nil && sameCrashes(stored.Parts, state) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, crashRecordTimeout)
	defer cancel()
	op := store.Op{Key: crashesKey, Delete: len(state) == 0}
	if !op.Delete {
		value, err := d.encodeCrashRecord(state)
		if err != nil {
			return err
		}
		op.Value = value
	}
	_, err := d.platform.Store.Txn(ctx, nil, []store.Op{op})
	return err
}

// recordedParts returns the parts to record, the most dangerous first, with the crashes
// that they may have caused.
func recordedParts(state crashguard.State) crashguard.State {
	var recorded crashguard.State
	for _, p := range state {
		p.Crashes = slices.DeleteFunc(p.Crashes, func(c crashguard.CrashState) bool { return c.Cleared })
		if len(p.Crashes) >= minRecordedCrashes {
			slices.SortFunc(p.Crashes, func(a, b crashguard.CrashState) int { return cmp.Compare(a.ID, b.ID) })
			recorded = append(recorded, p)
		}
	}
	slices.SortFunc(recorded, func(a, b crashguard.PartState) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Part, b.Part))
	})
	return recorded
}

// encodeCrashRecord encodes as many of the parts as fit into an entry.
func (d *Daemon) encodeCrashRecord(state crashguard.State) ([]byte, error) {
	record := &coordinatorv1.PromptCrashes{Parts: coordination.EncodeCrashes(state), WrittenUnixMs: d.civil.Now().UnixMilli()}
	for proto.Size(record) > maxCrashRecordBytes {
		record.Parts = record.Parts[:len(record.Parts)-1]
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	return value, errors.Wrap(err, "encode crash record")
}

func decodeCrashRecord(value []byte) (*coordinatorv1.PromptCrashes, error) {
	record := &coordinatorv1.PromptCrashes{}
	return record, errors.Wrap(proto.Unmarshal(value, record), "decode crash record")
}

// sameCrashes reports whether the stored parts are the first of state, with the same
// crashes.
func sameCrashes(stored []*coordinatorv1.SuspectPart, state crashguard.State) bool {
	if len(stored) != len(state) {
		return false
	}
	return slices.EqualFunc(stored, state, func(a *coordinatorv1.SuspectPart, b crashguard.PartState) bool {
		return a.Part == b.Part && slices.EqualFunc(a.Crashes, b.Crashes, func(x *coordinatorv1.PartCrash, y crashguard.CrashState) bool {
			return x.Id == y.ID && slices.Equal(x.Accounts, y.Accounts)
		})
	})
}

// applyCrashRecord adds the record of crashes to what this daemon knows.
func (d *Daemon) applyCrashRecord(c mirror.Change) {
	if c.Deleted {
		return
	}
	record, err := decodeCrashRecord(c.Value)
	if err != nil {
		d.log.Warn("crash record ignored", "revision", c.ModRevision, "error", err)
		return
	}
	age := max(d.civil.Now().Sub(time.UnixMilli(record.WrittenUnixMs)), 0)
	d.crashGuard.Merge(coordination.DecodeCrashes(record.Parts, age))
}

// logQuarantine logs that requests with a part of a prompt are refused from now on, or no
// longer.
func (d *Daemon) logQuarantine(part string, quarantined bool, crashes int, accounts []string) {
	if !quarantined {
		d.log.Info("prompt part released", "part", part)
		return
	}
	d.log.Warn("prompt part quarantined", "part", part, "crashes", crashes, "accounts", accounts)
}
