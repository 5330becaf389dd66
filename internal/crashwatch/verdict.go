package crashwatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// verdictTimeout bounds the time for which the end of a reply waits for the Verdict.
const verdictTimeout = 250 * time.Millisecond

// Verdict tells whether a reply is whole whose end is only that of its connection. Its
// String is the label verdict in metrics.
type Verdict int

// Verdicts.
const (
	// Undecided means that nothing speaks against the reply: the instance can't be reached
	// for another reason than that it doesn't run, or it wasn't examined in time.
	Undecided Verdict = iota
	// Whole means that the instance was alive after the end of the reply.
	Whole
	// Suspect means that the instance had announced its end and did not outlive the reply,
	// which may be its last one or a part of that.
	Suspect
	// Refuted means that the instance ended during the reply: it had not announced its end,
	// or other requests broke off at it at the same moment. The system ends the connections
	// of a killed process in order.
	Refuted
)

// String returns the name used in metrics.
func (v Verdict) String() string { return [...]string{"undecided", "whole", "suspect", "refuted"}[v] }

// evidence is what is known about an instance when a reply has ended with its connection.
type evidence struct {
	reason  Reason
	err     error // of Connect after the end
	leaving bool  // it had announced its end
	// othersBroke tells that other requests broke off at the instance when the reply ended.
	othersBroke bool
}

// verdict returns what the evidence tells about the reply, and why it is suspect or refuted.
func (e evidence) verdict() (Verdict, error) {
	refused := e.reason == Crashed && errors.Is(e.err, exchange.ErrRefused)
	switch {
	case e.reason == Alive:
		return Whole, nil
	case refused && (!e.leaving || e.othersBroke):
		return Refuted, e.err
	case refused:
		return Suspect, e.err
	}
	return Undecided, nil
}

// Ended judges a reply to a request sent at a time, on the clock of Config.Now, that has just
// ended with its connection. It returns after verdictTimeout at the latest. The error is why
// a reply is suspect or refuted; nil otherwise.
func (w *Watch) Ended(ctx context.Context, instance fleet.Description, sent time.Duration) (Verdict, error) {
	ended := w.config.Now()
	leaving := !w.config.Serving(instance)
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	for ctx.Err() == nil {
		w.mu.Lock()
		i := w.examine(subject{incarnationOf(instance), leaving}, sent, func(i *Investigation) { w.investigate(instance, i) })
		w.mu.Unlock()
		reason := i.Wait(ctx)
		if reason == Unknown {
			break
		}
		if i.proves(reason, sent, ended) {
			leaving = leaving || !w.config.Serving(instance)
			e := evidence{reason: reason, err: i.err, leaving: leaving, othersBroke: w.brokeSince(instance, ended-settleTime)}
			return e.verdict()
		}
	}
	return Undecided, nil
}

// brokeSince reports whether a request broke off at the instance at a time or later.
func (w *Watch) brokeSince(instance fleet.Description, since time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, found := w.broke[incarnationOf(instance)]
	return found && at >= since
}

// proves reports whether the reason tells something about a reply sent for and ended at
// these times. An instance that was alive before the end may have crashed since, and one
// that had crashed before the request was sent has restarted.
func (i *Investigation) proves(reason Reason, sent, ended time.Duration) bool {
	if reason == Crashed {
		return i.began >= sent
	}
	return i.began >= ended
}
