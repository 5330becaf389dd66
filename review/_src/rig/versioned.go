package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// VersionedWorker is a model worker of one version of a service. It answers with a short
// stream. A bad one answers a share of its requests with a failure.
type VersionedWorker struct {
	ID, Service, Version, Zone string
	// FailureShare is the share of requests that it answers with status 500.
	FailureShare float64

	rig      *Rig
	born     int64
	draining atomic.Bool
	listener net.Listener
	server   *http.Server
	log      *Runs
}

// Run is a request that a worker has run.
type Run struct {
	RequestID, Worker, Version string
	At                         time.Time
	Failed                     bool
}

// Runs collects the runs of all workers.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

// Add adds a run.
func (r *Runs) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

// All returns the runs in the order in which they began.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.all...)
}

// AddVersionedWorker starts a worker and writes its entry.
func (r *Rig) AddVersionedWorker(service, version, zone string, failureShare float64, log *Runs) (*VersionedWorker, error) {
	r.versionedCount++
	listener, err := net.Listen("tcp", r.Address(100+r.versionedCount))
	if err != nil {
		return nil, err
	}
	w := &VersionedWorker{
		ID: fmt.Sprintf("%s-%s-%d", service, version, r.versionedCount), Service: service, Version: version, Zone: zone,
		FailureShare: failureShare, rig: r, born: time.Now().UnixMilli(), listener: listener, log: log,
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	r.stops = append(r.stops, func() { _ = w.server.Close() })
	w.announce("ready")
	return w, nil
}

func (w *VersionedWorker) announce(state string) {
	entry, err := json.Marshal(map[string]any{
		"service": w.Service, "addr": w.listener.Addr().String(), "zone": w.Zone, "configVer": w.Version, "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1, "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	w.rig.Store.Put("servers/"+w.ID, entry)
	w.rig.Record.Logf("worker %s at %s: %s", w.ID, w.listener.Addr(), state)
}

// Drain announces in the store and in answers that the worker leaves.
func (w *VersionedWorker) Drain() {
	w.draining.Store(true)
	w.announce("draining")
}

// ServeHTTP implements http.Handler.
func (w *VersionedWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.draining.Load() {
		rw.Header().Set("Server-Leaving", "1")
	}
	failed := rand.Float64() < w.FailureShare
	w.log.Add(Run{RequestID: id, Worker: w.ID, Version: w.Version, At: time.Now(), Failed: failed})
	rw.Header().Set("X-Response-Seal", w.ID+"."+id)
	time.Sleep(60 * time.Millisecond)
	if failed {
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "failed")
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
