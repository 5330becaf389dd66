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

// maxResets is the number of new connections that may be reset because a listener has just
// ended: those that were made while it ended.
const maxResets = 2

// Verdict tells whether a reply is whole whose end is only that of its connection. Its
// String is the label verdict in metrics.
type Verdict int

// Verdicts.
const (
	// Undecided means that nothing speaks against the reply: the instance can't be reached
	// for another reason than that it doesn't run, or it wasn't examined in time.
	Undecided Verdict = iota
	// Whole means that the instance was alive after the end of the reply, or accepted
	// connections settleTime later if it gave no proof of life.
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
		proves := func(i *Investigation) bool { return i.proves(sent, ended) }
		i := w.examine(subject{incarnationOf(instance), leaving}, proves, func(i *Investigation) { w.investigateEnd(instance, i) })
		w.mu.Unlock()
		reason := i.Wait(ctx)
		if reason == Unknown {
			break
		}
		if i.proves(sent, ended) {
			if reason == Crashed {
				time.Sleep(settleTime) // until the ends of other requests and a notice have been read
			}
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

// proves reports whether the reason, which is known, tells something about a reply sent for and
// ended at these times. An instance that was alive before the end may have crashed since, and one
// that had crashed before the request was sent has restarted.
func (i *Investigation) proves(sent, ended time.Duration) bool {
	if i.reason == Crashed {
		return i.began >= sent
	}
	return i.ofEnd && i.began >= ended
}

// investigateEnd finds out whether an instance outlived a reply. The listener of a killed
// process may outlive its connections for long if the process has lost its processor, so that
// the connection is no proof of life before the process has ended it.
func (w *Watch) investigateEnd(instance fleet.Description, i *Investigation) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	proved, err := w.config.Alive(ctx, instance.Address)
	for range maxResets {
		if !errors.Is(err, exchange.ErrReset) {
			break
		}
		time.Sleep(settleTime)
		proved, err = w.config.Alive(ctx, instance.Address)
	}
	i.ofEnd = true
	switch {
	case errors.Is(err, exchange.ErrReset):
		w.conclude(instance, i, nil) // a listener that has ended resets no more
	case err != nil || proved:
		w.conclude(instance, i, err)
	default:
		w.investigate(instance, i)
	}
}
