package order

import (
	"container/heap"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// entryOverheadBytes is the accounted size of an entry without its strings and
// its response; BenchmarkLedgerBytes measures it.
const entryOverheadBytes = 450

// retryAfterFullSeconds is the time after which callers of a full ledger should
// retry.
const retryAfterFullSeconds = 1

// expiryHeap is a min-heap of entries by expiry.
type expiryHeap []*entry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

// advance updates the ledger's time and drops expired entries.
func (l *Ledger) advance() time.Time {
	// Round strips the monotonic reading, which stops while a machine is
	// suspended.
	if now := l.clock.Now().Round(0); now.After(l.now) {
		l.now = now
	}
	for len(l.expiry) > 0 && !l.now.Before(l.expiry[0].expires) {
		l.expire(heap.Pop(&l.expiry).(*entry))
	}
	return l.now
}

// expire handles an entry whose token has expired. It drops e if no attempt is
// in progress. If the attempt runs in this process, settle drops e later; if it
// runs on another daemon, the outcome becomes unknown.
func (l *Ledger) expire(e *entry) {
	switch {
	case e.current == nil:
		l.remove(e)
	case e.imported:
		l.settle(e, Outcome{
			Execution: result.Unknown, Code: result.OrderOutcomeUnknown,
			Detail: "the order token expired before the executor reported an outcome",
		})
	}
}

func (l *Ledger) add(e *entry) {
	e.keySet.entries[e.key] = e
	heap.Push(&l.expiry, e)
	l.count++
}

func (l *Ledger) remove(e *entry) {
	_ = e.machine.Fire("expire")
	delete(e.keySet.entries, e.key)
	l.resize(e, 0)
	l.count--
}

func (e *entry) baseSize() int64 {
	return entryOverheadBytes + int64(len(e.key)+len(e.account))
}

func (l *Ledger) resize(e *entry, size int64) {
	l.bytes += size - e.size
	e.size = size
}

// reserve accounts the memory for an execution of e, or returns an error if the
// ledger is full. A new entry isn't counted yet; its e.size is 0.
func (l *Ledger) reserve(e *entry) error {
	size := e.baseSize() + l.limits.MaxResponseBytes
	if (e.size == 0 && l.count >= l.limits.MaxEntries) || l.bytes-e.size+size > l.limits.MaxBytes {
		return result.New(result.Overloaded, result.NotRun,
			"the order ledger is full (%d entries, %d bytes)", l.count, l.bytes).
			WithRetryAfter(retryAfterFullSeconds)
	}
	l.resize(e, size)
	return nil
}
