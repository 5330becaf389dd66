package main

import (
	"cmp"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// ciSeeds are the seeds that CI runs: two with all faults, one with planned operations
// only, one with workers in trouble, one with workers that send malformed answers, one with
// moves of the coordinator duty, one with restores of the store, and one with workers whose
// answers end early.
var ciSeeds = []struct {
	seed                     uint64
	planned, trouble, broken bool
	moves, restores, early   bool
	length                   time.Duration // 12 s if zero
}{{seed: 1}, {seed: 1002}, {seed: 7, planned: true}, {seed: 2001, trouble: true}, {seed: 3001, broken: true}, {seed: 4008, moves: true}, {seed: 5021, restores: true, length: 3 * time.Second}, {seed: 6001, early: true}}

// Guards against violated guarantees when faults hit daemons that run as processes.
func TestSeededSoak(t *testing.T) {
	binary, _ := buildPrograms(t)
	for _, c := range ciSeeds {
		o := options{Binary: binary, Length: cmp.Or(c.length, 12*time.Second), Daemons: 4, Clients: 12, Planned: c.planned, Trouble: c.trouble, Broken: c.broken, Moves: c.moves, Restores: c.restores, Early: c.early}
		r, err := runSeed(o, c.seed, t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d requests, %.3f succeeded, %.3f after the faults", c.seed, r.requests, r.faultShare, r.recoveredShare)
		if len(r.violations) > 0 {
			t.Errorf("seed %d:\n%s\n%s", c.seed, strings.Join(r.faults, "\n"), strings.Join(r.violations, "\n"))
		}
	}
}

// Guards against starting a second process for a daemon that still runs. When two
// faults overlapped on one daemon, each restarted it and one process was never
// stopped: after 52 seeds, three such processes were left.
func TestRunningDaemonIsNotStartedAgain(t *testing.T) {
	first := &exec.Cmd{}
	d := &daemon{process: first, exited: make(chan struct{}), binary: "/nonexistent"}
	if err := d.start(); err != nil || d.process != first {
		t.Errorf("started again: %v", err)
	}
}
