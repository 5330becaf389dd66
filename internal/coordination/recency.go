package coordination

import (
	"container/list"
	"time"
)

// recency orders daemons by the time of their latest call, so that those without a recent
// one are found without a search of all.
type recency struct {
	order *list.List // of calledAt, the oldest first
	calls map[string]*list.Element
}

type calledAt struct {
	daemon string
	at     time.Duration
}

func newRecency() *recency {
	return &recency{order: list.New(), calls: map[string]*list.Element{}}
}

// touch records a call at now, which isn't before those of other daemons.
func (r *recency) touch(daemon string, now time.Duration) {
	if e := r.calls[daemon]; e != nil {
		e.Value = calledAt{daemon, now}
		r.order.MoveToBack(e)
		return
	}
	r.calls[daemon] = r.order.PushBack(calledAt{daemon, now})
}

// expire removes the daemons whose latest call is older than age, and returns them.
func (r *recency) expire(now, age time.Duration) []string {
	var expired []string
	for e := r.order.Front(); e != nil; e = r.order.Front() {
		call, ok := e.Value.(calledAt)
		if ok && now-call.at <= age {
			break
		}
		r.order.Remove(e)
		delete(r.calls, call.daemon)
		expired = append(expired, call.daemon)
	}
	return expired
}

func (r *recency) count() int { return r.order.Len() }
