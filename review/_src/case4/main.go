// Command case4 counts the requests that a bad version of a service gets when the operator
// orders a corrected version soon after the bad one was reverted.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/review/_src/rig"
)

// Figures of the deployment (sheet of tsd-ub) and of the case.
const (
	service         = "appraisal-llm"
	requestsPerS    = 156 // provenance-report 32.3 and counter-query 124
	exposureShare   = 0.1
	exposureSlack   = 50
	completeBy      = 12 * time.Second // example of the protocol's page
	failureShare    = 0.5
	secondOrderWait = 200 * time.Millisecond // from `reverted` to the next order
	drainWait       = 5 * time.Second        // from `reverted` to the draining of the reverted workers
	workersPerZone  = 2
)

func main() { os.Exit(run()) }

type counts struct {
	sent, whole, failed, other atomic.Int64
}

func run() int {
	record, err := rig.NewRecord("review/4/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.NotRun
	}
	r, err := rig.New(record)
	if err != nil {
		return rig.Fail(record, "start stand-ins", err)
	}
	defer r.Stop()
	zones := []string{"ub-sukhbaatar", "ub-khan-uul", "ub-bayanzurkh"}
	route := func(name string, priority int, timeout, slo, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "trade.example", "pathPrefix": "/" + name + "/", "type": "streaming", "timeoutMs": timeout,
			"sloMs": slo, "priority": priority, "service": service, "attempts": attempts, "public": false, "sticky": true,
			"resumable": resumable, "itlTargetMs": 400,
		}
	}
	r.PutConfig(map[string]any{
		"configVer": 7,
		"routes":    []map[string]any{route("counter-query", 0, 2500, 500, 2, true), route("provenance-report", 1, 10000, 800, 1, false)},
		"services":  []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 200}},
		"tenants":   []map[string]any{{"name": "dealer", "apiKeys": []string{"key-1"}}},
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	runs := &rig.Runs{}
	start := func(version string, failures float64) ([]*rig.VersionedWorker, error) {
		var workers []*rig.VersionedWorker
		for range workersPerZone {
			for _, zone := range zones {
				w, err := r.AddVersionedWorker(service, version, zone, failures, runs)
				if err != nil {
					return nil, err
				}
				workers = append(workers, w)
			}
		}
		return workers, nil
	}
	if _, err := start("v1", 0); err != nil {
		return rig.Fail(record, "start workers", err)
	}
	for _, zone := range zones {
		d, err := r.AddDaemon(zone, "")
		if err != nil {
			return rig.Fail(record, "prepare daemon", err)
		}
		if err := d.Start(); err != nil {
			return rig.Fail(record, "start daemon", err)
		}
	}
	for _, d := range r.Daemons {
		if !d.WaitReady(10 * time.Second) {
			return rig.Fail(record, "daemon is not ready", nil)
		}
	}
	time.Sleep(4 * time.Second)
	var c counts
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		sendRequests(r, &c, stop, &wait)
	}()
	time.Sleep(3 * time.Second)

	order := func(target string) time.Time {
		value, _ := json.Marshal(map[string]any{"service": service, "target": target, "completeByS": completeBy.Seconds()})
		r.Store.Put("op/rollout/"+service, value)
		record.Logf("operator: op/rollout/%s %s", service, value)
		return time.Now()
	}
	share := 0.0
	if rig.Trouble() {
		share = failureShare
	}
	firstOrder := order("v2")
	bad, err := start("v2", share)
	if err != nil {
		return rig.Fail(record, "start workers", err)
	}
	reverted := false
	for time.Since(firstOrder) < 8*time.Second && !reverted {
		time.Sleep(20 * time.Millisecond)
		status := string(r.Store.Value("status/rollout/" + service))
		reverted = strings.Contains(status, `"reverted"`) && strings.Contains(status, `"v2"`)
		if !rig.Trouble() && time.Since(firstOrder) > 3*time.Second {
			break // a sound version isn't reverted; the next order comes at about the same time
		}
	}
	record.Logf("status: %s", r.Store.Value("status/rollout/"+service))
	if rig.Trouble() && !reverted {
		return rig.Fail(record, "the bad version was not reverted within 8 s", nil)
	}
	revertedAt := time.Now()
	drain := func() {
		time.Sleep(time.Until(revertedAt.Add(drainWait)))
		for _, w := range bad {
			w.Drain()
		}
	}
	if os.Getenv("LATE") == "1" { // control: the next order comes when the reverted workers have left
		drain()
		time.Sleep(2 * time.Second)
	} else {
		time.Sleep(secondOrderWait)
	}
	secondOrder := order("v3")
	if _, err := start("v3", 0); err != nil {
		return rig.Fail(record, "start workers", err)
	}
	if rig.Trouble() && os.Getenv("LATE") != "1" {
		drain()
	}
	time.Sleep(time.Until(firstOrder.Add(completeBy + time.Second)))
	close(stop)
	wait.Wait()

	deadline := firstOrder.Add(completeBy)
	all, toBad, badAnswers, afterOrder := map[string]bool{}, map[string]bool{}, 0, map[string]bool{}
	for _, run := range runs.All() {
		record.Logf("run at %.3f s after the first order: %s at %s, failed %v", run.At.Sub(firstOrder).Seconds(), run.RequestID, run.Worker, run.Failed)
		if run.At.Before(firstOrder) || run.At.After(deadline) {
			continue
		}
		all[run.RequestID] = true
		if run.Version == "v2" && share > 0 {
			toBad[run.RequestID] = true
			if run.Failed {
				badAnswers++
			}
			if run.At.After(secondOrder) {
				afterOrder[run.RequestID] = true
			}
		}
	}
	allowed := exposureShare*float64(len(all)) + exposureSlack
	summary := fmt.Sprintf("%d requests reached the service between the order and its deadline; the bad version got %d, allowed %.0f; %d of them after the next order; %d bad answers; clients: %d sent, %d whole, %d failures, %d others",
		len(all), len(toBad), allowed, len(afterOrder), badAnswers, c.sent.Load(), c.whole.Load(), c.failed.Load(), c.other.Load())
	record.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case len(all) < 500:
		return rig.Fail(record, "too few requests were served", nil)
	case float64(len(toBad)) > allowed:
		return rig.Broken
	}
	return rig.Held
}

// sendRequests sends requests at the rate of the sheet to the daemons in turn.
func sendRequests(r *rig.Rig, c *counts, stop chan struct{}, wait *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 12 * time.Second}
	ticker := time.NewTicker(time.Second / requestsPerS)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			name, deadline, tokens, parts := "counter-query", "2500", "2368,24", fmt.Sprintf("%x:568,%x:1800", n%40, 1<<20+n)
			if n%5 == 0 {
				name, deadline, tokens, parts = "provenance-report", "10000", "11992,384", fmt.Sprintf("%x:5382,%x:6610", 100+n%20, 1<<20+n)
			}
			id := fmt.Sprintf("req-%05d", n)
			d := r.Daemons[n%len(r.Daemons)]
			request, err := http.NewRequest(http.MethodPost, "http://"+d.Callers+"/"+name+"/1", strings.NewReader("{}"))
			if err != nil {
				return
			}
			request.Host = "trade.example"
			for key, value := range map[string]string{
				"X-Request-Id": id, "Authorization": "Bearer key-1", "X-Deadline-Ms": deadline, "X-Model": "m",
				"X-Token-Usage": tokens, "X-Prefix-Hash": parts,
			} {
				request.Header.Set(key, value)
			}
			c.sent.Add(1)
			outcome := send(client, request)
			switch {
			case outcome == "200":
				c.whole.Add(1)
			case outcome == "500":
				c.failed.Add(1)
			default:
				c.other.Add(1)
			}
			r.Record.Logf("answered %s %s at %s: %s", id, name, d.Name, outcome)
		}()
	}
}

func send(client *http.Client, request *http.Request) string {
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var b strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		b.Write(buffer[:n])
		if err != nil {
			if err.Error() != "EOF" {
				return fmt.Sprintf("%d, broken off: %v", response.StatusCode, err)
			}
			return fmt.Sprint(response.StatusCode)
		}
	}
}
