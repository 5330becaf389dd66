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
	entries       map[string]*entry // by daemon ID, without self
	places        map[string]string // name and address to live daemon ID
	queue         map[string]*update
	contacts      map[string]*contact // by daemon ID
	revived       map[string]Member   // dead records that live members have refuted, to be told to them
	deadAt        uint64              // highest incarnation at which this daemon is known to have been declared dead
	lastFullState time.Time
	lastTick      time.Time
	targets       []string // cached probe targets, nil if stale
	overlay       *Overlay // cached, nil if stale
	hash          uint64
	hashValid     bool
	events        []func()
}

// contact is what the last message of a live member told about its list.
type contact struct {
	hash       uint64
	mismatches int // replies in a row with a hash other than the own one
}

type entry struct {
	Member
	// deadline ends the suspicion of a suspect and the retention of a gone member.
	deadline   time.Time
	superseded bool // a later process runs at the same place
	positions  []uint64
}

// NewList returns a list that holds only self. If self has no incarnation, it
// starts at the wall clock in milliseconds, so that a restarted process
// supersedes the earlier one.
func NewList(config Config, self Member, clock clockwork.Clock) *List {
	config = config.withDefaults(xxhash.Sum64String(self.DaemonID))
	if self.Incarnation == 0 {
		self.Incarnation = uint64(clock.Now().UnixMilli())
	}
	if self.State == 0 {
		self.State = Alive
	}
	l := &List{
		config:   config,
		clock:    clock,
		self:     self,
		entries:  make(map[string]*entry),
		places:   make(map[string]string),
		queue:    make(map[string]*update),
		contacts: make(map[string]*contact),
		revived:  make(map[string]Member),
		lastTick: clock.Now(),
	}
	l.enqueue(self.DaemonID, "")
	return l
}

// Config returns the parameters in force.
func (l *List) Config() Config { return l.config }

// unlock releases the lock and then calls the hooks that are due.
func (l *List) unlock() {
	events := l.events
	l.events = nil
	l.mu.Unlock()
	for _, event := range events {
		event()
	}
}

func (l *List) changed() {
	l.overlay, l.targets, l.hashValid = nil, nil, false
	if hook := l.config.Hooks.Changed; hook != nil && len(l.events) == 0 {
		l.events = append(l.events, hook)
	}
}

// Self returns the daemon's own record.
func (l *List) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// SetSelf changes the daemon's own record. Changes of identity, incarnation
// and state are ignored, and the configuration revision never falls. A change
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
	l.raise(l.self.Incarnation)
}

// SetLeaving announces that the daemon began to leave.
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
	l.raise(l.self.Incarnation)
}

// raise moves the own incarnation above other and gossips the own record.
func (l *List) raise(other uint64) {
	l.self.Incarnation = max(l.self.Incarnation, other) + 1
	l.enqueue(l.self.DaemonID, "")
	l.changed()
}

// Members returns all records, including self and the gone members that are
// still kept, in the order of their daemon IDs.
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

// Overlay returns the choices that follow from the present members.
func (l *List) Overlay() *Overlay {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overlay == nil {
		l.overlay = NewOverlay(l.self.DaemonID, l.members())
	}
	return l.overlay
}

// Tick ends suspicions and retentions that are due. Call it several times in a
// probe interval.
func (l *List) Tick() {
	l.mu.Lock()
	defer l.unlock()
	now := l.clock.Now()
	l.resume(now)
	for id, e := range l.entries {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		if e.State.Gone() {
			delete(l.entries, id)
			delete(l.queue, id)
			delete(l.revived, id)
			continue
		}
		dead := e.Member
		dead.State = Dead
		l.store(dead, "")
	}
}

// resume handles a pause of the whole process. Members had no chance to refute
// during it, so suspicions are prolonged by its length. After a pause longer
// than the retention the others no longer remember that they declared this
// daemon dead, so it assumes that they did.
func (l *List) resume(now time.Time) {
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
		l.givenUp(l.self.Incarnation)
	}
}

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
