package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

const (
	// maxRevocationTime is the time after which a removed key must be refused:
	// the guaranteed 5 s, and 500 ms by which a busy machine may delay a process.
	maxRevocationTime = 5*time.Second + 500*time.Millisecond
	// minPlannedShare is the minimum share of successful requests in a soak with
	// planned operations only.
	minPlannedShare = 0.98
	// minRecoveredShare is the minimum share of successful requests after all
	// faults have ended.
	minRecoveredShare = 0.9
)

// checkOutcomes compares the outcomes that the clients saw with the requests that
// the workers ran. It returns the violations of guarantees, after the problems
// that the stand-in cloud found.
func checkOutcomes(outcomes []outcome, workers []*worker.Worker, record *faultLog, problems []string) []string {
	violations := append([]string{}, problems...)
	runs := map[string][]worker.Run{}
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], run)
		}
	}
	for _, o := range outcomes {
		violations = append(violations, checkOutcome(o, runs[o.id], record)...)
	}
	return violations
}

// checkOutcome returns the violations of one request. runs are its executions.
func checkOutcome(o outcome, runs []worker.Run, record *faultLog) []string {
	var violations []string
	fail := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s (status %d, %v): ", o.kind, o.id, o.status, o.err)+fmt.Sprintf(format, args...))
	}
	repeatable := o.kind == "lookups" || o.kind == "queries" || o.version != 0
	if !repeatable && len(runs) > 1 {
		fail("ran %d times", len(runs))
	}
	if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && len(runs) > 0 && !repeatable {
		fail("was reported as not run, but ran")
	}
	for _, run := range runs {
		if run.Tenant != o.account || run.Key != "" {
			fail("worker got account %q and key %q", run.Tenant, run.Key)
		}
		if run.Path != "/"+o.kind+"/"+o.id || run.Body != o.upload {
			fail("worker got path %s and %d bytes", run.Path, run.Body)
		}
	}
	if at, revoked := record.revoked[o.account]; revoked && o.sent.After(at.Add(maxRevocationTime)) && len(runs) > 0 && !record.inTrouble(o, maxApplyTime) {
		fail("ran %s after its key was removed", o.sent.Sub(at))
	}
	if o.status == http.StatusOK {
		if !isWhole(o) || len(runs) == 0 {
			fail("got %q", o.body)
		}
	}
	return violations
}

// isWhole reports whether the body is that of a healthy worker.
func isWhole(o outcome) bool { return strings.HasSuffix(o.body, expectedBody(o)) }

// expectedBody returns the end of the body that a healthy worker sends: for a
// streaming kind the whole body.
func expectedBody(o outcome) string {
	if o.kind == "orders" || o.kind == "lookups" || o.version != 0 {
		return " ran " + o.id
	}
	var b strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// successShare returns the share of requests with status 200 among those sent
// between from and to. It ignores the account whose key the faults revoke.
func successShare(outcomes []outcome, from, to time.Time) float64 {
	succeeded, total := 0, 0
	for _, o := range outcomes {
		if o.account == "core" || o.version != 0 || o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		total++
		if o.status == http.StatusOK {
			succeeded++
		}
	}
	if total == 0 {
		return 0
	}
	return float64(succeeded) / float64(total)
}
