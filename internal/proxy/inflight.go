package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// Event is one emitted event of a stream. IDs count from 1 without gaps.
type Event struct {
	ID   int64
	Data []byte
	Last bool // the event ends the stream
}

// ReplicateFunc copies events to another daemon before they become visible to
// the caller. It returns when the other daemon has acknowledged them.
type ReplicateFunc func(ctx context.Context, recordID string, events []Event) error

// Inflight is one model request with the events emitted so far and the data by
// which this daemon or another one can finish it.
type Inflight struct {
	ID       string
	Account  string
	Service  string
	Body     []byte
	Deadline time.Time
	Session  string

	chat    *chatRequest
	created time.Time

	// emitMu is held while an event is replicated and appended. Copy holds it
	// too, so that no event is emitted between the copy of the earlier events
	// and the start of replication.
	emitMu sync.Mutex

	mu         sync.Mutex
	machine    *statechart.Machine
	events     []Event
	bytes      int // total size of the events' data
	tokens     int // number of emitted chunks with content
	done       bool
	failure    *result.Error // why the request failed; nil if it did not
	changed    chan struct{} // closed and replaced whenever a field changes that Progress shows
	replicate  ReplicateFunc // nil: events are not copied to another daemon
	moved      []string      // addresses of the daemons on which the stream continues
	readers    int           // number of connected readers
	lastDetach time.Time     // when a reader last disconnected; at first the creation time
	delivered  bool          // a reader received the whole response
	cancel     context.CancelFunc
}

func (p *Proxy) newInflight(id, account string, chat *chatRequest, body []byte, deadline time.Time) *Inflight {
	now := p.options.Clock.Now()
	return &Inflight{
		machine: p.charts.request.Machine(),
		ID:      id, Account: account, Service: chat.service, Body: body, Deadline: deadline,
		chat: chat, created: now, changed: make(chan struct{}), lastDetach: now,
	}
}

// notifyLocked wakes the calls of Next. f.mu must be held.
func (f *Inflight) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// emit appends an event. If events are replicated, it first waits until another
// daemon has acknowledged the event.
func (f *Inflight) emit(ctx context.Context, data []byte, last bool) error {
	f.emitMu.Lock()
	defer f.emitMu.Unlock()
	f.mu.Lock()
	event := Event{ID: int64(len(f.events)) + 1, Data: append([]byte{}, data...), Last: last}
	replicate := f.replicate
	f.mu.Unlock()
	if replicate != nil {
		if err := replicate(ctx, f.RecordID(), []Event{event}); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.events) == 0 {
		fireAll(f.machine, eventFirst)
	}
	f.events = append(f.events, event)
	f.bytes += len(event.Data)
	f.notifyLocked()
	return nil
}

// finish ends the request; failure is nil if the response is complete. Further
// calls have no effect.
func (f *Inflight) finish(failure *result.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.failure = failure
	if failure == nil {
		fireAll(f.machine, eventComplete)
	} else {
		fireAll(f.machine, failureEvent(f.machine.State()))
	}
	f.notifyLocked()
}

// Progress is the state of a request and the events that a reader does not have
// yet.
type Progress struct {
	Events  []Event
	Done    bool          // the request has ended
	Failure *result.Error // why the request failed; nil if it did not
	Moved   []string      // addresses of the daemons on which the stream continues; nil: this one
	changed <-chan struct{}
}

// After returns the events after lastID without waiting.
func (f *Inflight) After(lastID int64) Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Progress{Done: f.done, Failure: f.failure, Moved: f.moved, changed: f.changed}
	if lastID < int64(len(f.events)) {
		p.Events = f.events[lastID:len(f.events):len(f.events)]
	}
	return p
}

// Next waits until there are events after lastID, or the request has ended or
// moved, or ctx ends.
func (f *Inflight) Next(ctx context.Context, lastID int64) (Progress, error) {
	for {
		p := f.After(lastID)
		if len(p.Events) > 0 || p.Done || p.Moved != nil {
			return p, nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		}
	}
}

func (f *Inflight) setCancel(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

// stop cancels the attempt that is running.
func (f *Inflight) stop() {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// attach counts a connected reader; the returned function discounts it.
func (f *Inflight) attach(now func() time.Time) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
	if f.machine.State() == stateDetached {
		fireAll(f.machine, eventAdmit)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.readers--
		if f.readers == 0 && f.machine.State() == stateStreaming {
			fireAll(f.machine, eventCallerGone)
		}
		f.lastDetach = now()
	}
}

// Delivered records that a reader received the whole response.
func (f *Inflight) Delivered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivered = true
}

// deliveredBefore reports whether a reader received the whole response and all
// readers disconnected before t.
func (f *Inflight) deliveredBefore(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered && f.readers == 0 && f.lastDetach.Before(t)
}

// abandonedSince reports whether the request has had no reader since before t.
func (f *Inflight) abandonedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers == 0 && f.lastDetach.Before(t)
}

// countTokens adds to the number of content chunks.
func (f *Inflight) countTokens(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens += n
}

// emittedTokens returns the number of content chunks emitted so far.
func (f *Inflight) emittedTokens() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens
}

// emitted returns the text and the number of the content chunks emitted so far.
func (f *Inflight) emitted() (string, int) {
	f.mu.Lock()
	events := f.events
	f.mu.Unlock()
	var text []byte
	tokens := 0
	for _, e := range events {
		if content := engine.ContentOf(e.Data); content != "" {
			text = append(text, content...)
			tokens++
		}
	}
	return string(text), tokens
}

// size returns the total size of the events in bytes.
func (f *Inflight) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}
