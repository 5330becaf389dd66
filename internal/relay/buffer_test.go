package relay

import (
	"errors"
	"strings"
	"testing"
)

// Guards against buffers that exceed the budget together, that keep what they took, or
// that are refused at the usual size when the budget is used up.
func TestBuffersShareTheBudget(t *testing.T) {
	budget := NewMemoryBudget(64 << 10)
	var buffers []*buffer
	refused := 0
	for range 10 {
		b := &buffer{budget: budget}
		if err := b.readAll(strings.NewReader(strings.Repeat("x", 20<<10)), 1<<20); errors.Is(err, errBufferMemory) {
			refused++
		}
		buffers = append(buffers, b)
	}
	if refused < 7 || budget.Used() > 64<<10 {
		t.Errorf("%d of 10 buffers refused, %d bytes used", refused, budget.Used())
	}
	small := &buffer{budget: budget}
	if err := small.add(make([]byte, minBufferBytes)); err != nil {
		t.Error(err)
	}
	for _, b := range append(buffers, small) {
		b.free()
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes are still taken", budget.Used())
	}
}
