package worker

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Brittle is the room of a worker that falls over when it turns away too many requests.
type Brittle struct {
	Slots, Queue int
	// Bears is the number of requests that it may turn away in a second.
	Bears int
	// Tolerant keeps it from falling over.
	Tolerant bool
	// Silent keeps it from saying so in its responses.
	Silent bool
	// Down is the time for which it is away after a fall.
	Down time.Duration
}

// room is the state of a worker with limited room.
type room struct {
	mu         sync.Mutex
	running    int
	waiting    []chan struct{}
	rejections []time.Time
	most       int // rejections in any second
	falls      int
	downUntil  time.Time
}

// enter takes a slot, after a wait in the queue if all are in use. It answers the request
// if there is no room, and returns false.
func (m *room) enter(rw http.ResponseWriter, r *http.Request, b *Brittle) (release func(), ok bool) {
	if !b.Silent {
		rw.Header().Set("Server-Brittle", strconv.Itoa(b.Bears))
	}
	m.mu.Lock()
	now := time.Now()
	switch {
	case now.Before(m.downUntil):
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	case m.running < b.Slots:
		m.running++
		m.mu.Unlock()
		return m.leave, true
	case len(m.waiting) < b.Queue:
		turn := make(chan struct{})
		m.waiting = append(m.waiting, turn)
		m.mu.Unlock()
		select {
		case <-turn:
			return m.leave, true
		case <-r.Context().Done():
			m.abandon(turn)
			panic(http.ErrAbortHandler)
		}
	}
	m.reject(now, b)
	m.mu.Unlock()
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
	return nil, false
}

// reject records a rejection. The caller holds the lock.
func (m *room) reject(now time.Time, b *Brittle) {
	if b.Tolerant {
		return
	}
	recent := m.rejections[:0]
	for _, at := range append(m.rejections, now) {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	m.rejections = recent
	m.most = max(m.most, len(recent))
	if len(recent) > b.Bears {
		m.falls++
		m.downUntil, m.rejections = now.Add(b.Down), nil
	}
}

// leave frees a slot.
func (m *room) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) == 0 {
		m.running--
		return
	}
	close(m.waiting[0])
	m.waiting = m.waiting[1:]
}

// abandon ends a wait.
func (m *room) abandon(turn chan struct{}) {
	m.mu.Lock()
	for i, other := range m.waiting {
		if other == turn {
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			m.mu.Unlock()
			return
		}
	}
	m.mu.Unlock()
	m.leave()
}

// Falls returns how often the worker fell over, and the largest number of requests that it
// turned away in a second.
func (w *Worker) Falls() (falls, rejections int) {
	w.room.mu.Lock()
	defer w.room.mu.Unlock()
	return w.room.falls, w.room.most
}
