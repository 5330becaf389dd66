package health

import (
	"sync"
	"sync/atomic"
	"time"
)

// Watch detects that an attempt receives no byte for too long.
type Watch struct {
	tracker *Tracker
	name    string
	last    atomic.Int64 // Unix nanoseconds; in the future during the grace for the first byte
	frozen  chan struct{}
	once    sync.Once
}

// Watch starts watching an attempt on an upstream. firstByte is the time that
// the first byte may take, for example behind a queue of long prompts;
// Config.FreezeAfter applies if it is shorter. Call Stop when the attempt ends.
func (t *Tracker) Watch(name string, firstByte time.Duration) *Watch {
	w := &Watch{tracker: t, name: name, frozen: make(chan struct{})}
	grace := max(0, firstByte-t.config.FreezeAfter)
	w.last.Store(t.config.Clock.Now().Add(grace).UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches[w] = struct{}{}
	return w
}

// Progress records that bytes arrived.
func (w *Watch) Progress() { w.last.Store(w.tracker.config.Clock.Now().UnixNano()) }

// Frozen is closed when no byte has arrived for Config.FreezeAfter. The
// resolution is the interval of Tracker.Evaluate.
func (w *Watch) Frozen() <-chan struct{} { return w.frozen }

// Stop ends the watch.
func (w *Watch) Stop() {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	delete(w.tracker.watches, w)
}

// checkWatches reports frozen streams as failures. An upstream without any
// progressing stream is frozen as a whole and is ejected at once.
func (t *Tracker) checkWatches(now time.Time) {
	moving := make(map[string]bool)
	var stuck []*Watch
	for w := range t.watches {
		if now.Sub(time.Unix(0, w.last.Load())) < t.config.FreezeAfter {
			moving[w.name] = true
			continue
		}
		stuck = append(stuck, w)
	}
	for _, w := range stuck {
		delete(t.watches, w)
		w.once.Do(func() { close(w.frozen) })
		s := t.members[w.name]
		if s == nil {
			continue
		}
		s.window.add(now, t.config.Window, true)
		if s.consecutive++; !moving[w.name] {
			t.want(s, ReasonFrozen, now)
		}
	}
}
