package config

import (
	"context"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// applyMove returns the change for a move that an operator applies from a file, or
// nil if nothing changes. Only daemons set the states "done" and "taken back". A
// closed move stays closed when the same file is applied again, so that a
// repeated apply cannot send traffic to a faulty version again.
func applyMove(old, put *object.Object, m *object.Move) (*Change, error) {
	if m.State == object.MoveDone || m.State == object.MoveTakenBack {
		return applySystemState(old, put, m)
	}
	if old == nil {
		if m.State == object.MoveCancelled {
			return nil, result.New(result.MoveNotFound, result.NotRun, "%s was not started and cannot be cancelled", put.Ref())
		}
		return moveStartChange(put, m), nil
	}
	before, _ := old.Spec.(*object.Move)
	if !sameMoveSpec(before, m) {
		return nil, result.New(result.MoveConflict, result.NotRun,
			"%s is %s; apply cannot change the specification of a started move; use the start action instead", put.Ref(), before.State)
	}
	next := *before
	if m.State == object.MoveCancelled {
		next.State = object.MoveCancelled
	}
	changed := &object.Object{Kind: put.Kind, Metadata: put.Metadata, Spec: &next}
	if equalObjects(old, changed) {
		return nil, checkExpectedRevision(old, put)
	}
	return &Change{Put: changed}, nil
}

// applySystemState accepts a state that only daemons write if it is the one in
// force, as in a file with the output of a get command.
func applySystemState(old, put *object.Object, m *object.Move) (*Change, error) {
	if old != nil {
		if before, ok := old.Spec.(*object.Move); ok && before.State == m.State && sameMoveSpec(before, m) {
			changed := &object.Object{Kind: put.Kind, Metadata: put.Metadata, Spec: before}
			if equalObjects(old, changed) {
				return nil, checkExpectedRevision(old, put)
			}
			return &Change{Put: changed}, nil
		}
	}
	return nil, result.New(result.InvalidObject, result.NotRun,
		"%s: spec.state: %q is set by the daemons only", put.Ref(), m.State)
}

// moveStartChange returns the change that starts a new generation of a move.
func moveStartChange(put *object.Object, m *object.Move) *Change {
	next := *m
	next.State, next.Generation, next.Evidence = object.MoveOpen, 0, ""
	return &Change{Put: &object.Object{Kind: put.Kind, Metadata: put.Metadata, Spec: &next}}
}

// StartMove starts a move, or starts a closed move again. Its generation is the
// revision of the start. If several operators start the move at the same time,
// one succeeds and the others get MoveConflict. MoveConflict is also returned if
// the move overlaps an open move of the same service, and if the move of that
// name is already open, even with the same specification, because the ramp of the
// earlier start applies.
func (o *OperatorService) StartMove(ctx context.Context, actor Actor, put *object.Object) (MoveStatus, error) {
	m, ok := put.Spec.(*object.Move)
	if !ok {
		return MoveStatus{}, result.New(result.InvalidObject, result.NotRun, "%s: kind: must be %s", put.Ref(), object.KindMove)
	}
	if m.State != "" && m.State != object.MoveOpen {
		return MoveStatus{}, result.New(result.InvalidObject, result.NotRun, "%s: spec.state: %q cannot be started", put.Ref(), m.State)
	}
	change := *moveStartChange(put, m)
	revision, err := o.commitMove(ctx, actor, put.Metadata.Name, func(*object.Move, *object.Metadata) (*Change, error) {
		return &change, nil
	})
	if err != nil {
		return MoveStatus{}, err
	}
	return o.startedStatus(revision, change.Put)
}

// startedStatus returns the status of the move as this call started it, even if it
// has been changed since.
func (o *OperatorService) startedStatus(revision int64, put *object.Object) (MoveStatus, error) {
	started := *put.Spec.(*object.Move)
	started.Generation = revision
	meta := put.Metadata
	meta.Revision = revision
	return moveStatus(o.manager.Current(), &started, &meta, o.manager.opts.Clock.Now()), nil
}

// CancelMove cancels an open move. Cancelling a cancelled move succeeds
// without a change; a move that is done or taken back gives MoveConflict.
func (o *OperatorService) CancelMove(ctx context.Context, actor Actor, name string) (MoveStatus, error) {
	_, err := o.commitMove(ctx, actor, name, func(m *object.Move, meta *object.Metadata) (*Change, error) {
		switch {
		case m == nil:
			return nil, result.New(result.MoveNotFound, result.NotRun, "%s/%s does not exist", object.KindMove, name)
		case m.State == object.MoveCancelled:
			return nil, nil
		case !m.Open():
			return nil, result.New(result.MoveConflict, result.NotRun, "%s/%s is already %s", object.KindMove, name, m.State)
		}
		return moveStateChange(m, meta, object.MoveCancelled, ""), nil
	})
	if err != nil {
		return MoveStatus{}, err
	}
	return o.MoveStatus(name)
}

// RecordOutcome stores the outcome of a move that the daemons have decided: "done"
// or "taken back". The outcome applies to one generation; if the move has another
// generation, it returns MoveConflict. "taken back" can replace "done", but "done"
// cannot replace "taken back". Repeating an outcome succeeds without a change.
func (o *OperatorService) RecordOutcome(ctx context.Context, actor Actor, name string, generation int64, state object.MoveState, evidence string) (MoveStatus, error) {
	_, err := o.commitMove(ctx, actor, name, func(m *object.Move, meta *object.Metadata) (*Change, error) {
		switch {
		case state != object.MoveDone && state != object.MoveTakenBack:
			return nil, result.New(result.InvalidObject, result.NotRun, "%s/%s: spec.state: %q is not an outcome", object.KindMove, name, state)
		case m == nil:
			return nil, result.New(result.MoveNotFound, result.NotRun, "%s/%s does not exist", object.KindMove, name)
		case m.Generation != generation:
			return nil, result.New(result.MoveConflict, result.NotRun, "%s/%s has generation %d, not %d", object.KindMove, name, m.Generation, generation)
		case m.State == state:
			return nil, nil
		}
		return moveStateChange(m, meta, state, evidence), nil
	})
	if err != nil {
		return MoveStatus{}, err
	}
	return o.MoveStatus(name)
}

// moveStateChange returns the change that sets the state of a move.
func moveStateChange(m *object.Move, meta *object.Metadata, state object.MoveState, evidence string) *Change {
	next := *m
	next.State, next.Evidence = state, evidence
	return &Change{Put: &object.Object{Kind: object.KindMove, Metadata: *meta, Spec: &next}}
}

// commitMove commits the change that decide returns for the move in force (nil if
// there is none). If another commit has changed the move in the meantime, it calls
// decide again, so that each operator gets a result that agrees with the state
// that the other commit has left.
func (o *OperatorService) commitMove(ctx context.Context, actor Actor, name string, decide func(*object.Move, *object.Metadata) (*Change, error)) (int64, error) {
	var lastErr error
	for attempt := 0; attempt < maxMoveCommitAttempts; attempt++ {
		o.refresh(ctx)
		snapshot := o.manager.Current()
		m, meta, _ := object.Lookup[*object.Move](snapshot.Set, object.KindMove, name)
		change, err := decide(m, meta)
		if err != nil {
			o.manager.recordRefusal(actor, []Change{{Delete: object.Ref{Kind: object.KindMove, Name: name}}}, err)
			return 0, err
		}
		if change == nil {
			return snapshot.Revision, nil
		}
		revision, err := o.manager.commit(ctx, actor, []Change{*change})
		if err == nil {
			return revision, nil
		}
		lastErr = err
		if result.CodeOf(err) != result.Conflict {
			break
		}
	}
	o.manager.recordRefusal(actor, []Change{{Delete: object.Ref{Kind: object.KindMove, Name: name}}}, lastErr)
	return 0, lastErr
}
