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
	Last bool
}

// Gate is called with events before they become visible to the caller. It
// returns when another daemon holds them.
type Gate func(ctx context.Context, recordID string, events []Event) error

// Inflight is one model request: what is needed to finish it, on this daemon
// or on another, and the events emitted so far.
type Inflight struct {
	ID       string
	Account  string
	Service  string
	Body     []byte
	Deadline time.Time
	Session  string

	chat    *chatRequest
	created time.Time

	// emitMu is held while an event passes the gate, so that a gate never
	// misses the event that is being emitted when it is installed.
	emitMu sync.Mutex

	mu      sync.Mutex
	machine *statechart.Machine
	events  []Event
	bytes   int
	tokens  int // emitted chunks with content
	done    bool
	failure *result.Error
	wake    chan struct{} // closed and replaced whenever the fields above change
	gate    Gate
	moved   []string // addresses at which the stream continues
	readers int
	idle    time.Time // when the last reader left
	// delivered: a reader got the end of the answer.
	delivered bool
	cancel    context.CancelFunc
}

func (p *Proxy) newInflight(id, account string, chat *chatRequest, body []byte, deadline time.Time) *Inflight {
	now := p.options.Clock.Now()
	return &Inflight{
		machine: p.charts.request.Machine(),
		ID:      id, Account: account, Service: chat.service, Body: body, Deadline: deadline,
		chat: chat, created: now, wake: make(chan struct{}), idle: now,
	}
}

func (f *Inflight) notifyLocked() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// emit appends an event. With a gate, the event waits until another daemon
// has acknowledged it.
func (f *Inflight) emit(ctx context.Context, data []byte, last bool) error {
	f.emitMu.Lock()
	defer f.emitMu.Unlock()
	f.mu.Lock()
	event := Event{ID: int64(len(f.events)) + 1, Data: append([]byte{}, data...), Last: last}
	gate := f.gate
	f.mu.Unlock()
	if gate != nil {
		if err := gate(ctx, f.RecordID(), []Event{event}); err != nil {
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

// Progress is what a reader sees after the events it already has.
type Progress struct {
	Events  []Event
	Done    bool
	Failure *result.Error
	Moved   []string
	wake    <-chan struct{}
}

// After returns the events after lastID without waiting.
func (f *Inflight) After(lastID int64) Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Progress{Done: f.done, Failure: f.failure, Moved: f.moved, wake: f.wake}
	if lastID < int64(len(f.events)) {
		p.Events = f.events[lastID:len(f.events):len(f.events)]
	}
	return p
}

// Next waits until there is something after lastID or ctx ends.
func (f *Inflight) Next(ctx context.Context, lastID int64) (Progress, error) {
	for {
		p := f.After(lastID)
		if len(p.Events) > 0 || p.Done || p.Moved != nil {
			return p, nil
		}
		select {
		case <-p.wake:
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

// attach counts a reader; the returned function ends it.
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
		f.idle = now()
	}
}

// Delivered records that a reader got the whole answer.
func (f *Inflight) Delivered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivered = true
}

// deliveredSince reports whether a reader got the whole answer and all readers
// left before t.
func (f *Inflight) deliveredSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered && f.readers == 0 && f.idle.Before(t)
}

// abandonedSince reports whether the request has had no reader since t.
func (f *Inflight) abandonedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers == 0 && f.idle.Before(t)
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

// emitted returns the text and the number of content chunks that the caller
// has or will get.
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

func (f *Inflight) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}
