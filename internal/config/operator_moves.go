package config

import (
	"context"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// applyMove returns the change for a move that an operator applies from a
// file, or nil if there is none. The states "done" and "taken back" belong to
// the system. A move that is closed stays closed when the same file is applied
// again, so that a repeated apply cannot bring a bad version back.
func applyMove(old, put *object.Object, m *object.Move) (*Change, error) {
	if m.State == object.MoveDone || m.State == object.MoveTakenBack {
		return applySystemState(old, put, m)
	}
	if old == nil {
		if m.State == object.MoveCancelled {
			return nil, result.New(result.MoveNotFound, result.NotRun, "%s was not started and cannot be cancelled", put.Ref())
		}
		return freshMove(put, m), nil
	}
	before, _ := old.Spec.(*object.Move)
	if !sameMove(before, m) {
		return nil, result.New(result.MoveConflict, result.NotRun,
			"%s is %s; the specification of a started move cannot change by apply, use a move start", put.Ref(), before.State)
	}
	next := *before
	if m.State == object.MoveCancelled {
		next.State = object.MoveCancelled
	}
	changed := &object.Object{Kind: put.Kind, Metadata: put.Metadata, Spec: &next}
	if equalObjects(old, changed) {
		return nil, expectRevision(old, put)
	}
	return &Change{Put: changed}, nil
}

// applySystemState accepts a state that only the system writes if it is the
// one in force, as in a file made by get.
func applySystemState(old, put *object.Object, m *object.Move) (*Change, error) {
	if old != nil {
		if before, ok := old.Spec.(*object.Move); ok && before.State == m.State && sameMove(before, m) {
			changed := &object.Object{Kind: put.Kind, Metadata: put.Metadata, Spec: before}
			if equalObjects(old, changed) {
				return nil, expectRevision(old, put)
			}
			return &Change{Put: changed}, nil
		}
	}
	return nil, result.New(result.InvalidObject, result.NotRun,
		"%s: spec.state: %q is written by the system only", put.Ref(), m.State)
}

// freshMove returns the change that starts a move.
func freshMove(put *object.Object, m *object.Move) *Change {
	next := *m
	next.State, next.Generation, next.Evidence = object.MoveOpen, 0, ""
	return &Change{Put: &object.Object{Kind: put.Kind, Metadata: put.Metadata, Spec: &next}}
}

// StartMove starts a move, also one that was closed before. Its generation is
// the revision of the start. Of racing operators one starts the move; the
// others get MoveConflict, as does the start of a move that overlaps an open
// one of the same service. A start that names the specification of the open
// move of the same name is answered with MoveConflict too, because the ramp of
// the earlier start applies.
func (o *Operator) StartMove(ctx context.Context, actor Actor, put *object.Object) (MoveStatus, error) {
	m, ok := put.Spec.(*object.Move)
	if !ok {
		return MoveStatus{}, result.New(result.InvalidObject, result.NotRun, "%s: kind: must be %s", put.Ref(), object.KindMove)
	}
	if m.State != "" && m.State != object.MoveOpen {
		return MoveStatus{}, result.New(result.InvalidObject, result.NotRun, "%s: spec.state: %q cannot be started", put.Ref(), m.State)
	}
	change := *freshMove(put, m)
	revision, err := o.commitMove(ctx, actor, put.Metadata.Name, func(*object.Move, *object.Metadata) (*Change, error) {
		return &change, nil
	})
	if err != nil {
		return MoveStatus{}, err
	}
	return o.startedStatus(revision, change.Put)
}

// startedStatus describes the move as this call has started it, even if it
// was changed again meanwhile.
func (o *Operator) startedStatus(revision int64, put *object.Object) (MoveStatus, error) {
	started := *put.Spec.(*object.Move)
	started.Generation = revision
	meta := put.Metadata
	meta.Revision = revision
	return moveStatus(o.manager.Current(), &started, &meta, o.manager.opts.Clock.Now()), nil
}

// CancelMove cancels an open move. Cancelling a cancelled move succeeds
// without a change; one that is done or taken back gives MoveConflict.
func (o *Operator) CancelMove(ctx context.Context, actor Actor, name string) (MoveStatus, error) {
	_, err := o.commitMove(ctx, actor, name, func(m *object.Move, meta *object.Metadata) (*Change, error) {
		switch {
		case m == nil:
			return nil, result.New(result.MoveNotFound, result.NotRun, "%s/%s does not exist", object.KindMove, name)
		case m.State == object.MoveCancelled:
			return nil, nil
		case !m.Open():
			return nil, result.New(result.MoveConflict, result.NotRun, "%s/%s is already %s", object.KindMove, name, m.State)
		}
		return closeMove(m, meta, object.MoveCancelled, ""), nil
	})
	if err != nil {
		return MoveStatus{}, err
	}
	return o.MoveStatus(name)
}

// RecordOutcome stores the end of a move that the system has decided: "done"
// or "taken back". The outcome belongs to one generation; one of an earlier
// generation gives MoveConflict. "taken back" replaces "done", never the other
// way round, and repeating an outcome succeeds without a change.
func (o *Operator) RecordOutcome(ctx context.Context, actor Actor, name string, generation int64, state object.MoveState, evidence string) (MoveStatus, error) {
	_, err := o.commitMove(ctx, actor, name, func(m *object.Move, meta *object.Metadata) (*Change, error) {
		switch {
		case state != object.MoveDone && state != object.MoveTakenBack:
			return nil, result.New(result.InvalidObject, result.NotRun, "%s/%s: spec.state: %q is not an outcome", object.KindMove, name, state)
		case m == nil:
			return nil, result.New(result.MoveNotFound, result.NotRun, "%s/%s does not exist", object.KindMove, name)
		case m.Generation != generation:
			return nil, result.New(result.MoveConflict, result.NotRun, "%s/%s has generation %d and not %d", object.KindMove, name, m.Generation, generation)
		case m.State == state:
			return nil, nil
		}
		return closeMove(m, meta, state, evidence), nil
	})
	if err != nil {
		return MoveStatus{}, err
	}
	return o.MoveStatus(name)
}

func closeMove(m *object.Move, meta *object.Metadata, state object.MoveState, evidence string) *Change {
	next := *m
	next.State, next.Evidence = state, evidence
	return &Change{Put: &object.Object{Kind: object.KindMove, Metadata: *meta, Spec: &next}}
}

// commitMove commits the change that decide derives from the move in force
// (nil if there is none). After a race on the move it decides again, so that
// every operator gets a result that fits the state the winner has left.
func (o *Operator) commitMove(ctx context.Context, actor Actor, name string, decide func(*object.Move, *object.Metadata) (*Change, error)) (int64, error) {
	var last error
	for attempt := 0; attempt < maxOperatorAttempts; attempt++ {
		o.sync(ctx)
		snapshot := o.manager.Current()
		m, meta, _ := object.Lookup[*object.Move](snapshot.Set, object.KindMove, name)
		change, err := decide(m, meta)
		if err != nil {
			o.manager.refused(actor, []Change{{Delete: object.Ref{Kind: object.KindMove, Name: name}}}, err)
			return 0, err
		}
		if change == nil {
			return snapshot.Revision, nil
		}
		revision, err := o.manager.commit(ctx, actor, []Change{*change})
		if err == nil {
			return revision, nil
		}
		last = err
		if result.CodeOf(err) != result.Conflict {
			break
		}
	}
	o.manager.refused(actor, []Change{{Delete: object.Ref{Kind: object.KindMove, Name: name}}}, last)
	return 0, last
}
