package mirror_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/internal/mirror"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// relay applies the changes of one mirror to another one, which does not poll from then
// on until StopRelay is called.
func relay(from, to *mirror.Mirror) {
	now := bootclock.Now()
	to.ApplyDelta(from.DeltaSince(mirror.Cursor{Revision: to.Revision(), Digest: to.Digest()}), now, now+time.Hour)
}

// expireInOutage makes the store fail for longer than expiryTime. When it returns, the
// entries "a" and "b" are gone.
func expireInOutage(s *fakeStore) {
	s.set(func(s *fakeStore) { s.down = true })
	time.Sleep(2200 * time.Millisecond)
	s.set(func(s *fakeStore) {
		s.down, s.revision = false, 8
		s.events = append(s.events, deleteEvent("a", 7), deleteEvent("b", 8))
	})
}

// Guards against entries that stay for good (review/6): a mirror delays their removal
// after an outage, forwards a revision that includes it, and ends. The followers go on from
// that revision, also those of a follower.
func TestDelayedRemovalIsKnownToFollowers(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5), entry("b", 6)}, revision: 6}
	leader, first, second := startMirror(t, s), startMirror(t, s), startMirror(t, s)
	for _, m := range []*mirror.Mirror{leader, first, second} {
		g.Eventually(m.Synced, time.Second).Should(BeTrue())
	}
	relay(leader, first)
	relay(leader, second)
	expireInOutage(s)
	returned := time.Now()
	g.Eventually(leader.PendingRemovals, time.Second).Should(Equal(2))
	relay(leader, first)
	relay(first, second)
	s.set(func(s *fakeStore) { s.revision, s.events = 9, append(s.events, putEvent("b", 9)) })
	first.StopRelay()
	second.StopRelay()
	time.Sleep(time.Until(returned.Add(1500 * time.Millisecond)))
	for _, m := range []*mirror.Mirror{first, second} {
		g.Expect(has(m, "a")()).To(BeTrue(), "its owner may still write it again")
	}
	for _, m := range []*mirror.Mirror{first, second} {
		g.Eventually(has(m, "a"), 2*time.Second).Should(BeFalse())
		g.Expect(has(m, "b")()).To(BeTrue(), "it was written again")
	}
}

// A mirror is behind another one, and gets no polls of its own answered. Guards against an
// entry that stays for good because an older copy of it arrives while its removal is delayed.
func TestOlderCopyDoesNotCancelDelayedRemoval(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	now := bootclock.Now()
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 5}, Entries: []store.KeyValue{entry("a", 5)}}, now, now)
	pending := []mirror.PendingRemoval{{Key: "a", Revision: 7, Delay: 50 * time.Millisecond}}
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 2, Revision: 8}, Pending: pending}, now, now)
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 5}, Entries: []store.KeyValue{entry("a", 5)}}, now, now)
	g.Expect(has(f, "a")()).To(BeTrue())
	time.Sleep(60 * time.Millisecond)
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 3, Revision: 8}}, now, now)
	g.Expect(has(f, "a")()).To(BeFalse())
}

// Guards against a removal that a second cause hastens: the store has forgotten its history
// and is listed again while the removal is delayed.
func TestListDoesNotHastenDelayedRemoval(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5)}, revision: 5}
	f := startMirror(t, s)
	g.Eventually(f.Synced, time.Second).Should(BeTrue())
	now := bootclock.Now()
	pending := []mirror.PendingRemoval{{Key: "a", Revision: 7, Delay: time.Second}}
	f.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 2, Revision: 8}, Pending: pending}, now, now)
	f.StopRelay()
	s.set(func(s *fakeStore) { s.compacted, s.list, s.revision = true, []store.KeyValue{entry("c", 9)}, 9 })
	g.Eventually(has(f, "c"), time.Second).Should(BeTrue())
	g.Expect(has(f, "a")()).To(BeTrue())
	g.Eventually(has(f, "a"), 2*time.Second).Should(BeFalse())
}

// The store is down for 2.6 s. The mirror is kept from polling after its first failure,
// since the calls of the other mirror fail. Guards against removing all entries that
// expired in the outage at once because the mirror's own failure is long past.
func TestOutageSeenByTheOtherMirrorDelaysRemovals(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5), entry("b", 6)}, revision: 6}
	m, _ := startMirrors(t, s)
	s.set(func(s *fakeStore) { s.down = true })
	time.Sleep(2600 * time.Millisecond)
	s.set(func(s *fakeStore) {
		s.down, s.revision = false, 8
		s.events = append(s.events, deleteEvent("a", 7), deleteEvent("b", 8))
	})
	g.Eventually(m.PendingRemovals, 2*time.Second, 5*time.Millisecond).Should(Equal(2))
	time.Sleep(time.Second)
	g.Expect(has(m, "a")()).To(BeTrue(), "its owner may still write it again")
	g.Eventually(has(m, "a"), 3*time.Second).Should(BeFalse())
}

// The store refuses one call, and an instance leaves 1.6 s later. Guards against a removal
// that is delayed although the store was hardly away.
func TestShortOutageDelaysNoRemoval(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{list: []store.KeyValue{entry("a", 5)}, revision: 6}
	m, other := startMirrors(t, s)
	s.set(func(s *fakeStore) { s.down = true })
	g.Eventually(other.Failing, time.Second, time.Millisecond).Should(BeTrue())
	s.set(func(s *fakeStore) { s.down = false })
	time.Sleep(1600 * time.Millisecond)
	s.set(func(s *fakeStore) { s.revision, s.events = 7, append(s.events, deleteEvent("a", 7)) })
	g.Eventually(has(m, "a"), 300*time.Millisecond, 5*time.Millisecond).Should(BeFalse())
}

// startMirrors runs two mirrors of s as a daemon does. The first one polls as long as there
// is no change, and doesn't poll while the calls of the other one fail.
func startMirrors(t *testing.T, s *fakeStore) (m, other *mirror.Mirror) {
	t.Helper()
	config := mirror.Config{
		Store: s, Log: slog.New(slog.DiscardHandler), PollPause: func() time.Duration { return 5 * time.Millisecond },
		Now: bootclock.Now, DelayRemoval: func(string) bool { return true }, OnChange: func(mirror.Change) {},
		Contact: &mirror.Contact{},
	}
	first := config
	first.MaxPollWait = func() time.Duration { return 8 * time.Second }
	first.HoldOff = func() bool { return other.Failing() }
	m = mirror.New(first)
	second := config
	second.MaxPollWait = func() time.Duration { return 100 * time.Millisecond }
	second.OnConnectivityChange = m.InterruptPoll
	other = mirror.New(second)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, each := range []*mirror.Mirror{m, other} {
		running.Go(func() { _ = each.Run(ctx) }) // ends with ctx
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	g := NewWithT(t)
	g.Eventually(m.Synced, time.Second).Should(BeTrue())
	g.Eventually(other.Synced, time.Second).Should(BeTrue())
	time.Sleep(100 * time.Millisecond)
	return m, other
}

// The coordinator is cut off from the store for 2.6 s, an instance leaves afterwards, and
// the coordinator delays its removal. Guards against followers that wait as well, which is
// beyond the leave time, although the store has answered them all the time.
func TestFollowerInContactDoesNotDelayRemovals(t *testing.T) {
	g := NewWithT(t)
	list := []store.KeyValue{entry("a", 5), entry("b", 6)}
	cut, s := &fakeStore{list: list, revision: 6}, &fakeStore{list: list, revision: 6}
	leader, follower := startMirror(t, cut), startMirror(t, s)
	g.Eventually(leader.Synced, time.Second).Should(BeTrue())
	g.Eventually(follower.Synced, time.Second).Should(BeTrue())
	cut.set(func(s *fakeStore) { s.down = true })
	time.Sleep(2600 * time.Millisecond)
	cut.set(func(s *fakeStore) { s.down, s.revision, s.events = false, 7, []store.Event{deleteEvent("a", 7)} })
	g.Eventually(leader.PendingRemovals, time.Second, 5*time.Millisecond).Should(Equal(1))
	relay(leader, follower)
	g.Expect(has(follower, "a")()).To(BeFalse())
	g.Expect(has(follower, "b")()).To(BeTrue())
}

// Guards against a removal that waits for the end of the pause between two polls, although
// it is due.
func TestDueRemovalIsAppliedInThePause(t *testing.T) {
	g := NewWithT(t)
	m := mirror.New(mirror.Config{
		Store: &fakeStore{list: []store.KeyValue{entry("a", 5)}, revision: 5}, Log: slog.New(slog.DiscardHandler),
		MaxPollWait: func() time.Duration { return time.Second }, PollPause: func() time.Duration { return 3 * time.Second },
		Now: bootclock.Now, OnChange: func(mirror.Change) {},
	})
	now := bootclock.Now()
	pending := []mirror.PendingRemoval{{Key: "a", Revision: 7, Delay: 300 * time.Millisecond}}
	m.ApplyDelta(mirror.Delta{Cursor: mirror.Cursor{Index: 1, Revision: 8}, Entries: []store.KeyValue{entry("a", 5)}, Pending: pending}, now, now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }() // ends with ctx
	g.Eventually(m.Synced, time.Second).Should(BeTrue())
	g.Expect(has(m, "a")()).To(BeTrue())
	g.Eventually(has(m, "a"), time.Second).Should(BeFalse())
}
