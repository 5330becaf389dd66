// Package upstreams keeps what one daemon knows about the upstreams that it
// uses: candidates for routing, health, concurrency limits and leaving
// notices. It picks an upstream for each attempt and learns from its outcome.
package upstreams

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// Sizes of the prefix index.
const (
	prefixIndexBlocks = 1 << 18
	// BlockBytes is the prompt text of one block, about 64 tokens.
	BlockBytes = 256
)

// Options configure a Directory.
type Options struct {
	Clock      clockwork.Clock
	Self       string // daemon ID
	DataCentre string
	SubsetSize int
	Log        *slog.Logger // slog.Default if nil
}

// Directory is safe for concurrent use.
type Directory struct {
	options   Options
	scheduler *routing.Scheduler
	tracker   *health.Tracker
	chart     *statechart.Chart

	mu       sync.RWMutex
	entries  map[string]*entry               // by upstream name
	versions map[string][]*routing.Candidate // by version name
	leaving  map[string]Notice
	onNotice []func(Notice)
}

type entry struct {
	candidate *routing.Candidate
	limits    *admission.Limits
	spec      *object.Upstream
	service   string
	protocol  object.Protocol
	version   string
	revision  int64
	machine   *statechart.Machine
	leave     chan struct{} // closed when the upstream begins to leave
	left      bool
}

// Notice tells that an upstream began to leave.
type Notice struct {
	Upstream string
	Address  string
	Signal   health.Signal
	Observed time.Time
	// Deadline is the end of the notice period; zero if unknown.
	Deadline time.Time
	// Shared means that the notice came from another daemon.
	Shared bool
}

// New returns an empty directory. It panics if the embedded chart of upstreams
// is broken, which a test of the charts excludes.
func New(options Options) *Directory {
	chart, err := statechart.Load(charts.Files, "upstream")
	if err != nil {
		panic(err)
	}
	if options.Log == nil {
		options.Log = slog.Default()
	}
	index := routing.NewPrefixIndex(prefixIndexBlocks)
	return &Directory{
		options: options, chart: chart,
		scheduler: routing.NewDefault(options.Clock, index),
		tracker:   health.New(health.Config{Clock: options.Clock}),
		entries:   make(map[string]*entry),
		versions:  make(map[string][]*routing.Candidate),
		leaving:   make(map[string]Notice),
	}
}

// OnNotice registers a function that is called with every new leaving notice.
func (d *Directory) OnNotice(f func(Notice)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onNotice = append(d.onNotice, f)
}

// Update takes over the upstreams of a configuration snapshot.
func (d *Directory) Update(snapshot *config.Snapshot) {
	total := countUpstreams(snapshot)
	d.mu.Lock()
	entries := make(map[string]*entry)
	versions := make(map[string][]*routing.Candidate)
	var members []health.Member
	snapshot.Set.Each(object.KindVersion, func(o *object.Object) {
		version, ok := o.Spec.(*object.Version)
		if !ok {
			return
		}
		all := snapshot.Upstreams(version.Selector)
		for _, upstream := range d.subset(all, d.sizeFor(len(all), total)) {
			e := d.entryLocked(upstream, version.Service, o.Metadata.Name)
			e.protocol = protocolOf(snapshot.Set, version.Service)
			entries[upstream.Metadata.Name] = e
			versions[o.Metadata.Name] = append(versions[o.Metadata.Name], e.candidate)
			members = append(members, e.member())
		}
	})
	for name, old := range d.entries {
		if entries[name] != old {
			d.fire(old, eventRemoved)
		}
	}
	d.entries, d.versions = entries, versions
	d.mu.Unlock()
	d.tracker.Sync(members)
	d.Refresh()
}

func protocolOf(set *object.Set, service string) object.Protocol {
	spec, _, ok := object.Lookup[*object.Service](set, object.KindService, service)
	if !ok {
		return ""
	}
	return spec.Protocol
}

// minSubset leaves a choice and spares in every version.
const minSubset = 8

// countUpstreams returns the sum of the upstreams of all versions.
func countUpstreams(snapshot *config.Snapshot) int {
	total := 0
	snapshot.Set.Each(object.KindVersion, func(o *object.Object) {
		if version, ok := o.Spec.(*object.Version); ok {
			total += len(snapshot.Upstreams(version.Selector))
		}
	})
	return total
}

// sizeFor returns how many of a version's n upstreams this daemon uses: its part
// of the subset size, which bounds the whole daemon, and at least minSubset.
func (d *Directory) sizeFor(n, total int) int {
	if total <= d.options.SubsetSize {
		return n
	}
	return max(minSubset, d.options.SubsetSize*n/total)
}

// subset limits a version's upstreams to those that this daemon uses.
func (d *Directory) subset(all []*object.Object, size int) []*object.Object {
	if len(all) <= size {
		return all
	}
	byName := make(map[string]*object.Object, len(all))
	members := make([]routing.Member, 0, len(all))
	for _, o := range all {
		byName[o.Metadata.Name] = o
		members = append(members, routing.Member{Name: o.Metadata.Name, DataCentre: o.Spec.(*object.Upstream).DataCentre})
	}
	self := routing.Member{Name: d.options.Self, DataCentre: d.options.DataCentre}
	var used []*object.Object
	for _, m := range routing.Subset(members, self, size) {
		used = append(used, byName[m.Name])
	}
	return used
}

// entryLocked returns the entry of an upstream and keeps its state while the
// object is unchanged.
func (d *Directory) entryLocked(o *object.Object, service, version string) *entry {
	spec := o.Spec.(*object.Upstream)
	if old := d.entries[o.Metadata.Name]; old != nil && old.revision == o.Metadata.Revision &&
		old.version == version {
		return old
	}
	return &entry{
		candidate: routing.NewCandidate(routing.Upstream{
			Name: o.Metadata.Name, Address: spec.Address, Service: service, Version: version,
			DataCentre: spec.DataCentre, MachineClass: spec.MachineClass,
			PricePerHour: spec.PricePerHour, Labels: o.Metadata.Labels,
		}),
		limits: admission.NewLimits(admission.LimiterConfig{Max: spec.MaxConcurrency}),
		spec:   spec, service: service, version: version, revision: o.Metadata.Revision,
		leave: make(chan struct{}), machine: d.chart.Machine(),
	}
}

func (e *entry) member() health.Member {
	return health.Member{
		Name: e.candidate.Name, Service: e.service, Version: e.version,
		DataCentre: e.spec.DataCentre, Incarnation: e.spec.Address + "/" + e.spec.Instance,
	}
}

// Refresh copies health, notices and limits to the candidates.
func (d *Directory) Refresh() {
	d.tracker.Evaluate()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, e := range d.entries {
		status, ok := d.tracker.Status(name)
		if !ok {
			continue
		}
		e.publish(status)
		e.setLeaving(status.Leaving != "")
		d.follow(e, status)
	}
}

func (e *entry) setLeaving(leaving bool) {
	e.candidate.SetLeaving(leaving)
	if leaving && !e.left {
		e.left = true
		close(e.leave)
	}
	if !leaving && e.left {
		e.left = false
		e.leave = make(chan struct{})
	}
}

// Leave records a leaving notice. The first notice of an upstream is passed to
// the functions registered with OnNotice.
func (d *Directory) Leave(n Notice) {
	if !d.tracker.MarkLeaving(n.Upstream, "", n.Signal) {
		return
	}
	d.mu.Lock()
	d.leaving[n.Upstream] = n
	listeners := d.onNotice
	if e := d.entries[n.Upstream]; e != nil {
		e.setLeaving(true)
	}
	d.mu.Unlock()
	for _, f := range listeners {
		f(n)
	}
}

// NoticeOf returns the leaving notice of an upstream.
func (d *Directory) NoticeOf(upstream string) (Notice, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n, ok := d.leaving[upstream]
	return n, ok
}

// publish copies health and limits to the candidate.
func (e *entry) publish(status health.Status) {
	e.candidate.SetHealthWeight(status.Weight)
	e.candidate.SetLimit(e.limits.Total())
	e.candidate.SetLongLimit(e.limits.Long())
}

// Capacity returns the sum of the limits of the usable upstreams, for all
// requests and for long ones.
func (d *Directory) Capacity() (total, long int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.entries {
		if !e.left && e.candidate.HealthWeight() > 0 {
			total += e.limits.Total()
			long += e.limits.Long()
		}
	}
	return total, long
}

// Attempt is the use of one upstream.
type Attempt struct {
	Name       string
	Address    string
	DataCentre string
	Version    string
	// Leaving is closed when the upstream begins to leave.
	Leaving <-chan struct{}

	directory *Directory
	entry     *entry
	counting  *routing.Attempt
	class     object.RequestClass
	work      float64
	started   time.Time
	first     time.Duration
}

// Pick chooses an upstream. The error is a *result.Error with code NoUpstream
// or Overloaded and execution "not run".
func (d *Directory) Pick(ctx context.Context, r routing.Request) (*Attempt, error) {
	d.mu.RLock()
	candidates := d.versions[r.Version]
	d.mu.RUnlock()
	r.DataCentre = d.options.DataCentre
	decision, err := d.scheduler.Pick(ctx, r, candidates)
	if err != nil {
		return nil, err
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	e := d.entries[decision.Candidate.Name]
	if e == nil || e.left {
		return nil, result.New(result.NoUpstream, result.NotRun,
			"upstream %s began to leave", decision.Candidate.Name)
	}
	return &Attempt{
		Name: decision.Candidate.Name, Address: decision.Candidate.Address,
		DataCentre: decision.Candidate.DataCentre, Version: r.Version,
		Leaving:   e.leave,
		directory: d, entry: e, counting: e.candidate.Begin(r.Class, decision.Work),
		class: r.Class, work: decision.Work, started: d.options.Clock.Now(),
	}, nil
}
