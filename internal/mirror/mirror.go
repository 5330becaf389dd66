// Package mirror keeps a copy of the keys under a prefix of the platform's store
// in memory. It lists the keys once and then long-polls for changes. It records
// when the copy was last known to be current, so that readers can reject an
// outdated copy. A mirror can also be updated from the mirror of another daemon.
package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// firstPollWait is the wait of the first poll after a failure or a time without
	// polls, so that the copy is soon known to be current.
	firstPollWait = 50 * time.Millisecond
	// maxHoldOff is the longest time for which Config.HoldOff keeps the mirror from
	// polling.
	maxHoldOff = 3 * time.Second
	// relayCheckInterval is the interval of the checks whether updates still come
	// from another daemon.
	relayCheckInterval = 100 * time.Millisecond
	// listTimeout is the timeout of a list, which may have several pages. Each page has a
	// shorter one. A list that is cut off begins again with its first page, so this one only
	// ends a list that makes too little progress to be of use.
	listTimeout = 15 * time.Second
	// pollReplyMargin is the time for the reply to a poll to arrive after its wait.
	pollReplyMargin = 700 * time.Millisecond
	// replyTime is the usual time for the reply to a poll to arrive after its wait.
	replyTime = 300 * time.Millisecond
	// rewriteTime is the time within which the owners of entries that expired in an outage
	// write them again after it.
	rewriteTime = 2 * time.Second
	// expiryGrace is how long entries that disappeared around an outage of the store are
	// kept after the last failed call.
	expiryGrace = rewriteTime + 300*time.Millisecond
	// expiryTime is the shortest outage in which an entry can expire: owners write about
	// every second, and an entry expires after three missed writes.
	expiryTime = 2 * time.Second
	// minOutage is the shortest outage after which a daemon whose own calls failed delays
	// removals.
	minOutage = 1500 * time.Millisecond
)

// Poller is a store that supports long polls.
type Poller interface {
	store.Store
	// Poll returns the changes under prefix after a revision, and the revision to
	// continue from. It waits up to wait for the first change. It returns
	// store.ErrCompacted if the store no longer has the changes since then.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error)
}

// Change is one change of a key.
type Change struct {
	store.KeyValue
	Deleted bool
}

// Config holds the parameters of a Mirror.
type Config struct {
	Store Poller
	Log   *slog.Logger
	// Prefix selects the keys to copy. It should exclude keys that change often and
	// that no reader needs, because each change ends the poll of every daemon.
	Prefix string
	// MaxValueBytes is the largest value that is kept; 0 means no limit. The value of a
	// larger entry is dropped, so that other writers can't exhaust the memory of the
	// daemon or the size of what it relays to others.
	MaxValueBytes int
	// MaxPollWait returns the maximum wait of a poll. While the store answers, the
	// copy is known to be current as of at most that long ago.
	MaxPollWait func() time.Duration
	// PollPause returns the pause between two polls, which limits the number of calls
	// during a burst of changes.
	PollPause func() time.Duration
	// Backoff returns the limits of the base of the backoff after a failed call; nil
	// means DefaultBackoff. The wait is between once and twice the base.
	Backoff func() Backoff
	// PauseAfterList delays the first poll after a list, because updates from another
	// daemon are expected by then.
	PauseAfterList bool
	// HoldOff reports whether calls to the store would fail at present, for example
	// because those of another mirror do. Nil means never.
	HoldOff func() bool
	// Now returns the time since a fixed moment, including suspensions of the machine.
	Now func() time.Duration
	// Contact is shared by the mirrors of a daemon. Nil means that this is the only one.
	Contact *Contact
	// DelayRemoval reports whether the removal of a key is delayed if an outage of
	// the store may have caused it.
	DelayRemoval func(key string) bool
	// Newer reports whether the contents of a restored entry show that it was written after
	// the known one. Nil means that they never do.
	Newer func(key string, known, restored []byte) bool
	// Unreconciled reports whether the contents of the store count at once for a key, also
	// just after a restore. Nil means never.
	Unreconciled func(key string) bool
	// OnConnectivityChange is called when a call to the store fails, and when the
	// first call after a failure succeeds: polls that were sent in between may never
	// be answered. It must not block.
	OnConnectivityChange func()
	// OnChange is called for each change in the order of revisions. It must not block.
	OnChange func(Change)
	// OnChanges is called instead of OnChange, if it is set, with all changes of a list,
	// a poll or a delta.
	OnChanges func([]Change)
}

// Backoff limits the base of the backoff after failed calls.
type Backoff struct{ Min, Max time.Duration }

// DefaultBackoff lets a daemon notice soon that the store is back.
var DefaultBackoff = Backoff{Min: 50 * time.Millisecond, Max: 400 * time.Millisecond}

// Mirror is an in-memory copy of the store. It is safe for concurrent use.
type Mirror struct {
	config Config

	// publishing is held from a change of the copy until it is published, so that changes
	// from the store and from another daemon are published in the order of their making.
	publishing sync.Mutex

	mu              sync.RWMutex
	changes         []loggedChange // the latest changes, oldest first
	index           int64          // number of changes applied so far
	items           map[string]store.KeyValue
	digest          uint64 // of items
	pendingRemovals map[string]pendingRemoval
	withheld        map[string]int64 // revisions of listed entries that are not in the copy; see withhold
	revision        int64
	// listedGeneration is the generation of the store at the latest list.
	listedGeneration int64

	// The times are values of Now(); 0 means never.
	currentAt     atomic.Int64 // latest time at which the copy is known to be current
	lastFailureAt atomic.Int64 // latest failed call
	synced        atomic.Bool
	failing       atomic.Bool   // the latest call got no reply
	relayedAt     atomic.Int64  // latest update from another daemon
	polledAt      atomic.Int64  // latest time at which a call of this mirror showed the copy to be current
	pollUntil     atomic.Int64  // until then the mirror polls even if it gets updates from another daemon
	interrupts    chan struct{} // a value ends the poll in progress
}

// pendingRemoval is a delayed removal. It is dropped if the entry is written again after
// it.
type pendingRemoval struct {
	due      time.Duration
	revision int64
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	if config.Contact == nil {
		config.Contact = &Contact{}
	}
	return &Mirror{
		config: config, items: map[string]store.KeyValue{}, digest: emptyDigest, pendingRemovals: map[string]pendingRemoval{}, withheld: map[string]int64{},
		interrupts: make(chan struct{}, 1),
	}
}

// Age returns how long ago the copy was last known to be current, and false if it
// never was.
func (m *Mirror) Age() (time.Duration, bool) {
	currentAt := time.Duration(m.currentAt.Load())
	if currentAt == 0 {
		return 0, false
	}
	return m.config.Now() - currentAt, true
}

// Synced reports whether the store has been listed once.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Revision returns the store revision of the copy.
func (m *Mirror) Revision() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// MaxModRevision returns the highest modification revision of the entries.
func (m *Mirror) MaxModRevision() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var highest int64
	for _, kv := range m.items {
		highest = max(highest, kv.ModRevision)
	}
	return highest
}

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (store.KeyValue, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	kv, ok := m.items[key]
	return kv, ok
}

// Run keeps the copy up to date until ctx ends. It does not call the store while
// updates come from another daemon.
func (m *Mirror) Run(ctx context.Context) error {
	var retryDelay time.Duration
	listed := false
	for ctx.Err() == nil {
		if listed && (m.Relayed() && !m.PollRequired() || m.heldOff()) {
			m.pause(ctx, relayCheckInterval)
			continue
		}
		listed = listed && !m.needsList()
		var err error
		if !listed {
			err = m.list(ctx)
			listed = err == nil
		} else {
			err = m.poll(ctx)
			if errors.Is(err, store.ErrCompacted) {
				m.config.Log.Warn("store history lost, list again", "revision", m.Revision())
				listed = false
				err = nil
			}
		}
		pause := m.config.PollPause()
		if err != nil && ctx.Err() == nil {
			if m.lastFailureAt.Load() <= m.currentAt.Load() {
				m.config.Log.Warn("dependency lost", "dependency", "store", "prefix", m.config.Prefix, "error", err)
			}
			m.lastFailureAt.Store(int64(m.config.Now()))
			m.config.Contact.failed(m.config.Now())
			m.failing.Store(true)
			if m.config.OnConnectivityChange != nil {
				m.config.OnConnectivityChange()
			}
			limits := m.backoff()
			retryDelay = min(max(2*retryDelay, limits.Min), limits.Max)
			pause = retryDelay + rand.N(retryDelay)
		} else {
			retryDelay = 0
		}
		m.pause(ctx, pause)
	}
	return ctx.Err()
}

// pause waits for a duration, or until ctx ends, and applies pending removals when they are
// due.
func (m *Mirror) pause(ctx context.Context, duration time.Duration) {
	end := m.config.Now() + duration
	for {
		now := m.config.Now()
		wait := end - now
		if due, pending := m.nextRemovalDue(); pending {
			wait = min(wait, due-now)
		}
		duty.Sleep(ctx, max(wait, 0))
		m.applyDueRemovals()
		if ctx.Err() != nil || m.config.Now() >= end {
			return
		}
	}
}

func (m *Mirror) backoff() Backoff {
	if m.config.Backoff == nil {
		return DefaultBackoff
	}
	return m.config.Backoff()
}

// heldOff reports whether Config.HoldOff keeps the mirror from polling.
func (m *Mirror) heldOff() bool {
	if m.config.HoldOff == nil || !m.config.HoldOff() {
		return false
	}
	return m.config.Now()-time.Duration(m.currentAt.Load()) < maxHoldOff
}

// list lists the store and updates the copy. Entries that are not in the list are
// removed. The pages of a list are not one snapshot; therefore polling continues
// from the revision of the first page, and an entry is never replaced by an older
// one.
func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := m.config.Now()
	entries, revision, err := m.config.Store.List(ctx, m.config.Prefix)
	if err != nil {
		return err
	}
	m.config.Contact.answered(sent, sent, m.config.Now())
	if known := m.Revision(); revision < known && store.Generation(revision) == store.Generation(known) {
		metrics.GetOrCreateCounter("rudder_store_regressions_total").Inc()
		m.config.Log.Error("store revision went back", "prefix", m.config.Prefix, "revision", revision, "known", known)
	}
	present := map[string]bool{}
	var changes []Change
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	deleted := m.beginGeneration(revision)
	for _, kv := range entries {
		present[kv.Key] = true
		if !m.withhold(kv, deleted) {
			changes = m.put(changes, kv)
		}
	}
	for key, kv := range m.items {
		if !present[key] && kv.ModRevision <= revision {
			changes = m.removeUnlisted(changes, kv, revision)
		}
	}
	for key := range m.withheld {
		if !present[key] {
			delete(m.withheld, key)
		}
	}
	if deleted != nil {
		m.logReconciled(revision)
	}
	m.revision, m.listedGeneration = max(m.revision, revision), store.Generation(revision)
	m.mu.Unlock()
	m.publish(changes)
	m.setCurrent(sent)
	m.synced.Store(true)
	if m.config.PauseAfterList {
		m.SetRelayedCurrent(sent, sent)
	}
	return nil
}

// poll waits for changes and applies them. A pending removal shortens the wait.
func (m *Mirror) poll(ctx context.Context) error {
	wait := m.config.MaxPollWait()
	if m.failing.Load() || m.PollRequired() && m.PolledAge() > relayTimeout {
		wait = firstPollWait
	}
	if due, pending := m.nextRemovalDue(); pending {
		wait = min(wait, max(due-m.config.Now(), m.config.PollPause()))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollReplyMargin)
	defer cancel()
	after := m.Revision()
	sent := m.config.Now()
	select {
	case <-m.interrupts: // it was meant for an earlier poll
	default:
	}
	finished := make(chan struct{})
	defer close(finished)
	go m.cancelOnInterrupt(cancel, finished)
	events, revision, err := m.config.Store.Poll(ctx, m.config.Prefix, after, wait)
	if err != nil {
		return err
	}
	answered := m.config.Now()
	m.recordContact(sent, answered, wait, len(events))
	var changes []Change
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	for _, event := range events {
		if event.Deleted {
			m.accept(event.Key, event.ModRevision)
			changes = m.removeOrDelay(changes, event.Key, event.ModRevision)
		} else {
			changes = m.put(changes, event.KeyValue)
		}
	}
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	m.publish(changes)
	m.setCurrent(currentAfterPoll(sent, answered, wait, len(events)))
	return nil
}

// recordContact records a reply to a poll. It shows that the store answered when the poll
// was sent only if it came when the wait had ended: otherwise the poll may have been
// delayed. Nothing is known of the store in the time of a long poll.
func (m *Mirror) recordContact(sent, answered, wait time.Duration, events int) {
	from := sent
	if events > 0 || answered-sent > min(wait+replyTime, minOutage) {
		from = answered
	}
	m.config.Contact.answered(from, answered, answered)
}

// currentAfterPoll returns the latest time at which a poll shows the copy to be
// current. The store replies at once when there is a change. A reply without
// changes was therefore sent after the whole wait, which began no earlier than the
// call was sent.
func currentAfterPoll(sent, answered, wait time.Duration, events int) time.Duration {
	if events == 0 && answered-sent >= wait {
		return sent + wait
	}
	return sent
}

// InterruptPoll ends the poll in progress. Call it if the connection may be dead.
func (m *Mirror) InterruptPoll() {
	select {
	case m.interrupts <- struct{}{}:
	default:
	}
}

// cancelOnInterrupt calls cancel if InterruptPoll is called before finished is
// closed.
func (m *Mirror) cancelOnInterrupt(cancel context.CancelFunc, finished <-chan struct{}) {
	select {
	case <-m.interrupts:
		cancel()
	case <-finished:
	}
}

// setCurrent records that the copy was current at the given time and that the
// store has replied.
func (m *Mirror) setCurrent(at time.Duration) {
	recovered := m.lastFailureAt.Load() > m.currentAt.Load()
	if int64(at) > m.currentAt.Load() {
		m.currentAt.Store(int64(at))
	}
	m.polledAt.Store(int64(at))
	m.failing.Store(false)
	if !recovered {
		return
	}
	m.config.Log.Info("dependency regained", "dependency", "store", "revision", m.Revision())
	if m.config.OnConnectivityChange != nil {
		m.config.OnConnectivityChange()
	}
}

// Failing reports whether the latest call to the store got no reply.
func (m *Mirror) Failing() bool { return m.failing.Load() }

// put stores an entry unless the copy has the same or a newer one, and adds the
// change to changes. The caller holds the lock.
func (m *Mirror) put(changes []Change, kv store.KeyValue) []Change {
	if r, pending := m.pendingRemovals[kv.Key]; pending && kv.ModRevision > r.revision {
		delete(m.pendingRemovals, kv.Key)
	}
	if old, ok := m.items[kv.Key]; ok && old.ModRevision >= kv.ModRevision {
		return changes
	}
	delete(m.withheld, kv.Key)
	if limit := m.config.MaxValueBytes; limit > 0 && len(kv.Value) > limit {
		m.config.Log.Warn("value dropped", "key", kv.Key, "revision", kv.ModRevision, "bytes", len(kv.Value), "limit", limit)
		kv.Value = nil
	}
	m.setItem(kv)
	return append(changes, Change{KeyValue: kv})
}

// publish reports changes to OnChanges or OnChange. The caller must not hold the lock.
func (m *Mirror) publish(changes []Change) {
	if m.config.OnChanges != nil {
		if len(changes) > 0 {
			m.config.OnChanges(changes)
		}
		return
	}
	for _, c := range changes {
		m.config.OnChange(c)
	}
}
