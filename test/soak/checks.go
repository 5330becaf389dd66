package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

const (
	// revocation is the promised bound for a removed key, with the time that
	// this machine may delay a process.
	revocation = 5*time.Second + 500*time.Millisecond
	// servedShare is the least share of whole answers in a soak of planned work.
	servedShare = 0.98
	// recoveredShare is the least share after all faults have ended.
	recoveredShare = 0.9
)

// check compares what clients saw with what workers ran and returns every
// broken promise.
func check(outcomes []outcome, workers []*worker.Worker, n *notes, problems []string) []string {
	broken := append([]string{}, problems...)
	runs := map[string][]worker.Run{}
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], run)
		}
	}
	for _, o := range outcomes {
		broken = append(broken, checkOutcome(o, runs[o.id], n)...)
	}
	return broken
}

func checkOutcome(o outcome, runs []worker.Run, n *notes) []string {
	var broken []string
	fail := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s %s (status %d, %v): ", o.kind, o.id, o.status, o.err)+fmt.Sprintf(format, args...))
	}
	repeatable := o.kind == "lookups" || o.kind == "queries"
	if !repeatable && len(runs) > 1 {
		fail("ran %d times", len(runs))
	}
	if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && len(runs) > 0 && !repeatable {
		fail("was said not to have run and ran")
	}
	for _, run := range runs {
		if run.Tenant != o.account || run.Key != "" {
			fail("worker got account %q and key %q", run.Tenant, run.Key)
		}
		if run.Path != "/"+o.kind+"/"+o.id || run.Body != 200 {
			fail("worker got path %s and %d bytes", run.Path, run.Body)
		}
	}
	if at, revoked := n.revoked[o.account]; revoked && o.sent.After(at.Add(revocation)) && len(runs) > 0 {
		fail("ran %s after its key was removed", o.sent.Sub(at))
	}
	if o.status == http.StatusOK {
		if want := wanted(o); !strings.HasSuffix(o.body, want) || len(runs) == 0 {
			fail("got %q", o.body)
		}
	}
	return broken
}

// wanted is the answer of a sound worker, for plain kinds its end.
func wanted(o outcome) string {
	if o.kind == "orders" || o.kind == "lookups" {
		return " ran " + o.id
	}
	var b strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// served returns the share of whole answers among requests sent in a span, of
// accounts that keep their key.
func served(outcomes []outcome, from, to time.Time) float64 {
	good, total := 0, 0
	for _, o := range outcomes {
		if o.account == "core" || o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		total++
		if o.status == http.StatusOK {
			good++
		}
	}
	if total == 0 {
		return 0
	}
	return float64(good) / float64(total)
}
