package mirror

import (
	"sync"
	"time"
)

// Contact records when the store answered. The mirrors of a daemon share one, because the
// calls of either show an outage of the store. It is safe for concurrent use.
type Contact struct {
	mu         sync.Mutex
	answeredAt time.Duration // latest time at which the store is known to have answered
	failedAt   time.Duration // latest failed call of this daemon
	gapEnd     time.Duration // end of the latest time of expiryTime or more without an answer
	graceEnd   time.Duration // see removalDue
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
