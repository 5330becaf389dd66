package object

import (
	"maps"
	"sort"
)

// Set is an immutable collection of objects by kind and name. Methods that
// change it return a new set. Objects in a set must not be modified.
type Set struct {
	// Revision is the configuration revision that the set reflects.
	Revision int64
	// objects is split by kind so that With copies only the kinds it changes.
	objects map[Kind]map[string]*Object
	// labelKeys counts the objects that carry each label key.
	labelKeys map[string]int
}

// NewSet returns a set of the given objects at a configuration revision.
func NewSet(revision int64, objects ...*Object) *Set {
	s := &Set{
		Revision:  revision,
		objects:   make(map[Kind]map[string]*Object),
		labelKeys: make(map[string]int),
	}
	for _, o := range objects {
		if s.objects[o.Kind] == nil {
			s.objects[o.Kind] = make(map[string]*Object)
		}
		s.put(o)
	}
	return s
}

// Get returns the object or nil.
func (s *Set) Get(ref Ref) *Object { return s.objects[ref.Kind][ref.Name] }

// Len returns the number of objects.
func (s *Set) Len() int {
	n := 0
	for _, byName := range s.objects {
		n += len(byName)
	}
	return n
}

// Count returns the number of objects of a kind.
func (s *Set) Count(kind Kind) int { return len(s.objects[kind]) }

// Lookup returns the typed specification of an object and its metadata.
func Lookup[T Spec](s *Set, kind Kind, name string) (T, *Metadata, bool) {
	var zero T
	o := s.Get(Ref{Kind: kind, Name: name})
	if o == nil {
		return zero, nil, false
	}
	spec, ok := o.Spec.(T)
	if !ok {
		return zero, nil, false
	}
	return spec, &o.Metadata, true
}

// Each calls f for every object of a kind in an unspecified order.
func (s *Set) Each(kind Kind, f func(*Object)) {
	for _, o := range s.objects[kind] {
		f(o)
	}
}

// List returns the objects of a kind in name order.
func (s *Set) List(kind Kind) []*Object {
	list := make([]*Object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Metadata.Name < list[j].Metadata.Name })
	return list
}

// All returns all objects, in the order of Kinds and by name within a kind.
func (s *Set) All() []*Object {
	all := make([]*Object, 0, s.Len())
	for _, kind := range Kinds() {
		all = append(all, s.List(kind)...)
	}
	return all
}

// HasLabelKey reports whether any object carries a label with this key.
func (s *Set) HasLabelKey(key string) bool { return s.labelKeys[key] > 0 }

// With returns a copy at revision with puts applied and deletes removed.
func (s *Set) With(revision int64, puts []*Object, deletes []Ref) *Set {
	next := &Set{
		Revision:  revision,
		objects:   maps.Clone(s.objects),
		labelKeys: maps.Clone(s.labelKeys),
	}
	cloned := make(map[Kind]bool)
	cloneKind := func(kind Kind) {
		if cloned[kind] {
			return
		}
		cloned[kind] = true
		next.objects[kind] = maps.Clone(next.objects[kind])
		if next.objects[kind] == nil {
			next.objects[kind] = make(map[string]*Object)
		}
	}
	for _, ref := range deletes {
		cloneKind(ref.Kind)
		next.remove(ref)
	}
	for _, o := range puts {
		cloneKind(o.Kind)
		next.put(o)
	}
	return next
}

func (s *Set) put(o *Object) {
	s.remove(o.Ref())
	s.objects[o.Kind][o.Metadata.Name] = o
	for key := range o.Metadata.Labels {
		s.labelKeys[key]++
	}
}

func (s *Set) remove(ref Ref) {
	old, ok := s.objects[ref.Kind][ref.Name]
	if !ok {
		return
	}
	delete(s.objects[ref.Kind], ref.Name)
	for key := range old.Metadata.Labels {
		if s.labelKeys[key]--; s.labelKeys[key] == 0 {
			delete(s.labelKeys, key)
		}
	}
}
