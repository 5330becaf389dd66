package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
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
)

var errStalled = errors.New("stream stalled")

// stallTimer cancels an attempt when no event of its stream has come for some time.
// Comments and parts of events don't count as progress: an instance that sent only
// these would otherwise keep the request until its deadline.
type stallTimer struct{ timer *time.Timer }

// newStallTimer starts a timer that calls cancel after timeout.
func newStallTimer(timeout time.Duration, cancel context.CancelCauseFunc) *stallTimer {
	return &stallTimer{time.AfterFunc(timeout, func() { cancel(errStalled) })}
}

// progress restarts the timer with a timeout.
func (s *stallTimer) progress(timeout time.Duration) { s.timer.Reset(timeout) }

func (s *stallTimer) stop() { s.timer.Stop() }

// stallTimeout returns the longest pause between two events of the stream.
func (q *request) stallTimeout(stream *streamState) time.Duration {
	patience := max(minClientPatience, patienceObjectiveFactor*q.route.Objective, patienceGapFactor*q.route.MaxEventGap)
	share := endShare
	if q.route.Repeatable() && q.attempts < q.route.Attempts && stream.resumable() {
		share = resumeShare
	}
	return time.Duration(share * float64(patience))
}
