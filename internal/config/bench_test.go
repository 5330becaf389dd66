package config

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// fleetObjects returns a valid configuration with the given number of upstreams,
// 20 services of 4 versions each, 200 client accounts and 10 routes per service. The
// design target is 12,000 upstreams.
func fleetObjects(upstreams int) []*object.Object {
	const services, versions, accounts, routes = 20, 4, 200, 10
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var objects []*object.Object
	add := func(name string, labels map[string]string, spec object.Spec) {
		objects = append(objects, &object.Object{
			Kind: spec.Kind(), Metadata: object.Metadata{Name: name, Labels: labels}, Spec: spec,
		})
	}
	for i := range upstreams {
		o := upstream(i, map[string]string{
			"service": fmt.Sprint("s", i%services), "version": fmt.Sprint("v", i/services%versions), "zone": fmt.Sprint("z", i%7),
		})
		objects = append(objects, o)
	}
	for i := range accounts {
		add(fmt.Sprint("a", i), map[string]string{"tier": fmt.Sprint("t", i%routes)},
			&object.ClientAccount{Role: object.RoleCaller, KeyHashes: []string{fmt.Sprintf("sha256:%064x", i)}})
	}
	for s := range services {
		service := fmt.Sprint("s", s)
		add(service, nil, &object.Service{Protocol: object.ProtocolOpenAI})
		for v := range versions {
			name := fmt.Sprint(service, "-v", v)
			add(name, nil, &object.UpstreamSelector{Selector: object.Selector{
				MatchLabels: map[string]string{"service": service, "version": fmt.Sprint("v", v)},
			}})
			add(name, nil, &object.Version{Service: service, Selector: name})
		}
		for r := range routes {
			add(fmt.Sprint(service, "-r", r), nil, &object.Route{
				Service:  service,
				Accounts: object.Selector{MatchLabels: map[string]string{"tier": fmt.Sprint("t", r)}},
				Shares:   []object.Share{{Version: service + "-v0", Percent: 100}},
			})
		}
		add(service, nil, &object.Move{Service: service, From: service + "-v0", To: service + "-v1",
			Start: start, Deadline: start.Add(time.Hour), State: object.MoveOpen, Generation: 1})
	}
	return objects
}

func fleetManager(b *testing.B) *Manager {
	m := newTestManager(newFakeStore(), nil)
	set := object.NewSet(1, fleetObjects(12000)...)
	if err := set.Validate(); err != nil {
		b.Fatal(err)
	}
	m.applySnapshot(NewSnapshot(set, "c1"))
	return m
}

func benchmarkChange(b *testing.B, kind object.Kind, name string) {
	m := fleetManager(b)
	o := *m.Current().Set.Get(object.Ref{Kind: kind, Name: name})
	o.Metadata.Labels = map[string]string{"service": "s1", "version": "v1", "zone": "z1"}
	b.ReportAllocs()
	for b.Loop() {
		current := m.Current()
		changes := put(&o)
		p, err := m.prepareCommit(current, operator, changes, expectedRevisions(current, changes))
		if err != nil {
			b.Fatal(err)
		}
		if err := m.apply(p.record, p.message); err != nil {
			b.Fatal(err)
		}
	}
}

// Measure one change at 12,000 upstreams: validation, change record and indexes.
func BenchmarkChangeUpstream(b *testing.B) { benchmarkChange(b, object.KindUpstream, "u-00100") }
func BenchmarkChangeRoute(b *testing.B)    { benchmarkChange(b, object.KindRoute, "s3-r2") }
func BenchmarkChangeSelector(b *testing.B) {
	benchmarkChange(b, object.KindUpstreamSelector, "s3-v2")
}

// Measures a change on a daemon that receives it, including the decoding of its record.
func BenchmarkHandleItem(b *testing.B) {
	m, follower := fleetManager(b), fleetManager(b)
	fan := &fanOut{to: []*Manager{follower}}
	o := *m.Current().Set.Get(object.Ref{Kind: object.KindUpstream, Name: "u-00100"})
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		changes := put(&o)
		p, err := m.prepareCommit(m.Current(), operator, changes, expectedRevisions(m.Current(), changes))
		if err != nil {
			b.Fatal(err)
		}
		if err := m.apply(p.record, p.message); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		m.opts.Broadcaster = fan
		m.broadcast(context.Background(), p.message)
	}
	if follower.Current().Revision != m.Current().Revision {
		b.Fatal("the follower did not apply all changes")
	}
}

// Measures validation and index building of the whole configuration, which is the
// cost of a change without incremental updates.
func BenchmarkFullRebuild(b *testing.B) {
	objects := fleetObjects(12000)
	b.ReportAllocs()
	for b.Loop() {
		set := object.NewSet(1, objects...)
		if err := set.Validate(); err != nil {
			b.Fatal(err)
		}
		NewSnapshot(set, "c1")
	}
}

// Measures loading 12,000 upstreams at start: decoding, validation and indexes.
func BenchmarkLoadStore(b *testing.B) {
	s := newFakeStore()
	var ops []store.Op
	for _, o := range fleetObjects(12000) {
		data, err := json.Marshal(o)
		if err != nil {
			b.Fatal(err)
		}
		ops = append(ops, store.Op{Key: objectKey(o.Ref()), Value: data})
	}
	ops = append(ops, store.Op{Key: headKey, Value: []byte(`{"revision":1,"changeId":"c1"}`)})
	if _, err := s.Txn(context.Background(), nil, ops); err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var m *Manager
	for b.Loop() {
		m = newTestManager(s, nil)
		if err := m.LoadStore(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MiB")
	runtime.KeepAlive(m)
}
