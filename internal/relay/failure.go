package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Advice on when a refused client returns.
const (
	// startRetry is about the time in which a daemon gets its configuration.
	startRetry = 300 * time.Millisecond
	// staleRetry leads the client to another daemon, which may have contact.
	staleRetry = 50 * time.Millisecond
	// busyRetry is about the duration of a short request.
	busyRetry = 150 * time.Millisecond
)

// failure is an answer of the daemon's own.
type failure struct {
	code   result.Code
	status int
	detail string
	retry  time.Duration
	// gone means that nobody waits for the answer.
	gone bool
}

// notRun is a refusal of a request that no instance has executed or will execute.
func notRun(code result.Code, detail string, retry time.Duration) *failure {
	return &failure{code: code, status: http.StatusServiceUnavailable, detail: detail, retry: retry}
}

// unknown is the answer for a request that may have run.
func unknown(code result.Code, detail string) *failure {
	return &failure{code: code, status: http.StatusBadGateway, detail: detail}
}

// refuse answers with a failure, unless the head of an answer was written.
func (q *request) refuse(f *failure) {
	q.outcome = f.detail
	if q.cost > 0 && !q.ran {
		q.relay.options.Quota.Return(q.account, q.cost)
	}
	q.finish(f.status, f.code)
	if f.gone || q.started {
		panic(http.ErrAbortHandler)
	}
	h := q.writer.Header()
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter(f.retry))
	}
	body := fmt.Sprintf("{\"code\":%d,\"title\":%q,\"detail\":%q}\n", f.code, f.code.Title(), f.detail)
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(f.status)
	if _, err := q.writer.Write([]byte(body)); err != nil {
		countClientGone()
	}
}

// retryAfter formats a wait in seconds, spread so that refused clients don't
// return together.
func retryAfter(wait time.Duration) string {
	spread := wait + time.Duration(rand.Float64()*0.3*float64(wait))
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}
