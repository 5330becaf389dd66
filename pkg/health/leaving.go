package health

import "time"

// maxNotices is the maximum number of stored notices: about twice the number of
// upstreams that the largest fleet replaces in a day, plus those of a whole data
// centre.
const maxNotices = 4096

// notice is a leaving notice.
type notice struct {
	incarnation string // empty means any
	signal      Signal
	at          time.Time // when it was recorded
}

// appliesTo reports whether the notice applies to an incarnation. A notice that
// arrives without one applies to the incarnation known at that time, or to any
// if none is known.
func (n notice) appliesTo(incarnation string) bool {
	return n.incarnation == "" || n.incarnation == incarnation
}

// MarkLeaving records a leaving notice for an upstream, which may not be a
// member yet, and reports whether the notice is new. The first signal is kept
// and later ones have no effect. From this call on the upstream's weight is 0.
// Instance lists that still contain the upstream don't revoke the notice; only
// a new incarnation in Sync does.
func (t *Tracker) MarkLeaving(name, incarnation string, signal Signal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.members[name]
	if incarnation == "" && s != nil {
		incarnation = s.Incarnation
	}
	if old, ok := t.notices.Peek(name); ok && old.appliesTo(incarnation) {
		return false
	}
	now := t.config.Clock.Now()
	t.notices.Add(name, notice{incarnation, signal, now})
	if s != nil {
		t.applyEjections(now)
	}
	return true
}

// bindNotice sets the incarnation of a notice that arrived before the member was
// known, so that the notice no longer applies after a restart.
func (t *Tracker) bindNotice(m Member) {
	if n, ok := t.notices.Peek(m.Name); ok && n.incarnation == "" && m.Incarnation != "" {
		n.incarnation = m.Incarnation
		t.notices.Add(m.Name, n)
	}
}

// leaving reports whether a notice applies to the member.
func (t *Tracker) leaving(s *state) bool {
	n, ok := t.notices.Peek(s.Name)
	return ok && n.appliesTo(s.Incarnation)
}
