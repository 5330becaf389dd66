package object

import (
	"sort"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Validate checks every object and the references between them. The error has
// one of the codes InvalidObject, ReferenceBroken, SelectorConflict and
// MoveConflict and names the object and the field. If several objects are
// wrong, the first one in the order of Kinds and names is reported.
func (s *Set) Validate() error {
	for _, o := range s.All() {
		if err := o.Validate(); err != nil {
			return err
		}
	}
	return s.validateRelations()
}

// ValidateChange checks a set that differs from the valid set previous only in the
// given objects. Its result equals that of Validate, except that open moves that
// the change adds or reopens must also have a deadline after now. The cost does not
// depend on the number of unchanged upstreams.
func (s *Set) ValidateChange(previous *Set, changed []Ref, now time.Time) error {
	checkRelations := false
	for _, ref := range sortedRefs(changed) {
		o, old := s.Get(ref), previous.Get(ref)
		if o != nil {
			if err := o.Validate(); err != nil {
				return err
			}
			if err := validateDeadline(o, old, now); err != nil {
				return err
			}
		}
		checkRelations = checkRelations || ref.Kind != KindUpstream || s.lostLabelKey(old)
	}
	if !checkRelations {
		return nil
	}
	return s.validateRelations()
}

func sortedRefs(refs []Ref) []Ref {
	order := make(map[Kind]int)
	for i, kind := range Kinds() {
		order[kind] = i
	}
	sorted := append([]Ref(nil), refs...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Kind != sorted[j].Kind {
			return order[sorted[i].Kind] < order[sorted[j].Kind]
		}
		return sorted[i].Name < sorted[j].Name
	})
	return sorted
}

// lostLabelKey reports whether old carried a label key that no object of s has.
func (s *Set) lostLabelKey(old *Object) bool {
	if old == nil {
		return false
	}
	for key := range old.Metadata.Labels {
		if !s.HasLabelKey(key) {
			return true
		}
	}
	return false
}

// validateDeadline refuses a past deadline when a move is opened or its deadline
// changes. A deadline that passes later does not make the set invalid.
func validateDeadline(o, old *Object, now time.Time) error {
	m, ok := o.Spec.(*Move)
	if !ok || !m.Open() || m.Deadline.After(now) {
		return nil
	}
	if old != nil {
		if before, ok := old.Spec.(*Move); ok && before.Open() && before.Deadline.Equal(m.Deadline) {
			return nil
		}
	}
	return validator{ref: o.Ref()}.invalid("spec.deadline", "%s is in the past", m.Deadline.Format(time.RFC3339))
}

// validateRelations checks references and overlaps. It visits all objects except
// upstreams, which have no references.
func (s *Set) validateRelations() error {
	checks := []struct {
		kind  Kind
		check func(validator, *Object) error
	}{
		{KindVersion, s.versionRefs},
		{KindUpstreamSelector, s.selectorRefs},
		{KindRoute, s.routeRefs},
		{KindMove, s.moveRefs},
	}
	for _, item := range checks {
		for _, o := range s.List(item.kind) {
			if err := item.check(validator{ref: o.Ref()}, o); err != nil {
				return err
			}
		}
	}
	if err := s.uniqueKeyHashes(); err != nil {
		return err
	}
	if err := s.routeOverlaps(); err != nil {
		return err
	}
	return s.moveOverlaps()
}

func (s *Set) exists(c validator, field string, kind Kind, name string) error {
	if s.Get(Ref{Kind: kind, Name: name}) == nil {
		return c.fail(result.ReferenceBroken, field, "%s/%s does not exist", kind, name)
	}
	return nil
}

func (s *Set) versionRefs(c validator, o *Object) error {
	v := o.Spec.(*Version)
	if err := s.exists(c, "spec.service", KindService, v.Service); err != nil {
		return err
	}
	return s.exists(c, "spec.selector", KindUpstreamSelector, v.Selector)
}

func (s *Set) selectorRefs(c validator, o *Object) error {
	return s.labelKeysExist(c, "spec.selector", o.Spec.(*UpstreamSelector).Selector)
}

// labelKeysExist refuses a label key that no object carries, because it is probably
// misspelt.
func (s *Set) labelKeysExist(c validator, field string, selector Selector) error {
	for key := range selector.MatchLabels {
		if !s.HasLabelKey(key) {
			return c.fail(result.ReferenceBroken, field+".matchLabels", "unknown label: no object carries the label key %q", key)
		}
	}
	for _, r := range selector.MatchExpressions {
		if !s.HasLabelKey(r.Key) {
			return c.fail(result.ReferenceBroken, field+".matchExpressions", "unknown label: no object carries the label key %q", r.Key)
		}
	}
	return nil
}

// versionBelongsTo checks that the version exists and belongs to the service.
func (s *Set) versionBelongsTo(c validator, field, service, version string) error {
	v, _, ok := Lookup[*Version](s, KindVersion, version)
	if !ok {
		return c.fail(result.ReferenceBroken, field, "%s/%s does not exist", KindVersion, version)
	}
	if v.Service != service {
		return c.fail(result.ReferenceBroken, field, "%s/%s belongs to service %q and not to %q", KindVersion, version, v.Service, service)
	}
	return nil
}

func (s *Set) routeRefs(c validator, o *Object) error {
	r := o.Spec.(*Route)
	if err := s.exists(c, "spec.service", KindService, r.Service); err != nil {
		return err
	}
	for _, share := range r.Shares {
		if err := s.versionBelongsTo(c, "spec.shares.version", r.Service, share.Version); err != nil {
			return err
		}
	}
	if err := s.operationExists(c, r); err != nil {
		return err
	}
	return s.labelKeysExist(c, "spec.accounts", r.Accounts)
}

func (s *Set) operationExists(c validator, r *Route) error {
	if r.Operation == "" {
		return nil
	}
	service, _, _ := Lookup[*Service](s, KindService, r.Service)
	for _, op := range service.Operations {
		if op.Name == r.Operation {
			return nil
		}
	}
	return c.fail(result.ReferenceBroken, "spec.operation", "service %q has no operation %q", r.Service, r.Operation)
}

// moveRefs checks the references that are required in the move's state: an open move
// requires both versions, a completed one the new version, and the others none, so
// that versions of ended moves can be deleted.
func (s *Set) moveRefs(c validator, o *Object) error {
	m := o.Spec.(*Move)
	if !m.Open() && m.State != MoveDone {
		return nil
	}
	if err := s.exists(c, "spec.service", KindService, m.Service); err != nil {
		return err
	}
	if err := s.versionBelongsTo(c, "spec.to", m.Service, m.To); err != nil {
		return err
	}
	if !m.Open() {
		return nil
	}
	if err := s.versionBelongsTo(c, "spec.from", m.Service, m.From); err != nil {
		return err
	}
	if m.Route != "" {
		route, _, ok := Lookup[*Route](s, KindRoute, m.Route)
		if !ok {
			return c.fail(result.ReferenceBroken, "spec.route", "%s/%s does not exist", KindRoute, m.Route)
		}
		if route.Service != m.Service {
			return c.fail(result.ReferenceBroken, "spec.route", "%s/%s belongs to service %q and not to %q", KindRoute, m.Route, route.Service, m.Service)
		}
	}
	return s.labelKeysExist(c, "spec.accounts", m.Accounts)
}

func (s *Set) uniqueKeyHashes() error {
	owner := make(map[string]string)
	for _, o := range s.List(KindClientAccount) {
		for i, hash := range o.Spec.(*ClientAccount).KeyHashes {
			if other, ok := owner[hash]; ok {
				return validator{ref: o.Ref()}.invalid("spec.keyHashes", "entry %d also belongs to %s/%s", i+1, KindClientAccount, other)
			}
			owner[hash] = o.Metadata.Name
		}
	}
	return nil
}

func (s *Set) routeOverlaps() error {
	type group struct {
		service  string
		priority int
	}
	groups := make(map[group][]*Object)
	for _, o := range s.List(KindRoute) {
		r := o.Spec.(*Route)
		key := group{r.Service, r.Priority}
		for _, other := range groups[key] {
			if r.Overlaps(other.Spec.(*Route)) {
				return validator{ref: o.Ref()}.fail(result.SelectorConflict, "spec.priority",
					"%s has the same priority %d and matches some of the same requests", other.Ref(), r.Priority)
			}
		}
		groups[key] = append(groups[key], o)
	}
	return nil
}

func (s *Set) moveOverlaps() error {
	groups := make(map[string][]*Object)
	for _, o := range s.List(KindMove) {
		m := o.Spec.(*Move)
		if !m.Open() {
			continue
		}
		for _, other := range groups[m.Service] {
			if m.Overlaps(other.Spec.(*Move)) {
				return validator{ref: o.Ref()}.fail(result.MoveConflict, "spec.start",
					"%s of service %q is open and overlaps", other.Ref(), m.Service)
			}
		}
		groups[m.Service] = append(groups[m.Service], o)
	}
	return nil
}
