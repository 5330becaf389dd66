package statechart

import (
	"errors"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/dogwoodrudder/dogwoodrudder/charts"
)

// Guards against an embedded chart that fails the checks, or that the library
// can't represent.
func TestEmbeddedChartsLoad(t *testing.T) {
	all, err := LoadAll(charts.Files)
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 6 {
		t.Fatalf("loaded %d charts, want 6", len(all))
	}
	for _, c := range all {
		if d := c.Diagram(); !strings.HasPrefix(d, "digraph") || !strings.Contains(d, c.def.Initial) {
			t.Errorf("chart %s: diagram lacks the initial state:\n%s", c.Name(), d)
		}
	}
}

// Guards against accepting faulty charts.
func TestCheckRefuses(t *testing.T) {
	cases := map[string]string{
		"unreachable":               "initial: a\nevents: [e]\nstates: {a: {on: {e: b}}, b: {final: true}, c: {ignore: [e]}}",
		"target \"x\" does not":     "initial: a\nevents: [e]\nstates: {a: {on: {e: x}}}",
		"neither handles nor":       "initial: a\nevents: [e, f]\nstates: {a: {on: {e: b}}, b: {final: true}}",
		"no final state":            "initial: a\nterminates: true\nevents: [e]\nstates: {a: {on: {e: a}}}",
		"no final state can":        "initial: a\nterminates: true\nevents: [e, f]\nstates: {a: {on: {e: b, f: c}}, b: {final: true}, c: {ignore: [e, f]}}",
		"final state \"a\" has":     "initial: a\nevents: [e]\nstates: {a: {final: true, on: {e: a}}}",
		"undeclared event":          "initial: a\nevents: [e]\nstates: {a: {on: {e: a, g: a}}}",
		"both handles and":          "initial: a\nevents: [e]\nstates: {a: {on: {e: a}, ignore: [e]}}",
		"initial state \"z\" does":  "initial: z\nevents: [e]\nstates: {a: {on: {e: a}}}",
		"declared twice":            "initial: a\nevents: [e, e]\nstates: {a: {on: {e: a}}}",
		"field terminate not found": "initial: a\nterminate: true\nevents: [e]\nstates: {a: {on: {e: a}}}",
	}
	for want, text := range cases {
		files := fstest.MapFS{"x.yaml": {Data: []byte("name: x\n" + text)}}
		if _, err := Load(files, "x"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// Guards against hooks that run on ignored events or before the state has changed.
func TestFireRunsHooks(t *testing.T) {
	c := mustLoad(t, "order")
	var m *Machine
	var entered []string
	m = c.Machine(
		Hook{State: "sent", Run: func(tr Transition) { entered = append(entered, tr.From+">"+m.State()) }},
		Hook{Run: func(tr Transition) { entered = append(entered, tr.Event) }},
	)
	for _, event := range []string{"mark_sent", "freeze", "ran", "expire"} {
		if err := m.Fire(event); err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Join(entered, " "); got != "pending>sent mark_sent ran expire" {
		t.Errorf("hooks ran as %q", got)
	}
	if err := m.Fire("ran"); !errors.Is(err, ErrFinal) || !m.Final() {
		t.Errorf("final state accepted an event: %v", err)
	}
	if err := m.Fire("nonsense"); !errors.Is(err, ErrUnknownEvent) {
		t.Errorf("unknown event: %v", err)
	}
}

func mustLoad(tb testing.TB, name string) *Chart {
	tb.Helper()
	c, err := Load(charts.Files, name)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func BenchmarkFire(b *testing.B) {
	b.ReportAllocs()
	m := mustLoad(b, "request").Machine()
	_ = m.Fire("admit")
	event, next := "start", "attempt_lost"
	for b.Loop() {
		if err := m.Fire(event); err != nil {
			b.Fatal(err)
		}
		event, next = next, event
	}
}

// Measures the contention on the library's lock, which all machines of a chart
// share.
func BenchmarkFireParallel(b *testing.B) {
	c := mustLoad(b, "request")
	b.RunParallel(func(pb *testing.PB) {
		m := c.Machine()
		_ = m.Fire("admit")
		event, next := "start", "attempt_lost"
		for pb.Next() {
			_ = m.Fire(event)
			event, next = next, event
		}
	})
}

var sinkMachine *Machine

func BenchmarkNewMachine(b *testing.B) {
	b.ReportAllocs()
	c := mustLoad(b, "request")
	for b.Loop() {
		sinkMachine = c.Machine()
	}
}
