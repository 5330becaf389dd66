package mirror_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// fakeStore is a store whose replies the test sets.
type fakeStore struct {
	store.Store
	mu        sync.Mutex
	down      bool // calls fail
	compacted bool // the next poll returns store.ErrCompacted
	list      []store.KeyValue
	revision  int64
	events    []store.Event
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) List(context.Context, string) ([]store.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	return append([]store.KeyValue{}, s.list...), s.revision, nil
}

func (s *fakeStore) Poll(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		var events []store.Event
		for _, e := range s.events {
			if e.ModRevision > after {
				events = append(events, e)
			}
		}
		down, compacted, revision := s.down, s.compacted, s.revision
		s.compacted = false
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, store.ErrUnavailable
		case compacted:
			return nil, 0, store.ErrCompacted
		case len(events) > 0 || !time.Now().Before(until):
			return events, revision, nil
		case ctx.Err() != nil:
			return nil, 0, store.ErrUnavailable
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func entry(key string, revision int64) store.KeyValue {
	return store.KeyValue{Key: key, Value: []byte(key), ModRevision: revision}
}

func putEvent(key string, revision int64) store.Event {
	return store.Event{KeyValue: entry(key, revision)}
}

func deleteEvent(key string, revision int64) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: key, ModRevision: revision}, Deleted: true}
}

// startMirror runs a mirror of s with a short poll wait and pause.
func startMirror(t *testing.T, s *fakeStore) *mirror.Mirror {
	t.Helper()
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), MaxPollWait: func() time.Duration { return 100 * time.Millisecond }, PollPause: func() time.Duration { return 5 * time.Millisecond },
		Now: bootclock.Now, DelayRemoval: func(string) bool { return true }, OnChange: func(mirror.Change) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx) // ends with ctx
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func has(m *mirror.Mirror, key string) func() bool {
	return func() bool {
		_, ok := m.Get(key)
		return ok
	}
}

// Guards against dropping instances whose entries expired during an outage of the
// store: their owners write them again within 2 s after it has recovered.
func TestEntriesExpiredInOutageAreKeptForGracePeriod(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5), entry("b", 6)}, revision: 6}
	m := startMirror(t, s)
	g.Eventually(has(m, "a"), time.Second).Should(BeTrue())
	s.set(func(s *fakeStore) { s.down = true })
	time.Sleep(1700 * time.Millisecond)
	s.set(func(s *fakeStore) {
		s.down, s.revision = false, 8
		s.events = []store.Event{deleteEvent("a", 7), deleteEvent("b", 8)}
	})
	g.Consistently(has(m, "a"), 500*time.Millisecond).Should(BeTrue())
	s.set(func(s *fakeStore) {
		s.revision = 9
		s.events = append(s.events, putEvent("b", 9))
	})
	g.Eventually(has(m, "a"), 4*time.Second).Should(BeFalse(), "an entry that is not written again is removed")
	g.Expect(has(m, "b")()).To(BeTrue(), "an entry that is written again is kept")
}

// Guards against delaying a removal when there was no outage.
func TestRemovalWithoutOutageAppliesAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5)}, revision: 5}
	m := startMirror(t, s)
	g.Eventually(has(m, "a"), time.Second).Should(BeTrue())
	s.set(func(s *fakeStore) { s.revision, s.events = 6, []store.Event{deleteEvent("a", 6)} })
	g.Eventually(has(m, "a"), 500*time.Millisecond).Should(BeFalse())
}

// Guards against restoring an older entry when the store has compacted its history
// and is listed again.
func TestListAfterCompactionKeepsNewerEntries(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5), entry("c", 3)}, revision: 5}
	m := startMirror(t, s)
	g.Eventually(has(m, "a"), time.Second).Should(BeTrue())
	s.set(func(s *fakeStore) {
		s.compacted = true
		s.list, s.revision = []store.KeyValue{entry("a", 4), entry("d", 9)}, 9
	})
	g.Eventually(has(m, "d"), time.Second).Should(BeTrue())
	kv, _ := m.Get("a")
	g.Expect(kv.ModRevision).To(Equal(int64(5)))
	g.Eventually(has(m, "c"), time.Second).Should(BeFalse(), "an entry that is missing from the list is removed")
}

// Guards against refusing account keys early in an outage because the copy appears
// older than it is: after a poll without changes, the copy is known to be current
// as of the end of the poll's wait.
func TestAgeIsAtMostOnePollWait(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5)}, revision: 5}
	m := startMirror(t, s)
	g.Eventually(m.Synced, time.Second).Should(BeTrue())
	time.Sleep(250 * time.Millisecond)
	for range 40 {
		age, known := m.Age()
		g.Expect(known).To(BeTrue())
		g.Expect(age).To(BeNumerically("<", 180*time.Millisecond))
		time.Sleep(7 * time.Millisecond)
	}
	s.set(func(s *fakeStore) { s.down = true })
	time.Sleep(400 * time.Millisecond)
	age, _ := m.Age()
	g.Expect(age).To(BeNumerically(">", 200*time.Millisecond), "the age grows during an outage")
}

// newFollower returns a mirror that has no store and only applies deltas.
func newFollower() *mirror.Mirror {
	return mirror.New(mirror.Config{
		Log: slog.New(slog.DiscardHandler), Now: bootclock.Now, DelayRemoval: func(string) bool { return true },
		OnChange: func(mirror.Change) {},
	})
}

// Guards against a daemon without contact to the store using instances that were
// removed meanwhile: a request was sent to one 2.8 s after its removal.
func TestFollowerAppliesRemovalsAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5), entry("b", 6)}, revision: 6}
	leader := startMirror(t, s)
	g.Eventually(leader.Synced, time.Second).Should(BeTrue())
	f := newFollower()
	delta := leader.DeltaSince(mirror.Cursor{})
	f.ApplyDelta(delta, bootclock.Now(), bootclock.Now())
	g.Expect(has(f, "a")()).To(BeTrue())
	s.set(func(s *fakeStore) { s.revision, s.events = 7, []store.Event{deleteEvent("a", 7)} })
	g.Eventually(has(leader, "a"), time.Second).Should(BeFalse())
	t.Run("with an incremental delta", func(t *testing.T) {
		f.ApplyDelta(leader.DeltaSince(delta.Cursor), bootclock.Now(), bootclock.Now())
		g.Expect(has(f, "a")()).To(BeFalse())
	})
	t.Run("with a full delta from a new leader", func(t *testing.T) {
		late := newFollower()
		late.ApplyDelta(delta, bootclock.Now(), bootclock.Now())
		late.ApplyDelta(leader.DeltaSince(mirror.Cursor{Revision: 6}), bootclock.Now(), bootclock.Now())
		g.Expect(has(late, "a")()).To(BeFalse())
		g.Expect(has(late, "b")()).To(BeTrue())
	})
}

// Guards against a leader's older copy overwriting entries that the follower has
// read from the store itself.
func TestFollowerKeepsNewerEntries(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 9}, Entries: []store.KeyValue{entry("a", 9)}}, 1, 1)
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 5}, Whole: true}, 2, 2)
	g.Expect(has(f, "a")()).To(BeTrue())
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 2, Revision: 8}, Deleted: []string{"a"}}, 3, 3)
	g.Expect(has(f, "a")()).To(BeTrue())
}

// Guards against noticing a leaving instance seconds late: a poll sent just before
// the store recovers is never answered. It has to be sent again when another mirror
// notices that the store has recovered.
func TestStoreRecoveryIsReported(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 1}
	var recoveries atomic.Int64
	var m *mirror.Mirror
	m = mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), Prefix: "op/", MaxPollWait: func() time.Duration { return 50 * time.Millisecond },
		PollPause: func() time.Duration { return time.Millisecond }, Now: bootclock.Now, OnChange: func(mirror.Change) {},
		OnConnectivityChange: func() {
			if !m.Failing() {
				recoveries.Add(1)
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }() // ends with ctx
	g.Eventually(m.Synced, time.Second).Should(BeTrue())
	s.set(func(s *fakeStore) { s.down = true })
	g.Eventually(m.Failing, time.Second).Should(BeTrue())
	s.set(func(s *fakeStore) { s.down = false })
	g.Eventually(m.Failing, 2*time.Second).Should(BeFalse())
	g.Eventually(recoveries.Load, time.Second).Should(BeEquivalentTo(1))
}

// Another writer leaves entries of 1 MB. Guards against keeping them, which would end
// a daemon on a small machine again and again.
func TestLargeValuesAreNotKept(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 2, list: []store.KeyValue{
		{Key: "a", Value: make([]byte, 1<<20), ModRevision: 1}, {Key: "b", Value: []byte("sound"), ModRevision: 2},
	}}
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), MaxPollWait: func() time.Duration { return time.Second },
		PollPause: func() time.Duration { return 0 }, Now: bootclock.Now, OnChange: func(mirror.Change) {}, MaxValueBytes: 4 << 10,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	g.Eventually(m.Synced).Should(BeTrue())
	large, ok := m.Get("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(large.Value).To(BeEmpty())
	sound, _ := m.Get("b")
	g.Expect(string(sound.Value)).To(Equal("sound"))
}

// A daemon follows another one whose copy is behind its own. Guards against an entry
// that was deleted, and that the other daemon still has, coming back.
func TestDeletedEntryDoesNotReturnByDelta(t *testing.T) {
	g := NewWithT(t)
	m := mirror.New(mirror.Config{Log: slog.New(slog.DiscardHandler), Now: bootclock.Now, OnChange: func(mirror.Change) {}})
	entry := store.KeyValue{Key: "a", Value: []byte("x"), ModRevision: 5}
	now := bootclock.Now()
	m.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 5}, Entries: []store.KeyValue{entry}}, now, now)
	m.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 2, Revision: 8}, Deleted: []string{"a"}}, now, now)
	m.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 6}, Entries: []store.KeyValue{entry}}, now, now)
	_, present := m.Get("a")
	g.Expect(present).To(BeFalse())
	entry.ModRevision = 9
	m.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 2, Revision: 9}, Entries: []store.KeyValue{entry}}, now, now)
	_, present = m.Get("a")
	g.Expect(present).To(BeTrue(), "it was written again")
}

// Guards against a daemon that polls for others, but stops when it gets updates itself.
func TestRequiredPollsGoOnBesideUpdates(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 2}
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), MaxPollWait: func() time.Duration { return 20 * time.Millisecond },
		PollPause: func() time.Duration { return 0 }, Now: bootclock.Now, OnChange: func(mirror.Change) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	g.Eventually(m.Synced).Should(BeTrue())
	m.SetRelayedCurrent(bootclock.Now(), bootclock.Now()+time.Hour)
	g.Eventually(m.PolledAge).Should(BeNumerically(">", 200*time.Millisecond), "it gets updates and does not poll")
	m.RequirePolls(time.Second)
	g.Eventually(m.PolledAge).Should(BeNumerically("<", 100*time.Millisecond))
	g.Consistently(m.PolledAge, 300*time.Millisecond).Should(BeNumerically("<", 200*time.Millisecond))
}

// Guards against polls of one mirror that are known to fail because those of the other
// do, and against a mirror that is kept from polling for ever.
func TestMirrorHoldsOffForAWhile(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 2}
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), MaxPollWait: func() time.Duration { return 20 * time.Millisecond },
		PollPause: func() time.Duration { return 0 }, Now: bootclock.Now, OnChange: func(mirror.Change) {},
		HoldOff: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	g.Eventually(m.Synced).Should(BeTrue())
	time.Sleep(150 * time.Millisecond)
	g.Consistently(func() bool { return m.PolledAge() < 100*time.Millisecond }, time.Second, 150*time.Millisecond).Should(BeFalse())
	g.Eventually(m.PolledAge, 5*time.Second, 10*time.Millisecond).Should(BeNumerically("<", 100*time.Millisecond))
}

// After an outage without changes, the next poll waits for its whole time. Guards
// against a mirror that counts as failing until then, so that it is not forwarded.
func TestMirrorRecoversBeforeTheNextChange(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: 2}
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), MaxPollWait: func() time.Duration { return 5 * time.Second },
		PollPause: func() time.Duration { return 0 }, Now: bootclock.Now, OnChange: func(mirror.Change) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	g.Eventually(m.Synced).Should(BeTrue())
	s.set(func(s *fakeStore) { s.down = true })
	m.InterruptPoll()
	g.Eventually(m.Failing).Should(BeTrue())
	s.set(func(s *fakeStore) { s.down = false })
	g.Eventually(m.Failing, 2*time.Second).Should(BeFalse())
}
