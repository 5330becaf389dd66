package config

import (
	"slices"
	"sort"
	"strings"

	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Snapshot is the whole configuration at one revision with indexes for the
// request path. It is immutable; slices that its methods return must not be
// modified.
type Snapshot struct {
	// Revision is the configuration revision; 0 means no configuration.
	Revision int64
	// ChangeID identifies the change that made the revision.
	ChangeID string
	Set      *object.Set

	accounts  map[string]*object.Object
	upstreams map[string][]*object.Object
	versions  map[string][]*object.Object
	routes    map[string][]*object.Object
	moves     map[string][]*object.Object
}

// AccountByKeyHash returns the client account that owns a key hash
// ("sha256:" and hex digest), or nil.
func (s *Snapshot) AccountByKeyHash(hash string) *object.Object { return s.accounts[hash] }

// Upstreams returns the upstreams of an UpstreamSelector in name order.
func (s *Snapshot) Upstreams(selector string) []*object.Object { return s.upstreams[selector] }

// Versions returns the versions of a service in name order.
func (s *Snapshot) Versions(service string) []*object.Object { return s.versions[service] }

// Routes returns the routes of a service, highest priority first, then by name.
func (s *Snapshot) Routes(service string) []*object.Object { return s.routes[service] }

// Moves returns the moves of a service, in all states, in name order.
func (s *Snapshot) Moves(service string) []*object.Object { return s.moves[service] }

// NewSnapshot builds a snapshot and all its indexes.
func NewSnapshot(set *object.Set, changeID string) *Snapshot {
	s := &Snapshot{Revision: set.Revision, ChangeID: changeID, Set: set}
	for _, kind := range object.Kinds() {
		s.rebuildIndex(kind)
	}
	s.upstreams = make(map[string][]*object.Object, set.Count(object.KindUpstreamSelector))
	set.Each(object.KindUpstreamSelector, func(o *object.Object) {
		s.upstreams[o.Metadata.Name] = matchingUpstreams(o, set)
	})
	return s
}

// withChanges returns the snapshot of a set in which the given objects have
// changed. It rebuilds only the indexes that the changes affect.
func (s *Snapshot) withChanges(set *object.Set, changeID string, changed []object.Ref) *Snapshot {
	n := *s
	n.Revision, n.ChangeID, n.Set = set.Revision, changeID, set
	byKind := make(map[object.Kind][]string)
	for _, ref := range changed {
		byKind[ref.Kind] = append(byKind[ref.Kind], ref.Name)
	}
	for kind := range byKind {
		n.rebuildIndex(kind)
	}
	n.upstreams = updateUpstreamIndex(s, set, byKind[object.KindUpstream], byKind[object.KindUpstreamSelector])
	return &n
}

// rebuildIndex rebuilds the index of one kind. Kinds without an index, and Upstream
// with its index by selector, are left as they are.
func (s *Snapshot) rebuildIndex(kind object.Kind) {
	switch kind {
	case object.KindClientAccount:
		s.accounts = make(map[string]*object.Object)
		s.Set.Each(kind, func(o *object.Object) {
			for _, hash := range o.Spec.(*object.ClientAccount).KeyHashes {
				s.accounts[hash] = o
			}
		})
	case object.KindVersion:
		s.versions = groupBy(s.Set, kind, func(o *object.Object) string { return o.Spec.(*object.Version).Service })
	case object.KindMove:
		s.moves = groupBy(s.Set, kind, func(o *object.Object) string { return o.Spec.(*object.Move).Service })
	case object.KindRoute:
		s.routes = groupBy(s.Set, kind, func(o *object.Object) string { return o.Spec.(*object.Route).Service })
		for _, routes := range s.routes {
			sort.SliceStable(routes, func(i, j int) bool {
				return routes[i].Spec.(*object.Route).Priority > routes[j].Spec.(*object.Route).Priority
			})
		}
	}
}

// groupBy groups the objects of a kind by a key, in name order.
func groupBy(set *object.Set, kind object.Kind, key func(*object.Object) string) map[string][]*object.Object {
	groups := make(map[string][]*object.Object)
	for _, o := range set.List(kind) {
		groups[key(o)] = append(groups[key(o)], o)
	}
	return groups
}

// matchingUpstreams returns the upstreams that a selector matches, in name order.
func matchingUpstreams(selector *object.Object, set *object.Set) []*object.Object {
	spec := selector.Spec.(*object.UpstreamSelector)
	var matched []*object.Object
	set.Each(object.KindUpstream, func(u *object.Object) {
		if spec.Selector.Matches(u.Metadata.Labels) {
			matched = append(matched, u)
		}
	})
	slices.SortFunc(matched, func(a, b *object.Object) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return matched
}

// updateUpstreamIndex updates the index of upstreams by selector. Changed selectors
// are matched against all upstreams, unchanged ones against changed upstreams.
func updateUpstreamIndex(s *Snapshot, set *object.Set, upstreams, selectors []string) map[string][]*object.Object {
	if len(upstreams) == 0 && len(selectors) == 0 {
		return s.upstreams
	}
	index := make(map[string][]*object.Object, set.Count(object.KindUpstreamSelector))
	set.Each(object.KindUpstreamSelector, func(o *object.Object) {
		name := o.Metadata.Name
		if slices.Contains(selectors, name) {
			index[name] = matchingUpstreams(o, set)
			return
		}
		index[name] = updateMatchingUpstreams(s.upstreams[name], o, set, upstreams)
	})
	return index
}

// updateMatchingUpstreams returns the matches of an unchanged selector after a
// change of the given upstreams. It does not modify current.
func updateMatchingUpstreams(current []*object.Object, selector *object.Object, set *object.Set, changed []string) []*object.Object {
	spec := selector.Spec.(*object.UpstreamSelector)
	copied := false
	for _, name := range changed {
		o := set.Get(object.Ref{Kind: object.KindUpstream, Name: name})
		matches := o != nil && spec.Selector.Matches(o.Metadata.Labels)
		at, found := slices.BinarySearchFunc(current, name, func(o *object.Object, name string) int {
			return strings.Compare(o.Metadata.Name, name)
		})
		if !matches && !found {
			continue
		}
		if !copied {
			// One spare element avoids a second copy when an upstream is inserted.
			current, copied = append(make([]*object.Object, 0, len(current)+1), current...), true
		}
		switch {
		case matches && found:
			current[at] = o
		case matches:
			current = slices.Insert(current, at, o)
		default:
			current = slices.Delete(current, at, at+1)
		}
	}
	return current
}

// withRecord returns the snapshot after the change in a change record.
func (s *Snapshot) withRecord(r *audit.Record) *Snapshot {
	var puts []*object.Object
	var deletes, changed []object.Ref
	for _, e := range r.Objects {
		changed = append(changed, e.Ref)
		if e.Object == nil {
			deletes = append(deletes, e.Ref)
			continue
		}
		puts = append(puts, e.Object)
	}
	return s.withChanges(s.Set.With(r.Revision, puts, deletes), r.ChangeID, changed)
}
