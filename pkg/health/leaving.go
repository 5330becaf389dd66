package health

import "time"

// maxNotices bounds the remembered notices; about twice the replacements of
// the largest fleet in a day, plus a whole data centre.
const maxNotices = 4096

type notice struct {
	incarnation string
	signal      Signal
	at          time.Time
}

// covers reports whether the notice applies to an incarnation. A notice
// without one applies to the incarnation that was known when it arrived, or
// to any if none was known.
func (n notice) covers(incarnation string) bool {
	return n.incarnation == "" || n.incarnation == incarnation
}

// Leaving records a leaving notice; the first signal wins and later ones have
// no effect. From this call on the upstream's weight is 0, and instance lists
// that still name it don't revoke the notice. Only a new incarnation in Sync
// ends it. The name may be unknown yet. Leaving reports whether the notice is
// new.
func (t *Tracker) Leaving(name, incarnation string, signal Signal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.members[name]
	if incarnation == "" && s != nil {
		incarnation = s.Incarnation
	}
	if old, ok := t.notices.Peek(name); ok && old.covers(incarnation) {
		return false
	}
	now := t.config.Clock.Now()
	t.notices.Add(name, notice{incarnation, signal, now})
	if s != nil {
		t.settle(now)
	}
	return true
}

// bindNotice ties a notice that arrived before the member was known to the
// member's incarnation, so that a later restart ends it.
func (t *Tracker) bindNotice(m Member) {
	if n, ok := t.notices.Peek(m.Name); ok && n.incarnation == "" && m.Incarnation != "" {
		n.incarnation = m.Incarnation
		t.notices.Add(m.Name, n)
	}
}

// leaving reports whether a notice covers the member.
func (t *Tracker) leaving(s *state) bool {
	n, ok := t.notices.Peek(s.Name)
	return ok && n.covers(s.Incarnation)
}
