package mirror

import (
	"sync"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// Contact records when the store answered. The mirrors of a daemon share one, because the
// calls of either show an outage of the store. It is safe for concurrent use.
type Contact struct {
	mu         sync.Mutex
	answeredAt time.Duration // latest time at which the store is known to have answered
	failedAt   time.Duration // latest failed call of this daemon
	gapEnd     time.Duration // end of the latest time of expiryTime or more without an answer
	graceEnd   time.Duration // see removalDue

	// firstRevision is that of the first answer in the latest generation of the store; 0 if
	// there was none. Entries with a higher one were written after a restore.
	firstRevision int64
	settledFrom   time.Duration // see settling
	// unconfirmed means that the store may have been restored just before the first answer.
	unconfirmed bool
}

// NewContact returns the Contact of a daemon that starts. Until Mirror.Confirm is called, its
// mirrors are treated as those of a store that was restored just before the first answer, if
// the store distinguishes generations.
func NewContact() *Contact { return &Contact{unconfirmed: true} }

// confirm ends the settling time of a daemon that starts.
func (c *Contact) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unconfirmed {
		c.unconfirmed, c.settledFrom = false, 0
	}
}

// starting reports whether the settling time of a daemon that starts isn't over.
func (c *Contact) starting(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unconfirmed && now < c.settledFrom
}

// observe records the revision of an answer of the store, or of the copy of another daemon.
// It reports whether this is the first answer since a restore of the store.
func (c *Contact) observe(revision int64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstRevision != 0 && store.Generation(revision) <= store.Generation(c.firstRevision) {
		return false
	}
	restored := c.firstRevision != 0
	if restored || c.unconfirmed && store.Generation(revision) > 0 {
		c.settledFrom = now + expiryGrace
	}
	c.firstRevision = revision
	return restored
}

// settleUntil extends the settling time.
func (c *Contact) settleUntil(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settledFrom = max(c.settledFrom, until)
}

// settling returns until when the store may lack what its owners wrote before a restore, and
// true if that is ahead.
func (c *Contact) settling(now time.Duration) (until time.Duration, settling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settledFrom, now < c.settledFrom
}

// generation returns the latest generation of the store that is known.
func (c *Contact) generation() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return store.Generation(c.firstRevision)
}

// writtenSince reports whether an entry of this revision was written after the first answer
// since the latest restore.
func (c *Contact) writtenSince(revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return revision > c.firstRevision
}

// answered records that the store answered this daemon or another one at the times from
// and to, which are at most minOutage apart.
func (c *Contact) answered(from, to, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gap := from - c.answeredAt
	if gap > expiryTime {
		c.gapEnd = now
	}
	if gap > minOutage && c.failedAt > c.answeredAt {
		c.graceEnd = max(c.failedAt+expiryGrace, now+rewriteTime)
	}
	c.answeredAt = max(c.answeredAt, to)
}

// failed records that a call of this daemon got no reply.
func (c *Contact) failed(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = now
}

// removalDue returns until when entries that are missing are kept, and true, if an outage
// of the store may be the cause.
func (c *Contact) removalDue(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.graceEnd, now < c.graceEnd
}

// steady reports whether the store has answered all the time, so that owners whose entries
// are missing have removed them, or have had the time to write them again.
func (c *Contact) steady(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now-c.answeredAt <= expiryTime && now-c.gapEnd > expiryGrace
}
