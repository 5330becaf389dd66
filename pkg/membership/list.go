package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// List is the daemon's view of all members. It is safe for concurrent use.
type List struct {
	config Config
	clock  clockwork.Clock

	mu            sync.Mutex
	self          Member
	entries       map[string]*entry   // by daemon ID, without self
	liveByNodeKey map[string]string   // daemon ID of the live member by nodeKey
	queue         map[string]*update  // updates to send, by daemon ID
	contacts      map[string]*contact // by daemon ID
	// refutedDeaths holds the dead records that live members have refuted, by daemon
	// ID. Each is sent to its member, which may not know that it was declared dead.
	refutedDeaths  map[string]Member
	declaredDeadAt uint64 // highest incarnation at which this daemon is known to have been declared dead
	lastFullState  time.Time
	lastTick       time.Time
	targets        []string // cached probe targets, nil if stale
	overlay        *Overlay // cached, nil if stale
	hash           uint64   // cached result of stateHash, stale unless hashValid
	hashValid      bool
	pendingHooks   []func() // called by unlock
}

// contact describes the list of a live member according to its last message.
type contact struct {
	hash       uint64
	mismatches int // consecutive replies with a hash that differs from this list's
}

type entry struct {
	Member
	// deadline ends the suspicion of a suspect and the retention of a gone member.
	deadline   time.Time
	superseded bool     // a later process has the same name and peer address
	positions  []uint64 // on the hash rings, computed on demand
}

// NewList returns a list that holds only self. If self has no incarnation, it is
// set to the Unix time in milliseconds, so that a restarted process supersedes
// the earlier one.
func NewList(config Config, self Member, clock clockwork.Clock) *List {
	config = config.withDefaults(xxhash.Sum64String(self.DaemonID))
	if self.Incarnation == 0 {
		self.Incarnation = uint64(clock.Now().UnixMilli())
	}
	if self.State == 0 {
		self.State = Alive
	}
	l := &List{
		config:        config,
		clock:         clock,
		self:          self,
		entries:       make(map[string]*entry),
		liveByNodeKey: make(map[string]string),
		queue:         make(map[string]*update),
		contacts:      make(map[string]*contact),
		refutedDeaths: make(map[string]Member),
		lastTick:      clock.Now(),
	}
	l.enqueue(self.DaemonID, "")
	return l
}

// Config returns the parameters with defaults filled in.
func (l *List) Config() Config { return l.config }

// unlock releases the lock and then calls the pending hooks.
func (l *List) unlock() {
	pendingHooks := l.pendingHooks
	l.pendingHooks = nil
	l.mu.Unlock()
	for _, hook := range pendingHooks {
		hook()
	}
}

// changed invalidates the cached values and schedules the hook Changed.
func (l *List) changed() {
	l.overlay, l.targets, l.hashValid = nil, nil, false
	if hook := l.config.Hooks.Changed; hook != nil && len(l.pendingHooks) == 0 {
		l.pendingHooks = append(l.pendingHooks, hook)
	}
}

// Self returns the daemon's own record.
func (l *List) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// SetSelf changes the daemon's own record. Changes of identity, incarnation
// and state are ignored, and the configuration revision never decreases. A change
// of a gossiped field raises the incarnation.
func (l *List) SetSelf(change func(*Member)) {
	l.mu.Lock()
	defer l.unlock()
	next := l.self
	change(&next)
	l.self.ConfigRevision = max(l.self.ConfigRevision, next.ConfigRevision)
	if next.Overloaded == l.self.Overloaded && next.Successor == l.self.Successor {
		return
	}
	l.self.Overloaded, l.self.Successor = next.Overloaded, next.Successor
	l.raiseIncarnation(l.self.Incarnation)
}

// SetLeaving announces that the daemon has started to leave.
func (l *List) SetLeaving() { l.announce(Leaving) }

// SetLeft announces that the daemon has left. It can't be undone.
func (l *List) SetLeft() { l.announce(Left) }

func (l *List) announce(state State) {
	l.mu.Lock()
	defer l.unlock()
	if l.self.State.rank() >= state.rank() {
		return
	}
	l.self.State = state
	l.raiseIncarnation(l.self.Incarnation)
}

// raiseIncarnation sets the daemon's own incarnation above other and gossips its record.
func (l *List) raiseIncarnation(other uint64) {
	l.self.Incarnation = max(l.self.Incarnation, other) + 1
	l.enqueue(l.self.DaemonID, "")
	l.changed()
}

// Members returns all records, including self and the gone members that are
// still retained, sorted by daemon ID.
func (l *List) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members()
}

func (l *List) members() []Member {
	members := make([]Member, 0, len(l.entries)+1)
	members = append(members, l.self)
	for _, e := range l.entries {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, compareIDs)
	return members
}

// Member returns the record of a daemon ID.
func (l *List) Member(daemonID string) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record(daemonID)
}

func (l *List) record(daemonID string) (Member, bool) {
	if daemonID == l.self.DaemonID {
		return l.self, true
	}
	if e, ok := l.entries[daemonID]; ok {
		return e.Member, true
	}
	return Member{}, false
}

// Overlay returns the selections that follow from the current members.
func (l *List) Overlay() *Overlay {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overlay == nil {
		l.overlay = NewOverlay(l.self.DaemonID, l.members())
	}
	return l.overlay
}

// Tick declares suspects dead whose suspicion has timed out and deletes gone
// members whose retention has ended. Call it several times per probe interval.
func (l *List) Tick() {
	l.mu.Lock()
	defer l.unlock()
	now := l.clock.Now()
	l.handlePause(now)
	for id, e := range l.entries {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		if e.State.Gone() {
			delete(l.entries, id)
			delete(l.queue, id)
			delete(l.refutedDeaths, id)
			continue
		}
		dead := e.Member
		dead.State = Dead
		l.setRecord(dead, "")
	}
}

// handlePause handles a pause of the whole process. Suspects could not refute
// during it, so their suspicions are extended by its length. After a pause longer
// than the retention, the other members no longer have the record by which they
// declared this daemon dead, so the daemon assumes that they did.
func (l *List) handlePause(now time.Time) {
	pause := now.Sub(l.lastTick)
	l.lastTick = now
	if pause <= 2*l.config.ProbeInterval {
		return
	}
	for _, e := range l.entries {
		if e.State == Suspect {
			e.deadline = e.deadline.Add(pause)
		}
	}
	if pause >= l.config.Retention {
		l.declaredDead(l.self.Incarnation)
	}
}

// stateHash returns a hash of all members that aren't gone. It doesn't depend on
// their order.
func (l *List) stateHash() uint64 {
	if l.hashValid {
		return l.hash
	}
	l.hash = memberHash(l.self)
	for _, e := range l.entries {
		if !e.State.Gone() {
			l.hash ^= memberHash(e.Member)
		}
	}
	l.hashValid = true
	return l.hash
}
