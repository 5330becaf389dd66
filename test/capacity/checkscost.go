package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// checkSizes are the numbers of upstreams that one daemon checks; 256 is the
// default subset size of one version.
var checkSizes = []int{64, 256, 600}

// Defaults of the settings upstreams/health_interval and load_interval.
const (
	healthInterval = time.Second
	loadInterval   = 5 * time.Second
)

func measureChecks(r *run) error {
	for _, n := range checkSizes {
		if err := measureMonitor(r, n); err != nil {
			return errors.Wrapf(err, "%d upstreams", n)
		}
	}
	cpu, bytes := r.find("checks.cpu"), r.find("checks.bytes")
	r.addLimit("checks: processor share of a daemon, 256 upstreams, answering side included", cpu.values[1], controlCPUShare*100, "% of a core")
	r.addLimit("checks: bytes a second of a daemon, 256 upstreams", bytes.values[1], controlBytesPerSecond, "B/s")
	if entries := r.find("routing.directory_entries"); entries != nil {
		cpuPercent := entries.last() * cpu.fit().slope
		r.addLimit("checks: processor share of a daemon, 12,000 upstreams in 80 versions, extrapolated", cpuPercent, controlCPUShare*100, "% of a core")
	}
	return nil
}

// serveCheck serves one health check or load request as an upstream does.
func serveCheck(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body := "ok\n"
	if request.URL.Path != "/healthz" {
		body = `{"running":3,"waiting":1,"slots":64,"leaving":false}`
	}
	response := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{
		"Content-Type": []string{"application/json"},
	}}
	response.ContentLength = int64(len(body))
	response.Body = io.NopCloser(strings.NewReader(body))
	_ = response.Write(conn)
}

// measureMonitor runs the active checks of a daemon over n upstreams for three
// health intervals.
func measureMonitor(r *run, n int) error {
	w := &trafficCounter{}
	listener, err := listenOnLoopback()
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan struct{}, 1<<16)
	go func() {
		for {
			conn, err := (countingListener{listener, w}).Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go serveCheck(conn)
		}
	}()
	objects := newConfigurationOf(n, 1, 1)
	for _, o := range objects {
		if u, ok := o.Spec.(*object.Upstream); ok {
			u.Address = listener.Addr().String()
		}
	}
	client, err := upstreamhttp.New(time.Second)
	if err != nil {
		return err
	}
	monitor := &upstreams.Monitor{
		Directory: newDirectoryOf(n, objects), Engine: engine.NewOpenAI(client), Checker: upstreamhttp.Checker{Client: client, Path: "/healthz"},
		Interval: healthInterval, LoadInterval: loadInterval,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = monitor.RunChecks(ctx)
	}()
	time.Sleep(healthInterval * 3 / 2) // let the first round of checks end
	const duration = 3 * healthInterval
	cpu, calls, bytes := processTime(), len(accepted), w.bytes()
	time.Sleep(duration)
	cpu, calls, bytes = processTime()-cpu, len(accepted)-calls, w.bytes()-bytes
	cancel()
	<-ended
	seconds := duration.Seconds()
	r.record("checks.calls", "upstreams", "checks/s with a connection each", float64(n), float64(calls)/seconds)
	r.record("checks.cpu", "upstreams", "% of a core, answering side included", float64(n), 100*cpu.Seconds()/seconds)
	r.record("checks.bytes", "upstreams", "B/s sent and received", float64(n), float64(bytes)/seconds)
	return nil
}

func newDirectoryOf(subset int, objects []*object.Object) *upstreams.Directory {
	d := newDirectorySized(subset)
	d.Update(config.NewSnapshot(object.NewSet(1, objects...), "c1"))
	return d
}
