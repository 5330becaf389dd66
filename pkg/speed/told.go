package speed

import "time"

// told is what a learner remembers of the coordinators that it has heard.
type told struct {
	token   int64         // fencing token of the latest one
	since   time.Duration // when it was heard first
	heardAt time.Duration // when one was heard last
	any     bool          // something that was told is held
	earlier bool          // something that an earlier one told may be held
}

// Heard records an answer of the coordinator with the given fencing token, before Apply. What
// coordinators told is dropped when none has been heard for retention.
func (l *Learner) Heard(token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told.heardAt = l.now()
	if token > l.told.token {
		l.told.token, l.told.since, l.told.earlier = token, l.told.heardAt, true
	}
}

// dropTold drops what coordinators told if none has been heard for a time, and what earlier
// ones told if the latest hasn't told it again. The caller holds the lock.
func (l *Learner) dropTold() {
	now := l.now()
	lost := l.told.any && now-l.told.heardAt > retention
	if !lost && (!l.told.earlier || now-l.told.since <= retention) {
		return
	}
	for _, k := range l.services {
		if k.shared && (lost || k.token != l.told.token) {
			k.setModel(priorModel, 0)
			k.shared = false
		}
		for _, e := range k.estimates {
			if e.shared && (lost || e.token != l.told.token) {
				k.drop(e)
			}
		}
	}
	l.ownIndex = 0
	l.told.any, l.told.earlier = l.told.any && !lost, false
}
