package mirror_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// settlingTime is the time after a restore in which owners write their entries again, and
// a margin of the test.
const settlingTime = 2300*time.Millisecond + 700*time.Millisecond

func versioned(key, value string, generation, revision int64) store.KeyValue {
	return store.KeyValue{Key: key, Value: []byte(value), ModRevision: store.InGeneration(generation, revision)}
}

// startRestored runs a mirror of s. Entries below "live/" are written by their owners at
// short intervals, and their values are ordered; those below "now/" count at once.
func startRestored(t *testing.T, s *fakeStore) *mirror.Mirror {
	t.Helper()
	live := func(key string) bool { return strings.HasPrefix(key, "live/") }
	m := mirror.New(mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), MaxPollWait: func() time.Duration { return 100 * time.Millisecond },
		PollPause: func() time.Duration { return 5 * time.Millisecond }, Now: bootclock.Now, DelayRemoval: live,
		OnChange: func(mirror.Change) {}, Newer: func(key string, old, restored []byte) bool { return live(key) && string(restored) > string(old) },
		Unreconciled: func(key string) bool { return strings.HasPrefix(key, "now/") },
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
	NewWithT(t).Eventually(m.Synced, time.Second).Should(BeTrue())
	return m
}

// restore brings the store back from a copy with the given entries.
func (s *fakeStore) restore(generation, revision int64, entries ...store.KeyValue) {
	s.set(func(s *fakeStore) {
		s.list, s.events, s.revision, s.compacted = entries, nil, store.InGeneration(generation, revision), true
	})
}

func value(m *mirror.Mirror, key string) func() string {
	return func() string {
		kv, _ := m.Get(key)
		return string(kv.Value)
	}
}

// The store comes back from a copy that lacks the latest writes and removals. Guards
// against older contents that replace those known, before their owners have written them
// again: an older configuration in force, requests to instances that left.
func TestOlderCopyDoesNotReplaceKnownEntries(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: store.InGeneration(int64(1), int64(20)), list: []store.KeyValue{
		versioned("same", "1", 1, 5), versioned("changed", "2", 1, 11), versioned("kept", "2", 1, 12), versioned("added", "1", 1, 13),
		versioned("live/drains", "2", 1, 14), versioned("live/left", "1", 1, 9), versioned("live/again", "1", 1, 8), versioned("now/added", "1", 1, 15),
	}}
	m := startRestored(t, s)
	s.set(func(s *fakeStore) {
		s.revision, s.events = store.InGeneration(int64(1), int64(21)), []store.Event{deleteEvent("live/left", store.InGeneration(int64(1), int64(21)))}
	})
	g.Eventually(has(m, "live/left"), time.Second, 5*time.Millisecond).Should(BeFalse())
	s.restore(2, 10, versioned("same", "1", 2, 5), versioned("changed", "1", 2, 6), versioned("kept", "1", 2, 7),
		versioned("live/drains", "1", 2, 8), versioned("live/left", "1", 2, 9), versioned("live/again", "3", 2, 10), versioned("other", "1", 2, 4))
	g.Eventually(has(m, "other"), time.Second, 5*time.Millisecond).Should(BeTrue())
	returned := time.Now()
	g.Expect(value(m, "changed")()).To(Equal("2"))
	g.Expect(value(m, "kept")()).To(Equal("2"))
	g.Expect(value(m, "added")()).To(Equal("1"))
	g.Expect(value(m, "live/drains")()).To(Equal("2"))
	g.Expect(value(m, "live/again")()).To(Equal("3"), "the contents show that it is newer")
	g.Expect(has(m, "live/left")()).To(BeFalse())
	g.Expect(has(m, "now/added")()).To(BeFalse(), "the store counts at once")
	same, _ := m.Get("same")
	g.Expect(same.ModRevision).To(Equal(store.InGeneration(int64(2), int64(5))))
	s.set(func(s *fakeStore) {
		s.revision = store.InGeneration(int64(2), int64(12))
		s.events = []store.Event{{KeyValue: versioned("changed", "0", 2, 11)}, {KeyValue: versioned("live/drains", "0", 2, 12)}}
		s.list[1], s.list[3] = s.events[0].KeyValue, s.events[1].KeyValue
	})
	const soon = 300 * time.Millisecond
	g.Eventually(value(m, "changed"), soon, 5*time.Millisecond).Should(Equal("0"), "it was written after the restore")
	g.Eventually(value(m, "live/drains"), soon, 5*time.Millisecond).Should(Equal("0"))
	time.Sleep(time.Until(returned.Add(1800 * time.Millisecond)))
	g.Expect(value(m, "kept")()).To(Equal("2"))
	g.Expect(has(m, "added")()).To(BeTrue())
	time.Sleep(time.Until(returned.Add(settlingTime)))
	g.Expect(value(m, "kept")()).To(Equal("1"), "nobody wrote it again")
	g.Expect(has(m, "added")()).To(BeFalse())
	g.Expect(has(m, "live/left")()).To(BeFalse(), "its owner writes it often, if there is one")
	s.set(func(s *fakeStore) {
		s.revision, s.events = store.InGeneration(int64(2), int64(13)), append(s.events, store.Event{KeyValue: versioned("live/left", "5", 2, 13)})
	})
	g.Eventually(has(m, "live/left"), soon, 5*time.Millisecond).Should(BeTrue())
}

// The store is restored twice within the settling time. Guards against a second restore
// that brings back what the first one didn't.
func TestTwoRestoresInARow(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{revision: store.InGeneration(int64(1), int64(20)), list: []store.KeyValue{versioned("changed", "2", 1, 11), versioned("added", "1", 1, 12)}}
	m := startRestored(t, s)
	s.restore(2, 10, versioned("changed", "1", 2, 6), versioned("x", "1", 2, 7))
	g.Eventually(has(m, "x"), time.Second, 5*time.Millisecond).Should(BeTrue())
	time.Sleep(time.Second)
	s.restore(3, 8, versioned("changed", "0", 3, 6), versioned("y", "1", 3, 7))
	g.Eventually(has(m, "y"), time.Second, 5*time.Millisecond).Should(BeTrue())
	returned := time.Now()
	time.Sleep(1800 * time.Millisecond)
	g.Expect(value(m, "changed")()).To(Equal("2"))
	g.Expect(has(m, "added")()).To(BeTrue())
	time.Sleep(time.Until(returned.Add(settlingTime)))
	g.Expect(value(m, "changed")()).To(Equal("0"))
	g.Expect(has(m, "added")()).To(BeFalse())
}

// Guards against state from before a restore that returns from a daemon that hasn't seen
// the restore, and against a follower that gives up what it knows for the restored copy of
// another daemon.
func TestDeltasBetweenGenerations(t *testing.T) {
	g := NewWithT(t)
	list := []store.KeyValue{versioned("changed", "2", 1, 11), versioned("added", "1", 1, 12), versioned("live/left", "1", 1, 9)}
	before, after := &fakeStore{revision: store.InGeneration(int64(1), int64(20)), list: list}, &fakeStore{revision: store.InGeneration(int64(1), int64(20)), list: list}
	behind, ahead, follower := startRestored(t, before), startRestored(t, after), startRestored(t, after)
	for _, s := range []*fakeStore{after} {
		s.set(func(s *fakeStore) {
			s.revision, s.events = store.InGeneration(int64(1), int64(21)), []store.Event{deleteEvent("live/left", store.InGeneration(int64(1), int64(21)))}
		})
	}
	for _, m := range []*mirror.Mirror{ahead, follower} {
		g.Eventually(has(m, "live/left"), time.Second, 5*time.Millisecond).Should(BeFalse())
	}
	relay(behind, follower) // stops the polls of the follower
	g.Expect(has(follower, "live/left")()).To(BeFalse())
	after.restore(2, 10, versioned("changed", "1", 2, 6), versioned("live/left", "1", 2, 9), versioned("x", "1", 2, 7))
	g.Eventually(has(ahead, "x"), time.Second, 5*time.Millisecond).Should(BeTrue())
	fresh := startRestored(t, &fakeStore{revision: store.InGeneration(int64(2), int64(10)), list: []store.KeyValue{
		versioned("changed", "1", 2, 6), versioned("live/left", "1", 2, 9), versioned("x", "1", 2, 7),
	}})
	relay(fresh, follower) // it has nothing but the restored copy
	for _, m := range []*mirror.Mirror{ahead, follower} {
		g.Expect(has(m, "x")()).To(BeTrue())
		g.Expect(value(m, "changed")()).To(Equal("2"))
		g.Expect(has(m, "added")()).To(BeTrue())
		g.Expect(has(m, "live/left")()).To(BeFalse())
	}
	before.set(func(s *fakeStore) {
		s.revision, s.events = store.InGeneration(int64(1), int64(30)), []store.Event{{KeyValue: versioned("changed", "late", 1, 25)}, {KeyValue: versioned("late", "1", 1, 30)}}
	})
	g.Eventually(has(behind, "late"), time.Second, 5*time.Millisecond).Should(BeTrue())
	relay(behind, ahead)
	relay(behind, follower)
	for _, m := range []*mirror.Mirror{ahead, follower} {
		g.Expect(has(m, "late")()).To(BeFalse())
		g.Expect(value(m, "changed")()).To(Equal("2"))
	}
}
