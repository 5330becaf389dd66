package object

// Set is an immutable collection of objects by kind and name. Methods that
// change it return a new set.
type Set struct {
	// Revision is the configuration revision that the set reflects.
	Revision int64
	objects  map[Ref]*Object
}

// NewSet returns a set of the given objects at a configuration revision.
func NewSet(revision int64, objects ...*Object) *Set {
	s := &Set{Revision: revision, objects: make(map[Ref]*Object, len(objects))}
	for _, o := range objects {
		s.objects[o.Ref()] = o
	}
	return s
}

// Get returns the object or nil.
func (s *Set) Get(ref Ref) *Object { return s.objects[ref] }

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

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
	for ref, o := range s.objects {
		if ref.Kind == kind {
			f(o)
		}
	}
}

// With returns a copy at revision with puts applied and deletes removed.
func (s *Set) With(revision int64, puts []*Object, deletes []Ref) *Set {
	next := &Set{Revision: revision, objects: make(map[Ref]*Object, len(s.objects)+len(puts))}
	for ref, o := range s.objects {
		next.objects[ref] = o
	}
	for _, ref := range deletes {
		delete(next.objects, ref)
	}
	for _, o := range puts {
		next.objects[o.Ref()] = o
	}
	return next
}
