package config

import (
	"bytes"
	"encoding/json"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// prepareMove checks the state transition of a move and sets the generation when
// the move is started. A put in state "open" with generation 0 starts the move,
// even if an earlier generation is closed; a put with the current generation
// changes the state within that generation. put is a copy of the object to
// write; its specification is replaced, not modified.
func prepareMove(old, put *object.Object) error {
	m, ok := put.Spec.(*object.Move)
	if !ok {
		return nil
	}
	next := *m
	if next.State == "" {
		next.State = object.MoveOpen
	}
	put.Spec = &next
	var before *object.Move
	if old != nil {
		before, _ = old.Spec.(*object.Move)
	}
	if next.State == object.MoveOpen && next.Generation == 0 {
		return startMove(put, before, &next)
	}
	return continueMove(put, before, &next)
}

// startMove sets the generation of a move that is started. An open move must be
// cancelled first.
func startMove(put *object.Object, before, next *object.Move) error {
	if before != nil && before.Open() {
		return result.New(result.MoveConflict, result.NotRun,
			"%s is open since revision %d; cancel it before starting it again", put.Ref(), before.Generation)
	}
	next.Generation, next.Evidence = put.Metadata.Revision, ""
	return nil
}

// moveTransitions lists the states that may follow a state within one
// generation. A move that was taken back (rolled back) can only be started again.
var moveTransitions = map[object.MoveState][]object.MoveState{
	object.MoveOpen: {object.MoveOpen, object.MoveCancelled, object.MoveDone, object.MoveTakenBack},
	// A version can prove faulty after its move is complete.
	object.MoveDone:      {object.MoveDone, object.MoveTakenBack},
	object.MoveCancelled: {object.MoveCancelled},
	object.MoveTakenBack: {object.MoveTakenBack},
}

// continueMove checks a change within the current generation of a move.
func continueMove(put *object.Object, before, next *object.Move) error {
	if before == nil {
		return result.New(result.MoveNotFound, result.NotRun, "%s was not started", put.Ref())
	}
	if next.Generation != before.Generation {
		return result.New(result.MoveConflict, result.NotRun,
			"%s has generation %d, not %d", put.Ref(), before.Generation, next.Generation)
	}
	allowed := false
	for _, state := range moveTransitions[before.State] {
		allowed = allowed || state == next.State
	}
	if !allowed {
		return result.New(result.MoveConflict, result.NotRun,
			"%s is %s and cannot become %s; start it again instead", put.Ref(), before.State, next.State)
	}
	if !sameMoveSpec(before, next) {
		return result.New(result.MoveConflict, result.NotRun,
			"%s: the specification of a started move cannot change; cancel it and start it again", put.Ref())
	}
	return nil
}

// checkMoveDelete refuses to delete an open move, because its share of the traffic
// would change at once and no cancellation would be recorded.
func checkMoveDelete(old *object.Object) error {
	if m, ok := old.Spec.(*object.Move); ok && m.Open() {
		return result.New(result.MoveConflict, result.NotRun, "%s is open; cancel it before deleting it", old.Ref())
	}
	return nil
}

// sameMoveSpec reports whether two moves agree in everything that the operator
// specifies, that is, without state, evidence and generation.
func sameMoveSpec(a, b *object.Move) bool {
	strip := func(m *object.Move) []byte {
		c := *m
		c.State, c.Evidence, c.Generation = "", "", 0
		c.Start, c.Deadline = c.Start.UTC(), c.Deadline.UTC()
		data, err := json.Marshal(&c)
		if err != nil {
			return nil
		}
		return data
	}
	left, right := strip(a), strip(b)
	return left != nil && bytes.Equal(left, right)
}

// moveOutcome returns the outcome to record if a change sets the state of a move
// to "done" or "taken back".
func moveOutcome(set *object.Set, put *object.Object) []audit.MoveOutcome {
	m, ok := put.Spec.(*object.Move)
	if !ok || (m.State != object.MoveDone && m.State != object.MoveTakenBack) {
		return nil
	}
	if before, _, ok := object.Lookup[*object.Move](set, object.KindMove, put.Metadata.Name); ok && before.State == m.State {
		return nil
	}
	return []audit.MoveOutcome{{Move: put.Metadata.Name, Generation: m.Generation, State: m.State, Evidence: m.Evidence}}
}
