// Package upstreams holds the state of the upstreams that one daemon uses:
// routing candidates, health, concurrency limits and leaving notices. It picks an
// upstream for each attempt and updates the state from the outcome.
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
	// prefixIndexBlocks is the maximum number of prompt blocks in the index.
	prefixIndexBlocks = 1 << 18
	// BlockBytes is the length of the prompt text in one block, about 64 tokens.
	BlockBytes = 256
)

// Options configure a Directory.
type Options struct {
	Clock      clockwork.Clock
	Self       string // daemon ID
	DataCentre string
	// SubsetSize is the target for the number of upstreams that the daemon uses.
	// The daemon uses more if the minimum of minVersionSubset for each version
	// requires it.
	SubsetSize int
	Log        *slog.Logger // slog.Default if nil
}

// Directory holds the upstreams of one daemon. It is safe for concurrent use.
type Directory struct {
	options   Options
	scheduler *routing.Scheduler
	tracker   *health.Tracker
	chart     *statechart.Chart

	mu       sync.RWMutex
	entries  map[string]*entry               // by upstream name
	versions map[string][]*routing.Candidate // by version name
	notices  map[string]Notice               // first leaving notice, by upstream name
	onNotice []func(Notice)
}

// entry is the state of one upstream. Directory.mu guards the fields that change.
type entry struct {
	candidate *routing.Candidate
	limits    *admission.Limits
	spec      *object.Upstream
	service   string
	protocol  object.Protocol
	version   string
	revision  int64
	machine   *statechart.Machine
	leavingCh chan struct{} // closed when the upstream begins to leave
	leaving   bool
}

// Notice is a leaving notice: the upstream is about to stop and gets no new
// requests.
type Notice struct {
	Upstream string
	Address  string
	Signal   health.Signal // how the daemon learned that the upstream is leaving
	Observed time.Time     // when the daemon learned it
	// Deadline is the end of the notice period; zero if unknown.
	Deadline time.Time
	// Shared means that the notice was received from another daemon.
	Shared bool
}

// New returns an empty directory. It panics if the embedded state chart of
// upstreams is invalid; a test of the charts package guards against that.
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
		notices:   make(map[string]Notice),
	}
}

// OnNotice registers a function that is called with every new leaving notice.
func (d *Directory) OnNotice(f func(Notice)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onNotice = append(d.onNotice, f)
}

// Update replaces the upstreams with this daemon's subset of those in a
// configuration snapshot. It keeps the state of unchanged ones.
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
		for _, upstream := range d.subset(all, d.subsetSize(len(all), total)) {
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

// minVersionSubset is the minimum number of upstreams that the daemon uses of each
// version, so that routing has a choice and can replace a failed upstream.
const minVersionSubset = 8

// countUpstreams returns the total number of upstreams of all versions.
func countUpstreams(snapshot *config.Snapshot) int {
	total := 0
	snapshot.Set.Each(object.KindVersion, func(o *object.Object) {
		if version, ok := o.Spec.(*object.Version); ok {
			total += len(snapshot.Upstreams(version.Selector))
		}
	})
	return total
}

// subsetSize returns how many of a version's n upstreams this daemon uses: the
// version's part of Options.SubsetSize, which covers all versions together, and at
// least minVersionSubset. total is the number of upstreams of all versions.
func (d *Directory) subsetSize(n, total int) int {
	if total <= d.options.SubsetSize {
		return n
	}
	return max(minVersionSubset, d.options.SubsetSize*n/total)
}

// subset returns the upstreams of a version that this daemon uses, at most size.
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

// entryLocked returns the existing entry of an upstream if its object and version
// are unchanged, otherwise a new one. The caller holds d.mu.
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
		leavingCh: make(chan struct{}), machine: d.chart.Machine(),
	}
}

func (e *entry) member() health.Member {
	return health.Member{
		Name: e.candidate.Name, Service: e.service, Version: e.version,
		DataCentre: e.spec.DataCentre, Incarnation: e.spec.Address + "/" + e.spec.Instance,
	}
}

// Refresh evaluates the health of all upstreams and copies health, leaving notices
// and limits to the routing candidates.
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
		d.fireStatusEvents(e, status)
	}
}

// setLeaving sets whether the upstream is leaving. It closes the channel of current
// attempts when the upstream begins to leave. The caller holds Directory.mu.
func (e *entry) setLeaving(leaving bool) {
	e.candidate.SetLeaving(leaving)
	if leaving && !e.leaving {
		e.leaving = true
		close(e.leavingCh)
	}
	if !leaving && e.leaving {
		e.leaving = false
		e.leavingCh = make(chan struct{})
	}
}

// Leave records a leaving notice. It passes the first notice of an upstream to the
// functions registered with OnNotice and ignores later ones.
func (d *Directory) Leave(n Notice) {
	if !d.tracker.MarkLeaving(n.Upstream, "", n.Signal) {
		return
	}
	d.mu.Lock()
	d.notices[n.Upstream] = n
	listeners := d.onNotice
	if e := d.entries[n.Upstream]; e != nil {
		e.setLeaving(true)
	}
	d.mu.Unlock()
	for _, f := range listeners {
		f(n)
	}
}

// NoticeOf returns the first leaving notice of an upstream.
func (d *Directory) NoticeOf(upstream string) (Notice, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n, ok := d.notices[upstream]
	return n, ok
}

// publish copies health and limits to the routing candidate.
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
		if !e.leaving && e.candidate.HealthWeight() > 0 {
			total += e.limits.Total()
			long += e.limits.Long()
		}
	}
	return total, long
}

// Attempt is one attempt of a request on an upstream. The caller must call End.
type Attempt struct {
	Name       string
	Address    string
	DataCentre string
	Version    string
	// Leaving is closed when the upstream begins to leave.
	Leaving <-chan struct{}

	directory *Directory
	entry     *entry
	inFlight  *routing.Attempt // counts the attempt as in flight until its end
	class     object.RequestClass
	work      float64 // in work units of package routing
	started   time.Time
	firstByte time.Duration // from the start to the first byte, 0 before it
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
	if e == nil || e.leaving {
		return nil, result.New(result.NoUpstream, result.NotRun,
			"upstream %s began to leave", decision.Candidate.Name)
	}
	return &Attempt{
		Name: decision.Candidate.Name, Address: decision.Candidate.Address,
		DataCentre: decision.Candidate.DataCentre, Version: r.Version,
		Leaving:   e.leavingCh,
		directory: d, entry: e, inFlight: e.candidate.Begin(r.Class, decision.Work),
		class: r.Class, work: decision.Work, started: d.options.Clock.Now(),
	}, nil
}
