package relay

import (
	"context"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/crashwatch"
	"github.com/dogwoodrudder/dogwoodrudder/internal/exchange"
	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// checkEnd returns an error if the body of a reply, which has been read to its end, ended
// with the connection because the instance crashed. proved reports that the reply is known
// to be whole. A reply without framing of which neither is known counts as whole, as
// RFC 9112 (section 6.3) defines.
func (q *request) checkEnd(ctx context.Context, reply *exchange.Reply, reservation *fleet.Reservation) (proved bool, err error) {
	if reply.Framed() || q.http.Method == http.MethodHead {
		return true, nil
	}
	verdict, err := q.relay.options.Crashes.Ended(ctx, reservation.Description, q.sent)
	metrics.GetOrCreateCounter(fmt.Sprintf("rudder_relay_unframed_replies_total{verdict=%q}", verdict)).Inc()
	if verdict == crashwatch.Refuted {
		return false, errors.Errorf("the instance ended with its reply: %v", err)
	}
	return verdict == crashwatch.Whole, nil
}
