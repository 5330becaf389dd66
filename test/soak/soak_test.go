package main

import (
	"os/exec"
	"strings"
	"testing"
	"time"
)

// ciSeeds are played in CI: two of mixed faults and one of planned work alone.
var ciSeeds = []struct {
	seed    uint64
	planned bool
}{{seed: 1}, {seed: 1002}, {seed: 7, planned: true}}

// Guards against broken promises under faults from outside real processes.
func TestSeededSoak(t *testing.T) {
	binary, _ := buildPrograms(t)
	for _, c := range ciSeeds {
		o := options{Binary: binary, Length: 12 * time.Second, Daemons: 4, Clients: 12, Planned: c.planned}
		r, err := run(o, c.seed, t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d requests, %.3f whole, %.3f after the faults", c.seed, r.requests, r.share, r.after)
		if len(r.broken) > 0 {
			t.Errorf("seed %d:\n%s\n%s", c.seed, strings.Join(r.notes, "\n"), strings.Join(r.broken, "\n"))
		}
	}
}

// Guards against a second process for a daemon that still runs: three of them
// outlived 52 seeds, because two faults had each started the daemon again.
func TestRunningDaemonIsNotStartedAgain(t *testing.T) {
	first := &exec.Cmd{}
	d := &daemon{process: first, ended: make(chan struct{}), binary: "/nonexistent"}
	if err := d.start(); err != nil || d.process != first {
		t.Errorf("started again: %v", err)
	}
}
