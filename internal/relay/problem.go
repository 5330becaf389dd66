package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Values of the Retry-After header, before the random spread.
const (
	// startupRetryAfter is about the time in which a starting daemon gets its
	// configuration.
	startupRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is short, because the client should try another daemon,
	// which may have contact with the store.
	staleRetryAfter = 50 * time.Millisecond
	// busyRetryAfter is about the duration of a short request.
	busyRetryAfter = 150 * time.Millisecond
	// evacuatedRetryAfter is about the shortest time in which an operator takes an order
	// back or a new instance starts elsewhere.
	evacuatedRetryAfter = time.Second
)

// problem is an error response that the daemon itself produces.
type problem struct {
	code       result.Code
	status     int
	detail     string
	retryAfter time.Duration
	// clientGone means that the client no longer waits for the response.
	clientGone bool
}

// notExecuted returns the problem for a request that no instance has executed or
// will execute.
func notExecuted(code result.Code, detail string, retryAfter time.Duration) *problem {
	return &problem{code: code, status: http.StatusServiceUnavailable, detail: detail, retryAfter: retryAfter}
}

// outcomeUnknown returns the problem for a request that may have run.
func outcomeUnknown(code result.Code, detail string) *problem {
	return &problem{code: code, status: http.StatusBadGateway, detail: detail}
}

// respondProblem sends a problem to the client. If the head of a response was
// written already, it aborts the connection instead.
func (q *request) respondProblem(p *problem) {
	q.outcome = p.detail
	q.returnQuota()
	q.finish(p.status, p.code)
	if p.clientGone || q.headWritten {
		q.breakOff(p.status, p.code)
	}
	h := q.writer.Header()
	if p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests {
		h.Set("Retry-After", formatRetryAfter(p.retryAfter))
	}
	body := fmt.Sprintf("{\"code\":%d,\"title\":%q,\"detail\":%q}\n", p.code, p.code.Title(), p.detail)
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(p.status)
	if _, err := q.writer.Write([]byte(body)); err != nil {
		countClientGone()
	}
}

// breakOff ends the client's connection without the end of the response. It doesn't return.
func (q *request) breakOff(status int, code result.Code) {
	if q.headWritten {
		q.recordBreakOff(status, code)
	}
	panic(http.ErrAbortHandler)
}

// returnQuota gives back the cost of a request that has not run.
func (q *request) returnQuota() {
	if q.cost > 0 && !q.ran {
		q.relay.options.Quota.Return(q.account, q.cost)
	}
}

// formatRetryAfter formats a wait in seconds. Up to 30% are added at random, so
// that refused clients do not all retry at the same time.
func formatRetryAfter(wait time.Duration) string {
	spread := wait + time.Duration(rand.Float64()*0.3*float64(wait))
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}
