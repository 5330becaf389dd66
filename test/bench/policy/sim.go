package main

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// event is a function to call at a virtual time.
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

// simulation runs events in the order of virtual time on one goroutine.
type simulation struct {
	clock    *clockwork.FakeClock
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// epoch is the virtual time of the start. It is fixed so that runs are
// reproducible.
var epoch = time.Unix(1_000_000_000, 0)

func newSimulation() *simulation { return &simulation{clock: clockwork.NewFakeClockAt(epoch)} }

func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, run})
}

// every calls run periodically until the simulation ends.
func (s *simulation) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.clock.Advance(e.at - s.now)
		s.now = e.at
		e.run()
	}
}
