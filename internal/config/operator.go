package config

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// maxMoveCommitAttempts is the maximum number of attempts of an action on a move
// when other commits change the same move.
const maxMoveCommitAttempts = 5

// OperatorService implements the operator API. Reads are answered from
// the configuration in force on this daemon.
type OperatorService struct {
	manager *Manager
}

// NewOperatorService returns the operator service of a manager.
func NewOperatorService(m *Manager) *OperatorService { return &OperatorService{manager: m} }

// ApplyResult is the result of Apply.
type ApplyResult struct {
	// Revision is the revision in force after the call.
	Revision  int64        `json:"revision"`
	Changed   []object.Ref `json:"changed"`
	Unchanged []object.Ref `json:"unchanged"`
}

// Apply writes objects. Objects that equal the ones in force are not written. All
// are validated together. If they do not fit into one commit, several commits
// write them in an order that keeps references valid, and an error then states
// how many objects were stored. A closed move whose specification is applied
// again stays closed.
func (o *OperatorService) Apply(ctx context.Context, actor Actor, objects []*object.Object) (ApplyResult, error) {
	o.refresh(ctx)
	snapshot := o.manager.Current()
	applied := ApplyResult{Revision: snapshot.Revision}
	var changes []Change
	seen := make(map[object.Ref]bool, len(objects))
	for _, put := range objects {
		change, err := applyChange(snapshot, put, seen)
		if err != nil {
			o.manager.recordRefusal(actor, []Change{{Put: put}}, err)
			return applied, err
		}
		if change == nil {
			applied.Unchanged = append(applied.Unchanged, put.Ref())
			continue
		}
		changes = append(changes, *change)
	}
	if len(changes) == 0 {
		return applied, nil
	}
	batches, err := o.planBatches(snapshot, changes)
	if err != nil {
		o.manager.recordRefusal(actor, changes, err)
		return applied, err
	}
	for _, batch := range batches {
		revision, err := o.manager.Commit(ctx, actor, batch)
		if err != nil {
			return applied, partialApplyError(err, len(applied.Changed), len(changes))
		}
		applied.Revision = revision
		for _, c := range batch {
			applied.Changed = append(applied.Changed, c.Ref())
		}
	}
	return applied, nil
}

// refresh applies the changes of other daemons that have not arrived yet, so that
// an action is decided on the latest state. A failure is only logged, because the
// commit reads the store again and reports it.
func (o *OperatorService) refresh(ctx context.Context) {
	if _, err := o.manager.syncHead(ctx); err != nil {
		o.manager.opts.Logger.Debug("operator action uses the local configuration because the store could not be read", "error", err)
	}
}

// partialApplyError adds the number of objects that earlier commits have stored.
func partialApplyError(err error, done, total int) error {
	if done == 0 {
		return err
	}
	failure := *result.From(err)
	return result.Wrap(err, failure.Code, failure.Execution,
		"%d of %d objects were stored before the failure: %s", done, total, failure.Detail).
		WithRetryAfter(failure.RetryAfterSeconds)
}

// applyChange returns the change that writes an object, or nil if the object in
// force is equal.
func applyChange(snapshot *Snapshot, put *object.Object, seen map[object.Ref]bool) (*Change, error) {
	if err := put.Validate(); err != nil {
		return nil, err
	}
	if seen[put.Ref()] {
		return nil, result.New(result.InvalidObject, result.NotRun, "%s: the change set contains this object twice", put.Ref())
	}
	seen[put.Ref()] = true
	old := snapshot.Set.Get(put.Ref())
	if m, ok := put.Spec.(*object.Move); ok {
		return applyMove(old, put, m)
	}
	if old != nil && equalObjects(old, put) {
		return nil, checkExpectedRevision(old, put)
	}
	return &Change{Put: put}, nil
}

// checkExpectedRevision returns a conflict error if the writer read another
// revision of an unchanged object.
func checkExpectedRevision(old, put *object.Object) error {
	if put.Metadata.Revision != 0 && put.Metadata.Revision != old.Metadata.Revision {
		return conflictError(put.Ref(), old.Metadata.Revision, put.Metadata.Revision)
	}
	return nil
}

// equalObjects reports whether two objects are equal apart from their revision.
func equalObjects(a, b *object.Object) bool {
	encode := func(o *object.Object) []byte {
		c := *o
		c.Metadata.Revision = 0
		data, err := json.Marshal(&c)
		if err != nil {
			return nil
		}
		return data
	}
	left, right := encode(a), encode(b)
	return left != nil && bytes.Equal(left, right)
}

// planBatches splits changes that do not fit into one commit. The whole result is
// validated first, so that only concurrent changes and failures of the store can
// leave it partly stored.
func (o *OperatorService) planBatches(snapshot *Snapshot, changes []Change) ([][]Change, error) {
	sizes, total := changeSizes(changes)
	if len(changes) <= MaxChanges && total <= MaxRecordBytes {
		return [][]Change{changes}, nil
	}
	var puts []*object.Object
	var refs []object.Ref
	for _, c := range changes {
		puts, refs = append(puts, c.Put), append(refs, c.Ref())
	}
	next := snapshot.Set.With(snapshot.Revision+1, puts, nil)
	if err := next.ValidateChange(snapshot.Set, refs, o.manager.opts.Clock.Now()); err != nil {
		return nil, err
	}
	order := make(map[object.Kind]int)
	for i, kind := range applyOrder {
		order[kind] = i
	}
	sort.SliceStable(changes, func(i, j int) bool {
		return order[changes[i].Put.Kind] < order[changes[j].Put.Kind]
	})
	return splitChanges(changes, sizes), nil
}

// applyOrder is the order in which kinds are written: a new object after the
// objects that it refers to.
var applyOrder = []object.Kind{
	object.KindService, object.KindUpstream, object.KindUpstreamSelector, object.KindVersion,
	object.KindClientAccount, object.KindRoute, object.KindMove,
}

// splitChanges splits changes into batches within the limits of one commit.
func splitChanges(changes []Change, sizes map[object.Ref]int) [][]Change {
	var batches [][]Change
	start, size := 0, recordOverheadBytes
	for i, c := range changes {
		if i > start && (i-start == MaxChanges || size+sizes[c.Ref()] > MaxRecordBytes) {
			batches = append(batches, changes[start:i])
			start, size = i, recordOverheadBytes
		}
		size += sizes[c.Ref()]
	}
	return append(batches, changes[start:])
}

// recordOverheadBytes is an upper estimate of the size of a change record, or of
// one of its entries, without the objects.
const recordOverheadBytes = 512

// changeSizes estimates the size in bytes of each change in a change record and
// the size of the whole record.
func changeSizes(changes []Change) (map[object.Ref]int, int) {
	sizes, total := make(map[object.Ref]int, len(changes)), recordOverheadBytes
	for _, c := range changes {
		data, err := json.Marshal(c.Put)
		if err != nil {
			continue // Commit reports the error
		}
		sizes[c.Ref()] = len(data) + recordOverheadBytes
		total += sizes[c.Ref()]
	}
	return sizes, total
}

// Get returns an object of the configuration in force, or an error with code
// ObjectNotFound.
func (o *OperatorService) Get(ref object.Ref) (*object.Object, error) {
	if found := o.manager.Current().Set.Get(ref); found != nil {
		return found, nil
	}
	return nil, result.New(result.ObjectNotFound, result.NotRun, "%s does not exist", ref)
}

// List returns the objects of a kind whose labels match, in name order, and
// the configuration revision.
func (o *OperatorService) List(kind object.Kind, selector object.Selector) ([]*object.Object, int64, error) {
	if _, ok := object.NewSpec(kind); !ok {
		return nil, 0, result.New(result.BadRequest, result.NotRun, "kind: %q is not a known kind", kind)
	}
	snapshot := o.manager.Current()
	matched := []*object.Object{}
	for _, found := range snapshot.Set.List(kind) {
		if selector.Matches(found.Metadata.Labels) {
			matched = append(matched, found)
		}
	}
	return matched, snapshot.Revision, nil
}

// Delete deletes an object. If revision is not 0, it must be the object's current
// revision.
func (o *OperatorService) Delete(ctx context.Context, actor Actor, ref object.Ref, revision int64) (int64, error) {
	return o.manager.Commit(ctx, actor, []Change{{Delete: ref, Revision: revision}})
}

// MoveStatus is the part of a move's state that the configuration holds; pkg/move
// adds the traffic share and the evidence of open moves.
type MoveStatus struct {
	Name string `json:"name"`
	// Revision is the object's revision, ConfigRevision the configuration revision
	// in force on the daemon.
	Revision       int64            `json:"revision"`
	ConfigRevision int64            `json:"configRevision"`
	State          object.MoveState `json:"state"`
	Generation     int64            `json:"generation"`
	Evidence       string           `json:"evidence,omitempty"`
	// Late means that the move is open although its deadline has passed.
	Late bool        `json:"late,omitempty"`
	Spec object.Move `json:"spec"`
}

// MoveStatus returns the state of a move, or an error with code MoveNotFound.
func (o *OperatorService) MoveStatus(name string) (MoveStatus, error) {
	snapshot := o.manager.Current()
	m, meta, err := findMove(snapshot, name)
	if err != nil {
		return MoveStatus{}, err
	}
	return moveStatus(snapshot, m, meta, o.manager.opts.Clock.Now()), nil
}

func moveStatus(snapshot *Snapshot, m *object.Move, meta *object.Metadata, now time.Time) MoveStatus {
	return MoveStatus{
		Name: meta.Name, Revision: meta.Revision, ConfigRevision: snapshot.Revision,
		State: m.State, Generation: m.Generation, Evidence: m.Evidence,
		Late: m.Open() && now.After(m.Deadline), Spec: *m,
	}
}

func findMove(snapshot *Snapshot, name string) (*object.Move, *object.Metadata, error) {
	m, meta, ok := object.Lookup[*object.Move](snapshot.Set, object.KindMove, name)
	if !ok {
		return nil, nil, result.New(result.MoveNotFound, result.NotRun, "%s/%s does not exist", object.KindMove, name)
	}
	return m, meta, nil
}
