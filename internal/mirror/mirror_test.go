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

// script is a store whose answers the test decides.
type script struct {
	store.Store
	mu     sync.Mutex
	down   bool
	gone   bool
	list   []store.KeyValue
	at     int64
	events []store.Event
}

func (s *script) set(change func(*script)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *script) List(context.Context, string) ([]store.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	return append([]store.KeyValue{}, s.list...), s.at, nil
}

func (s *script) Poll(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		var events []store.Event
		for _, e := range s.events {
			if e.ModRevision > after {
				events = append(events, e)
			}
		}
		down, gone, at := s.down, s.gone, s.at
		s.gone = false
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, store.ErrUnavailable
		case gone:
			return nil, 0, store.ErrCompacted
		case len(events) > 0 || !time.Now().Before(until):
			return events, at, nil
		case ctx.Err() != nil:
			return nil, 0, store.ErrUnavailable
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func entry(key string, revision int64) store.KeyValue {
	return store.KeyValue{Key: key, Value: []byte(key), ModRevision: revision}
}

func put(key string, revision int64) store.Event { return store.Event{KeyValue: entry(key, revision)} }

func gone(key string, revision int64) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: key, ModRevision: revision}, Deleted: true}
}

// follow runs a mirror of s with short times.
func follow(t *testing.T, s *script) *mirror.Mirror {
	t.Helper()
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), Wait: func() time.Duration { return 100 * time.Millisecond }, Pause: func() time.Duration { return 5 * time.Millisecond },
		Now: bootclock.Now, Lenient: func(string) bool { return true }, OnChange: func(mirror.Change) {},
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

// Guards against instances being dropped because their entries lapsed while
// the store was away: they are back within 2 s of its return.
func TestEntriesThatLapsedInAnOutageStayForAWhile(t *testing.T) {
	g := NewWithT(t)
	s := &script{list: []store.KeyValue{entry("a", 5), entry("b", 6)}, at: 6}
	m := follow(t, s)
	g.Eventually(has(m, "a"), time.Second).Should(BeTrue())
	s.set(func(s *script) { s.down = true })
	time.Sleep(1700 * time.Millisecond)
	s.set(func(s *script) {
		s.down, s.at = false, 8
		s.events = []store.Event{gone("a", 7), gone("b", 8)}
	})
	g.Consistently(has(m, "a"), 500*time.Millisecond).Should(BeTrue())
	s.set(func(s *script) {
		s.at = 9
		s.events = append(s.events, put("b", 9))
	})
	g.Eventually(has(m, "a"), 4*time.Second).Should(BeFalse(), "an entry that doesn't come back is gone")
	g.Expect(has(m, "b")()).To(BeTrue(), "an entry that came back stays")
}

// Guards against a removal in calm times being applied late.
func TestRemovalInCalmTimesAppliesAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := &script{list: []store.KeyValue{entry("a", 5)}, at: 5}
	m := follow(t, s)
	g.Eventually(has(m, "a"), time.Second).Should(BeTrue())
	s.set(func(s *script) { s.at, s.events = 6, []store.Event{gone("a", 6)} })
	g.Eventually(has(m, "a"), 500*time.Millisecond).Should(BeFalse())
}

// Guards against an older state returning after the store has lost its history.
func TestListAfterLostHistoryNeverBringsAnOlderEntryBack(t *testing.T) {
	g := NewWithT(t)
	s := &script{list: []store.KeyValue{entry("a", 5), entry("c", 3)}, at: 5}
	m := follow(t, s)
	g.Eventually(has(m, "a"), time.Second).Should(BeTrue())
	s.set(func(s *script) {
		s.gone = true
		s.list, s.at = []store.KeyValue{entry("a", 4), entry("d", 9)}, 9
	})
	g.Eventually(has(m, "d"), time.Second).Should(BeTrue())
	kv, _ := m.Get("a")
	g.Expect(kv.ModRevision).To(Equal(int64(5)))
	g.Eventually(has(m, "c"), time.Second).Should(BeFalse(), "an entry that is missing from the list is gone")
}

// Guards against account keys being refused early in an outage: the proof of
// an empty poll counts from the end of its wait.
func TestProofIsNoOlderThanOneWait(t *testing.T) {
	g := NewWithT(t)
	s := &script{list: []store.KeyValue{entry("a", 5)}, at: 5}
	m := follow(t, s)
	g.Eventually(m.Synced, time.Second).Should(BeTrue())
	time.Sleep(250 * time.Millisecond)
	for range 40 {
		age, known := m.Age()
		g.Expect(known).To(BeTrue())
		g.Expect(age).To(BeNumerically("<", 180*time.Millisecond))
		time.Sleep(7 * time.Millisecond)
	}
	s.set(func(s *script) { s.down = true })
	time.Sleep(400 * time.Millisecond)
	age, _ := m.Age()
	g.Expect(age).To(BeNumerically(">", 200*time.Millisecond), "an outage ages the proof")
}

// follower returns a mirror without a store of its own.
func follower() *mirror.Mirror {
	return mirror.New(mirror.Config{
		Log: slog.New(slog.DiscardHandler), Now: bootclock.Now, Lenient: func(string) bool { return true },
		OnChange: func(mirror.Change) {},
	})
}

// Guards against a daemon that was cut off working on with instances that were
// removed meanwhile (hunt-ef64-7 of tsd-ub: a request 2.8 s after the removal).
func TestFollowerTakesOverRemovalsAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := &script{list: []store.KeyValue{entry("a", 5), entry("b", 6)}, at: 6}
	leader := follow(t, s)
	g.Eventually(leader.Synced, time.Second).Should(BeTrue())
	f := follower()
	delta := leader.Since(mirror.Cursor{})
	f.Follow(delta, bootclock.Now(), bootclock.Now())
	g.Expect(has(f, "a")()).To(BeTrue())
	s.set(func(s *script) { s.at, s.events = 7, []store.Event{gone("a", 7)} })
	g.Eventually(has(leader, "a"), time.Second).Should(BeFalse())
	t.Run("that kept contact", func(t *testing.T) {
		f.Follow(leader.Since(delta.Cursor), bootclock.Now(), bootclock.Now())
		g.Expect(has(f, "a")()).To(BeFalse())
	})
	t.Run("that comes to a new leader", func(t *testing.T) {
		late := follower()
		late.Follow(delta, bootclock.Now(), bootclock.Now())
		late.Follow(leader.Since(mirror.Cursor{Revision: 6}), bootclock.Now(), bootclock.Now())
		g.Expect(has(late, "a")()).To(BeFalse())
		g.Expect(has(late, "b")()).To(BeTrue())
	})
}

// Guards against an older copy of the leader undoing what a follower has read
// from the store itself.
func TestFollowerKeepsNewerEntries(t *testing.T) {
	g := NewWithT(t)
	f := follower()
	f.Follow(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 9}, Entries: []store.KeyValue{entry("a", 9)}}, 1, 1)
	f.Follow(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 5}, Whole: true}, 2, 2)
	g.Expect(has(f, "a")()).To(BeTrue())
	f.Follow(mirror.Delta{Cursor: mirror.Cursor{Index: 2, Revision: 8}, Deleted: []string{"a"}}, 3, 3)
	g.Expect(has(f, "a")()).To(BeTrue())
}

// Guards against a leaving instance that is seen seconds late: a poll that was
// sent just before the store's return is not answered, and only the end of an
// outage seen by another poll tells that it must be sent again.
func TestReturnOfTheStoreEndsOtherPolls(t *testing.T) {
	g := NewWithT(t)
	s := &script{at: 1}
	var interrupted atomic.Int64
	var m *mirror.Mirror
	m = mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), Prefix: "op/", Wait: func() time.Duration { return 50 * time.Millisecond },
		Pause: func() time.Duration { return time.Millisecond }, Now: bootclock.Now, OnChange: func(mirror.Change) {},
		OnContactChange: func() {
			if !m.Failing() {
				interrupted.Add(1)
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }() // ends with ctx
	g.Eventually(m.Synced, time.Second).Should(BeTrue())
	s.set(func(s *script) { s.down = true })
	g.Eventually(m.Failing, time.Second).Should(BeTrue())
	s.set(func(s *script) { s.down = false })
	g.Eventually(m.Failing, 2*time.Second).Should(BeFalse())
	g.Eventually(interrupted.Load, time.Second).Should(BeEquivalentTo(1))
}
