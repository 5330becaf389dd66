package relay

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// minBufferBytes is the first size of a buffer. It is not taken from the budget, so that
// requests and replies of the usual size are served when the budget is used up.
const minBufferBytes = 4 << 10

// charge returns the part of the budget that a buffer of some capacity takes.
func charge(capacity int) int {
	if capacity <= minBufferBytes {
		return 0
	}
	return capacity
}

var (
	errBufferMemory = errors.New("memory for buffers is used up")
	errBodyTooLarge = errors.New("body too large")
)

// MemoryBudget limits the bytes that all requests of a daemon buffer at a time. A limit
// for a single request is not enough: a hundred replies without end, each within its
// limit, would exceed the memory of a small machine. A nil budget has no limit.
type MemoryBudget struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryBudget returns a budget of limit bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Used returns the bytes that are buffered.
func (b *MemoryBudget) Used() int64 { return b.used.Load() }

// take reserves n bytes and reports whether they were available.
func (b *MemoryBudget) take(n int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// allows reports whether n bytes are within a share of the limit.
func (b *MemoryBudget) allows(n int64, share float64) bool {
	return b == nil || float64(n) <= share*float64(b.limit)
}

func (b *MemoryBudget) release(n int) {
	if b != nil {
		b.used.Add(-int64(n))
	}
}

// buffer is a byte slice whose capacity is taken from a MemoryBudget.
type buffer struct {
	budget *MemoryBudget
	data   []byte
}

// reserve makes room for n more bytes.
func (b *buffer) reserve(n int) error {
	if cap(b.data)-len(b.data) >= n {
		return nil
	}
	size := max(minBufferBytes, 2*cap(b.data), len(b.data)+n)
	if !b.budget.take(charge(size)) {
		return errBufferMemory
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.budget.release(charge(cap(b.data)))
	b.data = grown
	return nil
}

// add appends data.
func (b *buffer) add(data []byte) error {
	if err := b.reserve(len(data)); err != nil {
		return err
	}
	b.data = append(b.data, data...)
	return nil
}

// readAll appends what r returns until io.EOF. It returns errBodyTooLarge, with limit
// bytes and at least one more in the buffer, if there is more.
func (b *buffer) readAll(r io.Reader, limit int) error {
	for {
		if err := b.reserve(1); err != nil {
			return err
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(b.data) > limit:
			return errBodyTooLarge
		}
	}
}

// free gives the memory back. The data must not be used afterwards.
func (b *buffer) free() {
	b.budget.release(charge(cap(b.data)))
	b.data = nil
}
