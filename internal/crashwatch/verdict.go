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
	// Undecided means that nothing speaks against the reply: the instance announced its
	// end, it can't be reached for another reason than that it doesn't run, or it wasn't
	// examined in time.
	Undecided Verdict = iota
	// Whole means that the instance was alive after the end of the reply.
	Whole
	// Refuted means that the instance did not outlive the reply, and had not announced its
	// end: the system ends the connections of a killed process in order.
	Refuted
)

// String returns the name used in metrics.
func (v Verdict) String() string { return [...]string{"undecided", "whole", "refuted"}[v] }

// Ended judges a reply to a request sent at a time, on the clock of Config.Now, that has just
// ended with its connection. It returns after verdictTimeout at the latest. The error is why
// a reply is refuted; nil otherwise.
func (w *Watch) Ended(ctx context.Context, instance fleet.Description, sent time.Duration) (Verdict, error) {
	ended := w.config.Now()
	if !w.config.Serving(instance) {
		return Undecided, nil
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	for ctx.Err() == nil {
		w.mu.Lock()
		i := w.examine(instance, sent, w.investigate)
		w.mu.Unlock()
		reason := i.Wait(ctx)
		if reason == Unknown {
			break
		}
		if i.proves(reason, sent, ended) {
			return decide(reason, i.err, w.config.Serving(instance))
		}
	}
	return Undecided, nil
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

// decide returns the verdict on a reply. err is that of the connection attempt after its
// end; serving reports whether the instance is expected to serve after that.
func decide(reason Reason, err error, serving bool) (Verdict, error) {
	switch {
	case reason == Alive:
		return Whole, nil
	case reason == Crashed && serving && errors.Is(err, exchange.ErrRefused):
		return Refuted, err
	}
	return Undecided, nil
}
