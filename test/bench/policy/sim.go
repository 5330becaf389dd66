package main

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// event is a call at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// timeline runs events in virtual time on one goroutine.
type timeline struct {
	clock    *clockwork.FakeClock
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// epoch is the virtual time of the start; any fixed time will do.
var epoch = time.Unix(1_000_000_000, 0)

func newTimeline() *timeline { return &timeline{clock: clockwork.NewFakeClockAt(epoch)} }

func (t *timeline) after(d time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.events, event{t.now + d, t.sequence, run})
}

// every calls run periodically until the end of the timeline.
func (t *timeline) every(d time.Duration, run func()) {
	t.after(d, func() {
		run()
		t.every(d, run)
	})
}

func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.clock.Advance(e.at - t.now)
		t.now = e.at
		e.run()
	}
}
