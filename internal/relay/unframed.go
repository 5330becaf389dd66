package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// errSuspectEnd is returned for a reply that may be whole.
var errSuspectEnd = errors.New("the instance, which is leaving, ended with its reply")

// checkEnd returns an error if the body of a reply, which has been read to its end, ended
// with the connection because the instance crashed, and errSuspectEnd if that is possible and
// another attempt will be made. proved reports that the reply is known to be whole. A reply
// without framing of which neither is known counts as whole, as RFC 9112 (section 6.3)
// defines.
func (q *request) checkEnd(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation) (proved bool, err error) {
	if reply.Proved() || q.http.Method == http.MethodHead {
		return true, nil
	}
	verdict, err := q.relay.options.Crashes.Ended(ctx, reservation.Description, q.sent)
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_unframed_replies_total{verdict=%q}", verdict)).Inc()
	switch {
	case verdict == crashwatch.Refuted:
		return false, errors.Errorf("the instance ended with its reply: %v", err)
	case verdict == crashwatch.Suspect && q.prepareRepeat(reservation):
		return false, errSuspectEnd
	}
	return verdict == crashwatch.Whole, nil
}

// prepareRepeat reports whether a request whose reply was not forwarded will be sent to
// another instance, and takes the retry. Streams are not repeated: the rest of one that is
// whole would be empty, as at an instance in trouble.
func (q *request) prepareRepeat(reservation *fleet.Reservation) bool {
	if q.route.Semantics != traffic.Idempotent || q.headWritten || q.attempts >= q.route.Attempts || q.remaining() < minAttemptTime {
		return false
	}
	query := q.query()
	query.Excluded = append(slices.Clone(query.Excluded), reservation.ID)
	if !q.relay.options.Instances.HasAlternative(query) || !q.takeRetry() {
		return false
	}
	q.retryTaken.Store(true)
	return true
}
