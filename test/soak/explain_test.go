package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// buildPrograms builds rudderd and rudderctl and returns their paths.
func buildPrograms(t *testing.T) (rudderd, rudderctl string) {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "github.com/dogwoodrudder/dogwoodrudder/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "rudderd"), filepath.Join(dir, "rudderctl")
}

// explainer runs rudderctl explain on the logs of a cluster.
type explainer struct {
	t         *testing.T
	rudderctl string
	cluster   *cluster
}

// explain runs rudderctl explain on all logs until it finds the end of the request,
// which is logged after the client has the response.
func (e explainer) explain(id string) string {
	e.t.Helper()
	logs, err := filepath.Glob(filepath.Join(e.cluster.dir, "*.log"))
	if err != nil || len(logs) == 0 {
		e.t.Fatalf("no logs: %v", err)
	}
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		out, err := exec.Command(e.rudderctl, append([]string{"explain", id}, logs...)...).CombinedOutput()
		if err == nil && strings.Contains(string(out), "request finished") {
			return string(out)
		}
		if time.Now().After(until) {
			e.t.Fatalf("explain %s: %v\n%s", id, err, out)
		}
	}
}

// metrics returns the metrics of the first daemon.
func (e explainer) metrics() string {
	e.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", e.cluster.daemons[0].ip, portMetrics))
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	buffer := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buffer)
		b.Write(buffer[:n])
		if err != nil {
			return b.String()
		}
	}
}

// send sends one request to the first daemon.
func (e explainer) send(kind, account, id string) outcome {
	o := outcome{id: id, kind: kind, account: account, address: fmt.Sprintf("%s:%d", e.cluster.daemons[0].ip, portCallers), upload: shortUpload}
	callers := &clients{cluster: e.cluster}
	callers.send(context.Background(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, &o)
	return o
}

// setBehaviour sets the behaviour of all workers of a service.
func (e explainer) setBehaviour(service string, b worker.Behaviour) {
	for _, w := range e.cluster.workers {
		if w.Service == service {
			w.Set(b)
		}
	}
}

// expectParts fails the test for each part that text does not contain.
func (e explainer) expectParts(text string, parts ...string) {
	e.t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			e.t.Errorf("%q is not in:\n%s", part, text)
		}
	}
}

// Guards against failures whose cause cannot be found from the request ID with logs
// and metrics alone. Covers a refusal for quota, a broken stream, and the unknown
// outcome of a request that must not be repeated.
func TestCauseIsFoundFromTheRequestID(t *testing.T) {
	rudderd, rudderctl := buildPrograms(t)
	addressPrefix := fmt.Sprintf("127.%d.251", 64+os.Getpid()%64)
	c, err := newCluster(rudderd, t.TempDir(), addressPrefix, 2, false)
	if err != nil {
		t.Fatal(err)
	}
	defer c.stop()
	if err := awaitReady(c); err != nil {
		t.Fatal(err)
	}
	e := explainer{t, rudderctl, c}

	e.setBehaviour("reports", worker.Behaviour{CutAfter: 3, EventGap: time.Millisecond})
	if o := e.send("reports", "acme", "broken-1"); o.err == nil {
		t.Fatalf("the stream isn't cut: %+v", o)
	}
	e.expectParts(e.explain("broken-1"), "code: 1304", "The instance failed the request", "ended as broken", "stream broke")
	e.expectParts(e.metrics(), `rudder_relay_attempts_failed_total{end="broken"} 1`)

	e.setBehaviour("orders", worker.Behaviour{LoseAnswer: true})
	if o := e.send("orders", "acme", "unknown-1"); o.status != http.StatusBadGateway {
		t.Fatalf("%+v", o)
	}
	e.expectParts(e.explain("unknown-1"), "code: 1403", "may have run", "ended as lost", "Ask the application")
	e.expectParts(e.metrics(), `rudder_relay_requests_total{semantics="non_idempotent",status="502",code="1403"} 1`)

	time.Sleep(3 * time.Second) // a new coordinator grants less at first; explain would report that instead
	c.setQuota("bolt", 1)
	refused := ""
	for i := 0; i < 100 && refused == ""; i++ {
		if o := e.send("lookups", "bolt", fmt.Sprintf("quota-%d", i)); o.status == http.StatusTooManyRequests {
			refused = o.id
		}
	}
	e.expectParts(e.explain(refused), "code: 1200", "Account bolt was over its quota")
	e.expectParts(e.metrics(), `status="429",code="1200"`)
}
