package health

import (
	"sync"
	"sync/atomic"
	"time"
)

// Watch detects that an attempt receives no byte for Config.FreezeAfter.
type Watch struct {
	tracker *Tracker
	name    string
	// lastProgress is the time of the last byte in Unix nanoseconds; in the
	// future while the first byte may take longer than Config.FreezeAfter.
	lastProgress atomic.Int64
	frozen       chan struct{}
	once         sync.Once
}

// Watch starts watching an attempt on an upstream. firstByte is the time that
// the first byte may take, for example behind a queue of long prompts; if it is
// shorter than Config.FreezeAfter, the latter applies. Call Stop when the
// attempt ends.
func (t *Tracker) Watch(name string, firstByte time.Duration) *Watch {
	w := &Watch{tracker: t, name: name, frozen: make(chan struct{})}
	extra := max(0, firstByte-t.config.FreezeAfter)
	w.lastProgress.Store(t.config.Clock.Now().Add(extra).UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches[w] = struct{}{}
	return w
}

// Progress records that bytes arrived.
func (w *Watch) Progress() { w.lastProgress.Store(w.tracker.config.Clock.Now().UnixNano()) }

// Frozen returns a channel that is closed when no byte has arrived for
// Config.FreezeAfter. The resolution is the interval between calls of
// Tracker.Evaluate.
func (w *Watch) Frozen() <-chan struct{} { return w.frozen }

// Stop ends the watch.
func (w *Watch) Stop() {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	delete(w.tracker.watches, w)
}

// checkWatches records frozen streams as failures. If no stream of an upstream
// makes progress, it requests the ejection of the upstream.
func (t *Tracker) checkWatches(now time.Time) {
	progressing := make(map[string]bool)
	var frozen []*Watch
	for w := range t.watches {
		if now.Sub(time.Unix(0, w.lastProgress.Load())) < t.config.FreezeAfter {
			progressing[w.name] = true
			continue
		}
		frozen = append(frozen, w)
	}
	for _, w := range frozen {
		delete(t.watches, w)
		w.once.Do(func() { close(w.frozen) })
		s := t.members[w.name]
		if s == nil {
			continue
		}
		s.window.add(now, t.config.Window, true)
		if s.consecutive++; !progressing[w.name] {
			t.requestEjection(s, ReasonFrozen, now)
		}
	}
}
