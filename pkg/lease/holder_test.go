package lease_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is an in-memory store with leases on a fake clock.
type fakeStore struct {
	clock clockwork.Clock

	mu          sync.Mutex
	revision    int64
	nextID      int64
	leases      map[int64]time.Time // end of each lease
	ttl         time.Duration
	entry       lease.Entry
	owner       int64 // lease of the entry
	lostReplies int   // number of writes whose replies will be lost after they take effect
	unavailable bool
	grants      int
	lastRenewal time.Time // when the last renewal was handled
	generation  int64     // rises at each restore
}

func newFakeStore(clock clockwork.Clock) *fakeStore {
	return &fakeStore{clock: clock, leases: make(map[int64]time.Time), generation: 1}
}

// restore brings the store back from an older copy, with the entry of the copy and its lease.
// Revisions of a later generation are higher, as the adapter of the store has to see to.
func (m *fakeStore) restore(entry lease.Entry, owner int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.revision = m.generation * 1_000_000
	clear(m.leases)
	m.entry = lease.Entry{}
	if entry.Revision != 0 {
		m.entry, m.owner = lease.Entry{Value: entry.Value, Revision: m.revision}, owner
		m.leases[owner] = m.clock.Now().Add(m.ttl)
	}
}

// snapshot returns the entry and its lease.
func (m *fakeStore) snapshot() (entry lease.Entry, owner int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry, m.owner
}

func (m *fakeStore) expire() {
	for id, end := range m.leases {
		if !m.clock.Now().Before(end) {
			m.end(id)
		}
	}
}

func (m *fakeStore) end(id int64) {
	delete(m.leases, id)
	if m.owner == id && m.entry.Revision != 0 {
		m.revision++
		m.entry = lease.Entry{}
	}
}

// client is the store access of one holder. While it is paused its calls block,
// like those of a paused process.
type client struct {
	*fakeStore
	paused         sync.RWMutex
	renewalReplies sync.RWMutex // held for writing while replies to renewals are delayed
	generation     atomic.Int64 // of the store, as of the last call
}

func (c *client) enter(ctx context.Context) (func(), error) {
	c.paused.RLock()
	c.paused.RUnlock() //nolint:staticcheck // waits until the pause ends
	c.mu.Lock()
	if err := ctx.Err(); err != nil || c.unavailable {
		c.mu.Unlock()
		return nil, errors.New("unavailable")
	}
	c.expire()
	c.generation.Store(c.fakeStore.generation)
	return c.mu.Unlock, nil
}

func (c *client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	unlock, err := c.enter(ctx)
	if err != nil {
		return 0, err
	}
	defer unlock()
	c.grants++
	c.nextID++
	c.ttl = ttl
	c.leases[c.nextID] = c.clock.Now().Add(ttl)
	return c.nextID, nil
}

func (c *client) KeepAlive(ctx context.Context, id int64) (time.Duration, error) {
	unlock, err := c.enter(ctx)
	if err != nil {
		return 0, err
	}
	defer func() {
		unlock()
		c.renewalReplies.RLock()
		c.renewalReplies.RUnlock() //nolint:staticcheck // waits until replies arrive again
	}()
	if _, ok := c.leases[id]; !ok {
		return 0, lease.ErrExpired
	}
	c.lastRenewal = c.clock.Now()
	c.leases[id] = c.clock.Now().Add(c.ttl)
	return c.ttl, nil
}

func (c *client) Revoke(ctx context.Context, id int64) error {
	unlock, err := c.enter(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	c.end(id)
	return nil
}

func (c *client) Get(ctx context.Context, _ string) (lease.Entry, error) {
	unlock, err := c.enter(ctx)
	if err != nil {
		return lease.Entry{}, err
	}
	defer unlock()
	return c.entry, nil
}

func (c *client) CompareAndSwap(ctx context.Context, _ string, revision int64, value []byte, id int64) (lease.Entry, bool, error) {
	unlock, err := c.enter(ctx)
	if err != nil {
		return lease.Entry{}, false, err
	}
	defer unlock()
	if c.entry.Revision != revision {
		return c.entry, false, nil
	}
	if _, ok := c.leases[id]; !ok {
		return lease.Entry{}, false, lease.ErrExpired
	}
	c.revision++
	c.entry, c.owner = lease.Entry{Value: value, Revision: c.revision}, id
	if c.lostReplies > 0 {
		c.lostReplies--
		return lease.Entry{}, false, errors.Wrap(lease.ErrOutcomeUnknown, "reply lost")
	}
	return c.entry, true, nil
}

// election runs several holders that campaign for the same duty.
type election struct {
	clock        *clockwork.FakeClock
	store        *fakeStore
	clients      []*client
	holders      []*lease.Holder
	highestToken int64 // highest token so far
	owner        int   // holder with that token
	pauses       []bool
	stop         func()
}

// pause stops or resumes the store access of a holder.
func (c *election) pause(i int, on bool) {
	if c.pauses[i] == on {
		return
	}
	c.pauses[i] = on
	if on {
		c.clients[i].paused.Lock()
	} else {
		c.clients[i].paused.Unlock()
	}
}

type fataler interface{ Fatalf(string, ...any) }

func newElection(size int, candidate func(int) bool) *election {
	c := &election{clock: clockwork.NewFakeClock(), owner: -1, pauses: make([]bool, size)}
	c.store = newFakeStore(c.clock)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range size {
		access := &client{fakeStore: c.store}
		holder := lease.New(lease.Config{
			Backend: access, Clock: c.clock, Duty: "placement", Key: "k", DaemonID: fmt.Sprint(i),
			Candidate: func() bool { return candidate == nil || candidate(i) },
			Logger:    slog.New(slog.DiscardHandler), Generation: access.generation.Load,
		})
		c.clients, c.holders = append(c.clients, access), append(c.holders, holder)
		running.Go(func() { _ = holder.Run(ctx) })
	}
	c.stop = func() {
		cancel()
		for i := range c.pauses {
			c.pause(i, false)
		}
		running.Wait()
	}
	return c
}

// advance advances the clock in small steps. After each it checks that at most
// one holder is valid and that a new holder has a higher token.
func (c *election) advance(t fataler, d time.Duration) {
	const step = 400 * time.Millisecond
	for range d / step {
		c.clock.Advance(step)
		time.Sleep(200 * time.Microsecond) // lets the holders run
		c.check(t)
	}
}

// check fails the test if two holders are valid or a token is not higher than
// that of an earlier holder.
func (c *election) check(t fataler) {
	valid := 0
	for i, h := range c.holders {
		token := h.Token()
		if token == 0 {
			continue
		}
		valid++
		if token < c.highestToken || token == c.highestToken && i != c.owner {
			t.Fatalf("holder %d has token %d after holder %d had %d", i, token, c.owner, c.highestToken)
		}
		c.highestToken, c.owner = token, i
	}
	if valid > 1 {
		t.Fatalf("%d holders are valid", valid)
	}
}

// waitUntil advances the clock until the condition holds.
func (c *election) waitUntil(t fataler, limit time.Duration, condition func() bool) {
	for elapsed := time.Duration(0); elapsed < limit; elapsed += time.Second {
		if condition() {
			return
		}
		c.advance(t, time.Second)
	}
	t.Fatalf("the condition did not hold within %v", limit)
}

func (c *election) held() bool { return c.current() >= 0 }

func (c *election) current() int {
	for i, h := range c.holders {
		if h.Valid() {
			return i
		}
	}
	return -1
}

// Guards against a holder that is still valid on its first check after a pause
// during which its lease ended, and against a successor whose token isn't higher.
func TestPausedHolder(t *testing.T) {
	c := newElection(2, nil)
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	first := c.current()
	token := c.holders[first].Token()
	c.pause(first, true)
	c.clock.Advance(lease.DefaultTTL) // ends the lease; Valid is then checked for the first time
	if c.holders[first].Valid() || c.holders[first].Token() != 0 {
		t.Error("the paused holder is valid after its lease ended")
	}
	c.waitUntil(t, time.Minute, func() bool { return c.holders[1-first].Valid() })
	c.pause(first, false)
	c.advance(t, 10*time.Second)
	if next := c.holders[1-first].Token(); next <= token {
		t.Errorf("token %d of the successor isn't above %d", next, token)
	}
}

// Guards against a deadline that is counted from the arrival of a late reply
// instead of from the request.
func TestDeadlineCountsFromTheRequest(t *testing.T) {
	c := newElection(1, nil)
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	access, began := c.clients[0], c.clock.Now()
	lastRenewal := func() time.Time {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		return c.store.lastRenewal
	}
	access.renewalReplies.Lock()
	c.waitUntil(t, lease.DefaultTTL, func() bool { return lastRenewal().After(began) })
	c.pause(0, true) // no further renewals
	c.advance(t, 4*time.Second)
	access.renewalReplies.Unlock()
	time.Sleep(10 * time.Millisecond) // lets the reply arrive
	c.clock.Advance(lastRenewal().Add(lease.DefaultTTL - 100*time.Millisecond).Sub(c.clock.Now()))
	if c.held() {
		t.Error("valid 100 ms before the store ends the lease, without a margin")
	}
}

// Guards against a lost reply to the write of the duty's key, after which no
// daemon holds the duty or the wrong one assumes that it does.
func TestLostReplyIsResolvedByReading(t *testing.T) {
	c := newElection(2, nil)
	defer c.stop()
	c.store.lostReplies = 1
	c.waitUntil(t, 20*time.Second, c.held)
	if c.store.grants != 1 {
		t.Errorf("%d leases were granted", c.store.grants)
	}
}

// Guards against two holders that are valid at the same time, under random
// pauses, store outages, lost replies and calls of Abandon.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newElection(2, nil)
		defer c.stop()
		for range rapid.IntRange(1, 15).Draw(t, "actions") {
			i := rapid.IntRange(0, 1).Draw(t, "holder")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				c.pause(i, !c.pauses[i])
			case 1:
				c.store.mu.Lock()
				c.store.unavailable = !c.store.unavailable
				c.store.mu.Unlock()
			case 2:
				c.store.mu.Lock()
				c.store.lostReplies = 1
				c.store.mu.Unlock()
			case 3:
				c.holders[i].Abandon()
			}
			c.advance(t, time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second)
		}
		c.store.mu.Lock()
		c.store.unavailable = false
		c.store.mu.Unlock()
		for i := range c.holders {
			c.pause(i, false)
		}
		c.waitUntil(t, time.Minute, c.held)
	})
}

// Guards against a holder that is cut off while the store is restored from a copy without its
// claim, and still valid when another daemon gets the duty.
func TestNewHolderWaitsForThatOfTheEarlierGeneration(t *testing.T) {
	c := newElection(2, nil)
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	c.advance(t, 20*time.Second)
	first := c.current()
	c.pause(first, true)
	c.store.restore(lease.Entry{}, 0)
	c.waitUntil(t, time.Minute, func() bool { return c.holders[1-first].Valid() }) // checks that one is valid
	c.pause(first, false)
	c.advance(t, 10*time.Second)
}

// Guards against a duty without a holder for a whole lease time although the daemon that held
// it when the store was restored reaches the store.
func TestHolderClaimsAgainAfterARestore(t *testing.T) {
	for name, kept := range map[string]bool{"claim lost": false, "claim in the copy": true} {
		t.Run(name, func(t *testing.T) {
			c := newElection(2, nil)
			defer c.stop()
			c.waitUntil(t, time.Minute, c.held)
			c.advance(t, 20*time.Second)
			first := c.current()
			before := c.holders[first].Token()
			entry, owner := c.store.snapshot()
			if !kept {
				entry = lease.Entry{}
			}
			c.store.restore(entry, owner)
			c.waitUntil(t, lease.DefaultTTL*3/4, func() bool { return c.holders[first].Token() > before })
			if got := c.holders[first].Predecessor(); got != before {
				t.Errorf("predecessor is %d, want %d", got, before)
			}
		})
	}
}

// Guards against a duty that is vacant after a restore until its holder's mirror of the store
// no longer shows the claim that was lost, so that it counts as no candidate.
func TestHolderClaimsAgainWhileItIsNoCandidate(t *testing.T) {
	var vacant atomic.Bool
	vacant.Store(true)
	c := newElection(2, func(int) bool { return vacant.Load() })
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	first := c.current()
	before := c.holders[first].Token()
	vacant.Store(false)
	c.store.restore(lease.Entry{}, 0)
	c.waitUntil(t, lease.DefaultTTL*3/4, func() bool { return c.holders[first].Token() > before })
}

// Guards against a holder that takes what it did before a restore for all that was done:
// another one had the duty in a generation in between, or since.
func TestPredecessorIsKnownOnlyToTheSuccessorOfItself(t *testing.T) {
	c := newElection(2, nil)
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	first := c.current()
	other := 1 - first
	c.pause(first, true)
	c.waitUntil(t, time.Minute, func() bool { return c.holders[other].Valid() })
	c.store.restore(lease.Entry{}, 0)
	c.pause(first, false)
	c.pause(other, true)
	c.waitUntil(t, time.Minute, func() bool { return c.holders[first].Valid() })
	if got := c.holders[first].Predecessor(); got != 0 {
		t.Errorf("predecessor is %d, want none", got)
	}
}

// Guards against a duty that nobody can acquire: a claim that the daemon has given up is in
// the store after a restore, under a lease that another daemon renews as its own.
func TestHolderTakesOverItsOwnClaim(t *testing.T) {
	c := newElection(2, nil)
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	c.advance(t, 20*time.Second)
	entry, _ := c.store.snapshot()
	first := c.current()
	c.pause(first, true)
	c.clock.Advance(lease.DefaultTTL) // ends the lease and the holder's validity
	const another = 1000
	c.store.restore(entry, another)
	c.store.mu.Lock()
	c.store.leases[another] = c.clock.Now().Add(time.Hour)
	c.store.mu.Unlock()
	c.pause(first, false)
	c.waitUntil(t, time.Minute, func() bool { return c.holders[first].Valid() })
}

// Guards against two valid holders and tokens that don't rise, when the store is restored
// from older copies while daemons are cut off, replies are lost and the store is away.
func TestOneHolderAtATimeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newElection(3, nil)
		defer c.stop()
		c.waitUntil(t, time.Minute, c.held)
		c.advance(t, 20*time.Second)
		entry, owner := c.store.snapshot()
		for range rapid.IntRange(1, 15).Draw(t, "actions") {
			i := rapid.IntRange(0, 2).Draw(t, "holder")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				c.pause(i, !c.pauses[i])
			case 1:
				c.store.mu.Lock()
				c.store.unavailable = !c.store.unavailable
				c.store.mu.Unlock()
			case 2:
				c.store.mu.Lock()
				c.store.lostReplies = 1
				c.store.mu.Unlock()
			case 3:
				c.holders[i].Abandon()
			case 4:
				entry, owner = c.store.snapshot()
			case 5:
				c.store.restore(entry, owner)
			case 6:
				c.store.restore(lease.Entry{}, 0)
			}
			c.advance(t, time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second)
		}
		c.store.mu.Lock()
		c.store.unavailable = false
		c.store.mu.Unlock()
		for i := range c.holders {
			c.pause(i, false)
		}
		c.waitUntil(t, time.Minute, c.held)
	})
}

// Guards against an overload of the store by campaigns of all 420 daemons instead
// of the candidates only.
func TestOnlyCandidatesCampaign(t *testing.T) {
	c := newElection(420, func(i int) bool { return i < lease.DefaultCandidates })
	defer c.stop()
	c.waitUntil(t, time.Minute, c.held)
	c.advance(t, 20*time.Second)
	if c.store.grants > lease.DefaultCandidates {
		t.Errorf("%d leases were granted", c.store.grants)
	}
}

// Guards against accepting a token that was used before, from a store that was
// restored with old data.
func TestLowerTokenIsRefused(t *testing.T) {
	c := newElection(1, nil)
	defer c.stop()
	c.store.revision = 1000
	c.waitUntil(t, time.Minute, c.held)
	c.store.mu.Lock()
	c.store.revision, c.store.entry = int64(rand.IntN(900)), lease.Entry{}
	clear(c.store.leases)
	c.store.mu.Unlock()
	c.waitUntil(t, time.Minute, func() bool { return !c.held() })
	c.advance(t, time.Minute)
	if c.held() {
		t.Errorf("token %d is lower than an earlier one", c.holders[0].Token())
	}
}

// Guards against a duty that no other daemon can acquire after a planned stop
// until the lease expires.
func TestStopReleasesTheDuty(t *testing.T) {
	c := newElection(1, nil)
	c.waitUntil(t, time.Minute, c.held)
	c.stop()
	if c.held() || c.store.entry.Revision != 0 {
		t.Error("the duty is still held")
	}
}
