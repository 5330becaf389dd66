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

// maxOperatorAttempts bounds the repeats of a move action after a race on the
// same move.
const maxOperatorAttempts = 5

// Operator is the service behind the operators' API. Reads are answered from
// the configuration in force on this daemon.
type Operator struct {
	manager *Manager
}

// NewOperator returns the operator service of a manager.
func NewOperator(m *Manager) *Operator { return &Operator{manager: m} }

// Applied is the outcome of Apply.
type Applied struct {
	// Revision is in force after the call.
	Revision  int64        `json:"revision"`
	Changed   []object.Ref `json:"changed"`
	Unchanged []object.Ref `json:"unchanged"`
}

// Apply writes objects. Those that equal the stored ones are left out. All are
// validated together; more than fit into one commit are written by several, in
// an order that keeps references intact, and an error then tells how many were
// stored. A closed move whose specification is applied again stays closed.
func (o *Operator) Apply(ctx context.Context, actor Actor, objects []*object.Object) (Applied, error) {
	o.sync(ctx)
	snapshot := o.manager.Current()
	applied := Applied{Revision: snapshot.Revision}
	var changes []Change
	seen := make(map[object.Ref]bool, len(objects))
	for _, put := range objects {
		change, err := applyChange(snapshot, put, seen)
		if err != nil {
			o.manager.refused(actor, []Change{{Put: put}}, err)
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
	batches, err := o.batches(snapshot, changes)
	if err != nil {
		o.manager.refused(actor, changes, err)
		return applied, err
	}
	for _, batch := range batches {
		revision, err := o.manager.Commit(ctx, actor, batch)
		if err != nil {
			return applied, partlyApplied(err, len(applied.Changed), len(changes))
		}
		applied.Revision = revision
		for _, c := range batch {
			applied.Changed = append(applied.Changed, c.Ref())
		}
	}
	return applied, nil
}

// sync reads the changes of other daemons that have not arrived yet, so that
// an action is decided on the latest state. A failure is left to the commit.
func (o *Operator) sync(ctx context.Context) {
	if _, err := o.manager.syncHead(ctx); err != nil {
		o.manager.opts.Logger.Debug("operator action is decided without the store", "error", err)
	}
}

func partlyApplied(err error, done, total int) error {
	if done == 0 {
		return err
	}
	failure := *result.From(err)
	return result.Wrap(err, failure.Code, failure.Execution,
		"%d of %d objects were stored before: %s", done, total, failure.Detail).
		WithRetryAfter(failure.RetryAfterSeconds)
}

// applyChange returns the change for an object, or nil if it is in force.
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
		return nil, expectRevision(old, put)
	}
	return &Change{Put: put}, nil
}

func expectRevision(old, put *object.Object) error {
	if put.Metadata.Revision != 0 && put.Metadata.Revision != old.Metadata.Revision {
		return conflict(put.Ref(), old.Metadata.Revision, put.Metadata.Revision)
	}
	return nil
}

// equalObjects compares everything but the revision.
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

// batches splits changes that do not fit into one commit. The whole result is
// validated first, so that only races and failures can end it half done.
func (o *Operator) batches(snapshot *Snapshot, changes []Change) ([][]Change, error) {
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

// applyOrder writes a new object after those it refers to.
var applyOrder = []object.Kind{
	object.KindService, object.KindUpstream, object.KindUpstreamSelector, object.KindVersion,
	object.KindClientAccount, object.KindRoute, object.KindMove,
}

func splitChanges(changes []Change, sizes map[object.Ref]int) [][]Change {
	var batches [][]Change
	start, size := 0, recordOverhead
	for i, c := range changes {
		if i > start && (i-start == MaxChanges || size+sizes[c.Ref()] > MaxRecordBytes) {
			batches = append(batches, changes[start:i])
			start, size = i, recordOverhead
		}
		size += sizes[c.Ref()]
	}
	return append(batches, changes[start:])
}

// recordOverhead is more than the bytes of a record, or of one of its entries,
// without the objects.
const recordOverhead = 512

// changeSizes estimates the bytes that each change takes in a change record,
// and those of the whole record.
func changeSizes(changes []Change) (map[object.Ref]int, int) {
	sizes, total := make(map[object.Ref]int, len(changes)), recordOverhead
	for _, c := range changes {
		data, err := json.Marshal(c.Put)
		if err != nil {
			continue // Commit reports the error
		}
		sizes[c.Ref()] = len(data) + recordOverhead
		total += sizes[c.Ref()]
	}
	return sizes, total
}

// Get returns an object of the configuration in force. The error has the code
// ObjectNotFound.
func (o *Operator) Get(ref object.Ref) (*object.Object, error) {
	if found := o.manager.Current().Set.Get(ref); found != nil {
		return found, nil
	}
	return nil, result.New(result.ObjectNotFound, result.NotRun, "%s does not exist", ref)
}

// List returns the objects of a kind whose labels match, in name order, and
// the configuration revision.
func (o *Operator) List(kind object.Kind, selector object.Selector) ([]*object.Object, int64, error) {
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

// Delete removes an object. A revision other than 0 must be its current one.
func (o *Operator) Delete(ctx context.Context, actor Actor, ref object.Ref, revision int64) (int64, error) {
	return o.manager.Commit(ctx, actor, []Change{{Delete: ref, Revision: revision}})
}

// MoveStatus is the configured part of a move's state; the share and the
// evidence of open moves are added by pkg/move.
type MoveStatus struct {
	Name string `json:"name"`
	// Revision is the object's revision, ConfigRevision that of the daemon.
	Revision       int64            `json:"revision"`
	ConfigRevision int64            `json:"configRevision"`
	State          object.MoveState `json:"state"`
	Generation     int64            `json:"generation"`
	Evidence       string           `json:"evidence,omitempty"`
	// Late means that the move is open although its deadline has passed.
	Late bool        `json:"late,omitempty"`
	Spec object.Move `json:"spec"`
}

// MoveStatus returns the state of a move. The error has the code MoveNotFound.
func (o *Operator) MoveStatus(name string) (MoveStatus, error) {
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
