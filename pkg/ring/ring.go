// Package ring provides the bounded queues that join duties.
package ring

import (
	"context"
	"sync/atomic"
)

// Overflow says what Put does when the ring is full.
type Overflow int

const (
	// DropNewest discards the item that is being put.
	DropNewest Overflow = iota
	// DropOldest discards the item that has waited longest.
	DropOldest
	// Block waits until there is room or the context ends.
	Block
)

// Ring is a bounded queue of T, safe for concurrent use. It is a buffered
// channel because a ring that polls would use a core while it is idle.
type Ring[T any] struct {
	name     string
	items    chan T
	overflow Overflow
	dropped  atomic.Uint64
}

// New returns a ring that holds up to capacity items. The name labels metrics.
func New[T any](name string, capacity int, overflow Overflow) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, capacity), overflow: overflow}
}

// Put adds item by the overflow rule. It reports whether the item was added;
// with Block, false means that ctx ended first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	default:
	}
	switch r.overflow {
	case Block:
		select {
		case r.items <- item:
			return true
		case <-ctx.Done():
			r.dropped.Add(1)
			return false
		}
	case DropOldest:
		return r.putReplacing(item)
	default:
		r.dropped.Add(1)
		return false
	}
}

func (r *Ring[T]) putReplacing(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Get waits for an item. It returns false when ctx ends.
func (r *Ring[T]) Get(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// C returns the receiving side for use in a select statement.
func (r *Ring[T]) C() <-chan T { return r.items }

// Name returns the name given to New.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of waiting items.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the largest number of waiting items.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Dropped returns how many items the overflow rule has discarded.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
