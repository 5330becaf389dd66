// Command case1 shows what a client gets for an idempotent request whose first worker
// sends a body without end.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/review/_src/rig"
)

const requests = 30

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord("review/1/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.NotRun
	}
	r, err := rig.New(record)
	if err != nil {
		return rig.Fail(record, "start stand-ins", err)
	}
	defer r.Stop()
	r.PutConfig(map[string]any{
		"configVer": 7,
		"routes": []map[string]any{{
			"name": "stock-lookup", "host": "trade.example", "pathPrefix": "/stock/", "type": "idempotent", "timeoutMs": 3000,
			"sloMs": 300, "priority": 2, "service": "dealer-ledger", "attempts": 2, "public": false,
		}},
		"services": []map[string]any{{"name": "dealer-ledger", "healthPath": "/healthz", "maxConns": 100}},
		"tenants":  []map[string]any{{"name": "dealer", "apiKeys": []string{"key-1"}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var workers []*rig.PlainWorker
	for i, zone := range []string{"ub-sukhbaatar", "ub-khan-uul", "ub-bayanzurkh"} {
		w, err := r.AddPlainWorker(fmt.Sprintf("ledger-%d", i+1), "dealer-ledger", zone)
		if err != nil {
			return rig.Fail(record, "start worker", err)
		}
		workers = append(workers, w)
	}
	if rig.Trouble() {
		workers[0].Endless.Store(true)
		record.Logf("worker %s sends bodies without end from here on", workers[0].ID)
	}
	d, err := r.AddDaemon("ub-sukhbaatar", "")
	if err != nil {
		return rig.Fail(record, "prepare daemon", err)
	}
	if err := d.Start(); err != nil {
		return rig.Fail(record, "start daemon", err)
	}
	if !d.WaitReady(10 * time.Second) {
		return rig.Fail(record, "daemon is not ready", nil)
	}
	time.Sleep(time.Second)
	whole, broken := 0, 0
	for i := range requests {
		id := fmt.Sprintf("req-%03d", i)
		record.Logf("sent %s GET /stock/ref-%d", id, i)
		a := rig.Send(d, http.MethodGet, fmt.Sprintf("/stock/ref-%d", i), id, map[string]string{
			"Authorization": "Bearer key-1", "X-Deadline-Ms": "3000",
		}, nil)
		verdict := "not a complete success"
		if a.Err == nil && a.Status == http.StatusOK {
			verdict = "success, but the body is no worker's whole body: MIXED"
			for _, w := range workers {
				if string(a.Body) == w.Body(id) {
					verdict = "success with the whole body of " + w.ID
					whole++
				}
			}
			if verdict[:8] == "success," {
				broken++
			}
		}
		tail := a.Body[max(0, len(a.Body)-40):]
		record.Logf("answered %s status %d, seal %q, %d bytes, ends with %q, error %v: %s",
			id, a.Status, a.Header.Get("X-Response-Seal"), len(a.Body), tail, a.Err, verdict)
	}
	record.Logf("%d requests: %d whole answers, %d successes with a body that is no worker's whole body", requests, whole, broken)
	fmt.Printf("%d requests: %d whole answers, %d mixed successes\n", requests, whole, broken)
	switch {
	case broken > 0:
		return rig.Broken
	case whole == 0:
		return rig.Fail(record, "no request was served", nil)
	}
	return rig.Held
}
