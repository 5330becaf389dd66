package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// minEqualSteps is the number of equal steps between the IDs of a stream after which a larger
// step to another instance's first event shows that events are missing.
const minEqualSteps = 2

var errEventOrder = errors.New("the events do not continue the stream")

// eventOrder follows the IDs of the events of a stream over all its attempts. IDs increase.
// Only integers of 64 bits are compared, and only with the ID before.
type eventOrder struct {
	known   bool // the last ID is an integer
	last    int64
	resumed bool // the next event is the first one of an attempt

	// step is the first step between two IDs of one instance, and equal the number of steps
	// of that size. uneven reports that there were others.
	step   uint64
	equal  int
	uneven bool
}

// newStreamState returns the state before the first attempt.
func (q *request) newStreamState() *streamState {
	state := &streamState{lastID: q.info.LastEvent}
	if q.route.Resumable {
		state.order.accept(q.info.LastEvent)
	}
	return state
}

// resume announces the first event of an attempt.
func (o *eventOrder) resume() { o.resumed = true }

// follow returns the length of those events, at the start of complete ones, that continue
// the stream, and takes their IDs as forwarded.
func (o *eventOrder) follow(events []byte) int {
	followed, end := 0, 0
	id := ""
	for line := range bytes.SplitAfterSeq(events, []byte("\n")) {
		end += len(line)
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if id != "" && !o.accept(id) {
			return followed
		}
		followed, id = end, ""
	}
	return followed
}

// accept reports whether an event with the ID continues the stream, and remembers the ID if so.
func (o *eventOrder) accept(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		o.known = false
		return true
	}
	if o.known {
		if number <= o.last {
			return false
		}
		step := uint64(number) - uint64(o.last) // up to 1<<64 - 1
		if o.resumed && !o.uneven && o.equal >= minEqualSteps && step > o.step {
			return false
		}
		o.observe(step)
	}
	o.known, o.last, o.resumed = true, number, false
	return true
}

// observe records a step between two IDs, unless they are of two instances.
func (o *eventOrder) observe(step uint64) {
	switch {
	case o.resumed:
	case o.equal == 0:
		o.step, o.equal = step, 1
	case step == o.step:
		o.equal++
	default:
		o.uneven = true
	}
}
