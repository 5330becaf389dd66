package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

const (
	// Clients leave a stream when no event comes for the longest of minClientPatience,
	// patienceObjectiveFactor times the route's objective and patienceGapFactor times
	// its longest pause between events.
	minClientPatience       = 2 * time.Second
	patienceObjectiveFactor = 4
	patienceGapFactor       = 8
	// resumeShare is the share of the clients' patience after which a stream that can
	// be resumed continues at another instance. endShare is the share after which any
	// other stream ends; a client that still waits has more patience than usual.
	resumeShare = 0.5
	endShare    = 1.25
	// resumeInterval is the time between two looks for another instance from then on.
	resumeInterval = 100 * time.Millisecond
)

var errStalled = errors.New("stream stalled")

// stallTimer cancels an attempt when no event of its stream has come for some time.
// Comments and parts of events don't count as progress: an instance that sent only
// these would otherwise keep the request until its deadline.
type stallTimer struct {
	cancel context.CancelCauseFunc
	// resume takes what another attempt needs, and reports whether there is one.
	resume func() bool

	mu    sync.Mutex
	timer *time.Timer
	// resumeAt and endAt are when the stream continues elsewhere, if it can, and when it
	// ends. resumeAt is zero if it can't.
	resumeAt, endAt time.Time
}

// newStallTimer starts a timer for the stream of an attempt.
func (q *request) newStallTimer(reservation *fleet.Reservation, stream *streamState, cancel context.CancelCauseFunc) *stallTimer {
	query := q.query()
	query.Excluded = append(slices.Clone(query.Excluded), reservation.ID)
	s := &stallTimer{cancel: cancel, resume: func() bool {
		options := &q.relay.options
		if !options.Instances.HasAlternative(query) || !options.RetryBudget.Take(q.service.Name) {
			return false
		}
		q.retryTaken.Store(true)
		return true
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(time.Hour, s.expire)
	s.progress(q, stream)
	return s
}

// progressed restarts the timer.
func (s *stallTimer) progressed(q *request, stream *streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress(q, stream)
}

// progress is progressed for a caller that holds the lock.
func (s *stallTimer) progress(q *request, stream *streamState) {
	now, patience := time.Now(), q.patience()
	s.resumeAt, s.endAt = time.Time{}, now.Add(time.Duration(endShare*float64(patience)))
	next := s.endAt
	if q.route.Repeatable() && q.attempts < q.route.Attempts && stream.resumable() {
		s.resumeAt = now.Add(time.Duration(resumeShare * float64(patience)))
		next = s.resumeAt
	}
	s.timer.Reset(next.Sub(now))
}

// expire ends the attempt if it is due. An instance that is silent for a moment may go on:
// the stream stays with it while no other instance can take it.
func (s *stallTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case !now.Before(s.endAt):
		s.cancel(errStalled)
	case s.resumeAt.IsZero() || now.Before(s.resumeAt):
		return // an event came meanwhile
	case s.resume():
		s.cancel(errStalled)
	default:
		s.timer.Reset(min(resumeInterval, s.endAt.Sub(now)))
	}
}

func (s *stallTimer) stop() { s.timer.Stop() }

// patience returns how long clients wait for an event of the stream.
func (q *request) patience() time.Duration {
	return max(minClientPatience, patienceObjectiveFactor*q.route.Objective, patienceGapFactor*q.route.MaxEventGap)
}
