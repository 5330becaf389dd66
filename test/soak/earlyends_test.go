package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/test/knownred"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/worker"
)

// testBinary is another build of rudderd that TestBrokenOffAnswersOfProcesses plays with.
var testBinary = flag.String("binary", "", "path of rudderd; empty builds it")

const (
	// answersOfAKind is the number of requests for each kind of answer and of request.
	answersOfAKind = 12
	// healthPause lets the health of the workers recover, so that they get the requests.
	healthPause = 1200 * time.Millisecond
)

// A worker leaves out the end of its answer and resets the connection, ends it in order as a
// killed process does, or sends a second copy. Guards against a daemon, as a process with
// real connections, that passes the part on as a whole answer or as a stream that has ended.
func TestBrokenOffAnswersOfProcesses(t *testing.T) {
	binary := *testBinary
	if binary == "" {
		binary, _ = buildPrograms(t)
	}
	c, err := newCluster(binary, t.TempDir(), fmt.Sprintf("127.%d.251", 64+os.Getpid()%64), 1, false)
	if err != nil {
		t.Fatal(err)
	}
	defer c.stop()
	if err := awaitReady(c); err != nil {
		t.Fatal(err)
	}
	framings := map[string]worker.Framing{"unframed": worker.Unframed, "length": worker.Length, "chunks": worker.Chunks}
	ends := map[string]worker.End{"reset": worker.Reset, "reset during the upload": worker.ResetEarly, "copy": worker.Copy, "crash": worker.Crash}
	for endName, end := range ends {
		for framingName, framing := range framings {
			t.Run(endName+", "+framingName, func(t *testing.T) {
				if entry := knownred.EntryInCI("../../"+knownred.File, t.Name()); entry != "" {
					t.Skipf("known to fail:\n%s", entry)
				}
				playEarlyEnds(t, c, worker.EarlyEnd{Framing: framing, End: end})
			})
		}
	}
}

// playEarlyEnds sends requests of each kind to workers that answer with e.
func playEarlyEnds(t *testing.T, c *cluster, e worker.EarlyEnd) {
	t.Helper()
	time.Sleep(healthPause)
	callers := &clients{cluster: c}
	for _, kind := range []string{"orders", "lookups", "reports", "queries"} {
		e.Missing = missing(kind)
		sent, parts := 0, 0
		for i := range answersOfAKind {
			c.answerWith(t, kind, &e)
			o := outcome{
				id: fmt.Sprintf("%s-%d-%d-%d", kind, e.Framing, e.End, i), kind: kind, account: "acme",
				address: fmt.Sprintf("%s:%d", c.daemons[0].ip, portCallers), upload: shortUpload,
			}
			if e.End == worker.ResetEarly {
				o.upload = longUpload
			}
			callers.send(context.Background(), http.DefaultClient, &o)
			if o.status == http.StatusOK || o.status == 0 || o.status == http.StatusBadGateway {
				sent++
			}
			if o.status == http.StatusOK && !isWhole(o) {
				parts++
			}
		}
		c.answerWith(t, kind, nil)
		t.Logf("%s: %d of %d parts looked complete", kind, parts, sent)
		if parts > 0 {
			t.Errorf("%s: %d of %d parts looked complete", kind, parts, sent)
		}
		if sent == 0 {
			t.Errorf("%s: no request reached a worker", kind)
		}
	}
}

// missing returns the number of bytes that an answer lacks: the last events of a stream.
func missing(kind string) int {
	if kind == "orders" || kind == "lookups" {
		return len("- 12")
	}
	bytes := 0
	for i := streamEvents - 3; i < streamEvents; i++ {
		bytes += len(fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i))
	}
	return bytes
}

// answerWith sets how the workers of a service answer, and restarts those that crashed. nil
// means whole answers.
func (c *cluster) answerWith(t *testing.T, service string, e *worker.EarlyEnd) {
	t.Helper()
	running := map[string]bool{}
	for _, w := range c.workers {
		running[w.ID] = running[w.ID] || !w.Crashed()
	}
	for _, w := range c.workers {
		if w.Service != service {
			continue
		}
		if !running[w.ID] {
			running[w.ID] = true
			if err := c.restartWorker(w); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, w := range c.workers {
		if w.Service == service {
			w.Set(worker.Behaviour{EarlyEnd: e})
		}
	}
}
