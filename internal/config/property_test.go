package config

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

func namesAtRevisions(list []*object.Object) []string {
	out := make([]string, 0, len(list))
	for _, o := range list {
		out = append(out, fmt.Sprintf("%s@%d", o.Metadata.Name, o.Metadata.Revision))
	}
	return out
}

// Guards against incrementally updated indexes that differ from rebuilt ones.
func TestIncrementalIndexesEqualFullOnes(t *testing.T) {
	base := fleetObjects(40)
	rapid.Check(t, func(t *rapid.T) {
		snapshot := NewSnapshot(object.NewSet(1, base...), "c1")
		for revision := int64(2); revision < 12; revision++ {
			var puts []*object.Object
			var deletes, changed []object.Ref
			picked := rapid.SliceOfNDistinct(rapid.SampledFrom(base), 1, 5, func(o *object.Object) object.Ref { return o.Ref() }).Draw(t, "objects")
			for _, o := range picked {
				changed = append(changed, o.Ref())
				if rapid.Bool().Draw(t, "delete") {
					deletes = append(deletes, o.Ref())
					continue
				}
				next := *o
				next.Metadata.Revision = revision
				next.Metadata.Labels = map[string]string{"service": fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")), "version": "v0"}
				puts = append(puts, &next)
			}
			snapshot = snapshot.withChanges(snapshot.Set.With(revision, puts, deletes), "c", changed)
		}
		full := NewSnapshot(object.NewSet(snapshot.Revision, snapshot.Set.All()...), "c")
		for _, o := range base {
			name := o.Metadata.Name
			for _, pair := range [][2][]*object.Object{
				{snapshot.Upstreams(name), full.Upstreams(name)}, {snapshot.Versions(name), full.Versions(name)},
				{snapshot.Routes(name), full.Routes(name)}, {snapshot.Moves(name), full.Moves(name)},
			} {
				if !slices.Equal(namesAtRevisions(pair[0]), namesAtRevisions(pair[1])) {
					t.Fatalf("index of %s: incremental %v, full %v", name, namesAtRevisions(pair[0]), namesAtRevisions(pair[1]))
				}
			}
			if a, ok := o.Spec.(*object.ClientAccount); ok && snapshot.AccountByKeyHash(a.KeyHashes[0]) != full.AccountByKeyHash(a.KeyHashes[0]) {
				t.Fatalf("account index of %s differs", name)
			}
		}
	})
}

// model runs several daemons on one store and records the acknowledged commits.
type model struct {
	store    *fakeStore
	daemons  []*Manager
	items    []*peerv1.Item // all broadcast items, for deliveries in any order
	backup   map[string]store.KeyValue
	revision int64            // store revision of backup
	highest  []int64          // highest revision in force on each daemon
	acked    map[int64]string // name of the upstream, by acknowledged revision
}

func (m *model) Broadcast(_ context.Context, item *peerv1.Item) { m.items = append(m.items, item) }

// instantClock skips the waits between attempts.
type instantClock struct{ clockwork.Clock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

func newModel(daemons int) *model {
	m := &model{store: newFakeStore(), highest: make([]int64, daemons), acked: map[int64]string{}}
	for i := range daemons {
		d := NewManager(Options{Store: m.store, Broadcaster: m, Logger: discardLogger(), Clock: instantClock{clockwork.NewRealClock()}})
		d.Subscribe(func(s *Snapshot) {
			if s.Revision < m.highest[i] {
				panic(fmt.Sprintf("revision decreased from %d to %d", m.highest[i], s.Revision))
			}
			m.highest[i] = s.Revision
		})
		m.daemons = append(m.daemons, d)
	}
	return m
}

func (m *model) step(t *rapid.T) {
	ctx := context.Background()
	d := m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
	switch rapid.SampledFrom([]string{"commit", "commit", "lose reply", "silence", "settle", "deliver", "load", "watch", "back up", "restore", "unavailable"}).Draw(t, "step") {
	case "commit":
		m.commit(t, d)
	case "lose reply":
		m.store.setFaults(nil, func() error { return store.ErrOutcomeUnknown })
		m.commit(t, d)
		m.store.setFaults(nil, nil)
	case "silence": // the store applies the write and then stops answering
		silent := false
		m.store.setFaults(func(string) error {
			if silent {
				return store.ErrOutcomeUnknown
			}
			return nil
		}, func() error {
			silent = true
			return store.ErrOutcomeUnknown
		})
		m.commit(t, d)
		m.store.setFaults(nil, nil)
	case "settle":
		d.SettleUnknown(ctx)
	case "unavailable":
		m.store.setFaults(func(string) error { return store.ErrUnavailable }, nil)
		m.commit(t, d)
		_ = d.LoadStore(ctx)
		m.store.setFaults(nil, nil)
	case "deliver":
		if len(m.items) > 0 {
			d.HandleItem(rapid.SampledFrom(m.items).Draw(t, "item"))
		}
	case "load":
		_ = d.LoadStore(ctx)
	case "watch":
		_, _ = d.syncHead(ctx)
	case "back up":
		m.backup, m.revision = m.store.snapshot()
	case "restore":
		// A daemon without configuration accepts a store with old data. Daemon 0
		// must be up to date, so that commit can prevent a second history.
		if m.backup != nil && m.highest[0] == m.headRevision() {
			m.store.restore(m.backup, m.revision)
		}
	}
}

func (m *model) headRevision() int64 {
	kv, _ := m.store.Get(context.Background(), headKey)
	h, _ := decodeHead(kv)
	return h.Revision
}

func (m *model) commit(t *rapid.T, d *Manager) {
	if d != m.daemons[0] && d.Current().Revision < m.highest[0] && m.headRevision() < m.highest[0] {
		return // the commit would start a second history on the restored data
	}
	o := upstream(rapid.IntRange(0, 3).Draw(t, "upstream"), nil)
	revision, err := d.Commit(context.Background(), operator, put(o))
	if err != nil {
		return
	}
	if other, ok := m.acked[revision]; ok {
		t.Fatalf("revision %d was acknowledged to two operators, also for %s", revision, other)
	}
	m.acked[revision] = o.Metadata.Name
	if got := d.Current().Set.Get(o.Ref()); got == nil || got.Metadata.Revision != revision {
		t.Fatalf("acknowledged revision %d of %s is not in force", revision, o.Ref())
	}
}

// Runs random sequences of commits, lost replies, outages, restored backups, and
// late and repeated deliveries. Guards against a daemon whose revision decreases, a
// revision that is acknowledged twice, an acknowledged change that is lost, and
// two daemons whose configurations differ at the same revision.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		seen := map[int64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			for i, d := range m.daemons {
				s := d.Current()
				if s.Revision != m.highest[i] {
					t.Fatalf("daemon %d is at revision %d after %d", i, s.Revision, m.highest[i])
				}
				if id, ok := seen[s.Revision]; ok && id != s.ChangeID {
					t.Fatalf("revision %d was made by changes %q and %q", s.Revision, id, s.ChangeID)
				}
				seen[s.Revision] = s.ChangeID
			}
		}
		latest := m.daemons[0].Current()
		for _, d := range m.daemons {
			if _ = d.LoadStore(context.Background()); d.Current().Revision > latest.Revision {
				latest = d.Current()
			}
		}
		for revision, name := range m.acked {
			o := latest.Set.Get(object.Ref{Kind: object.KindUpstream, Name: name})
			if o == nil || o.Metadata.Revision < revision {
				t.Fatalf("acknowledged revision %d of %s is lost", revision, name)
			}
		}
	})
}
