// Package ring provides the bounded queues between duties, which are the
// background tasks of a daemon.
package ring

import (
	"context"
	"sync/atomic"
)

// Overflow is the rule for what Put does when the ring is full.
type Overflow int

const (
	// DropNewest drops the new item.
	DropNewest Overflow = iota
	// DropOldest drops the oldest item in the ring and adds the new one.
	DropOldest
	// Block waits until the ring has space or the context ends.
	Block
)

// Ring is a bounded queue of T, safe for concurrent use. It is a buffered
// channel, because a consumer that polls a ring buffer would use a core while
// the ring is empty.
type Ring[T any] struct {
	name     string
	items    chan T
	overflow Overflow
	dropped  atomic.Uint64
}

// New returns a ring that holds up to capacity items. The name is the label of
// its metrics.
func New[T any](name string, capacity int, overflow Overflow) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, capacity), overflow: overflow}
}

// Put adds item, and applies the overflow rule if the ring is full. It reports
// whether the item was added; with Block, false means that ctx ended first.
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
		return r.putDroppingOldest(item)
	default:
		r.dropped.Add(1)
		return false
	}
}

// putDroppingOldest drops the oldest items until there is space for item.
func (r *Ring[T]) putDroppingOldest(item T) bool {
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

// C returns the channel of items for use in a select statement.
func (r *Ring[T]) C() <-chan T { return r.items }

// Name returns the name given to New.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of waiting items.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the maximum number of waiting items.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Dropped returns the number of items that were dropped or, with Block, not
// added because the context ended.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
