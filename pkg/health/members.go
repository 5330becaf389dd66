package health

// Sync replaces the set of members. Members that stay keep their state unless
// their incarnation changed; a new incarnation starts with slow start.
func (t *Tracker) Sync(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = true
		t.put(m)
	}
	for name := range t.members {
		if !present[name] {
			t.remove(name)
		}
	}
	t.applyEjections(t.config.Clock.Now())
}

// Update adds or replaces members and removes others by name, as Sync would with the
// resulting set. Its cost follows the number of changes: members of other versions, and
// of versions without a requested ejection, are not visited.
func (t *Tracker) Update(put []Member, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[*versionSet]bool{}
	for _, name := range removed {
		if s := t.members[name]; s != nil {
			touched[s.set] = true
			t.remove(name)
		}
	}
	changed := make([]*state, 0, len(put))
	for _, m := range put {
		if s := t.members[m.Name]; s != nil {
			touched[s.set] = true
		}
		s := t.put(m)
		touched[s.set] = true
		changed = append(changed, s)
	}
	now := t.config.Clock.Now()
	for set := range touched {
		if set.requested == 0 {
			continue
		}
		t.applyVersionEjections(set.members)
		for _, s := range set.members {
			t.publishStatus(s, now)
		}
	}
	for _, s := range changed {
		if s == t.members[s.Name] {
			t.publishStatus(s, now)
		}
	}
}

// put adds or replaces a member and returns its state. The caller holds the lock.
func (t *Tracker) put(m Member) *state {
	s := t.members[m.Name]
	switch {
	case s == nil:
		s = &state{Member: m}
	case s.Incarnation != m.Incarnation:
		t.leaveSet(s)
		s = &state{Member: m, slowStartBegin: t.config.Clock.Now()}
	case s.Service != m.Service || s.Version != m.Version:
		t.leaveSet(s)
	}
	s.Member = m
	t.members[m.Name] = s
	if s.set == nil {
		t.joinSet(s)
	}
	t.bindNotice(m)
	return s
}

// remove removes a member. The caller holds the lock.
func (t *Tracker) remove(name string) {
	t.leaveSet(t.members[name])
	delete(t.members, name)
}

// joinSet adds a member to the set of its version. The caller holds the lock.
func (t *Tracker) joinSet(s *state) {
	key := versionKey{s.Service, s.Version}
	set := t.versions[key]
	if set == nil {
		set = &versionSet{}
		t.versions[key] = set
	}
	s.set, s.position = set, len(set.members)
	set.members = append(set.members, s)
	if s.ejectionReason != ReasonNone {
		set.requested++
	}
}

// leaveSet removes a member from the set of its version. The caller holds the lock.
func (t *Tracker) leaveSet(s *state) {
	set := s.set
	last := len(set.members) - 1
	set.members[s.position] = set.members[last]
	set.members[s.position].position = s.position
	set.members[last] = nil
	set.members = set.members[:last]
	if s.ejectionReason != ReasonNone {
		set.requested--
	}
	if last == 0 {
		delete(t.versions, versionKey{s.Service, s.Version})
	}
	s.set = nil
}
