package coordination

import (
	"sync"
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// poolMemberTTL is how long a daemon counts as a member of a pool after its last
// call. In a busy fleet, every daemon calls several times per second.
const poolMemberTTL = 2 * time.Second

// poolConfig holds the parameters of a pool.
type poolConfig struct {
	now     func() time.Duration // monotonic, includes time in suspension
	daemons func() int           // number of live daemons
	slack   func() float64       // cost units of each quota that all daemons together may use without a coordinator
}

// pool combines the shares of quotas that daemons may use without a coordinator.
// The share of one daemon rarely covers a long prompt; the combined shares cover
// prompts at any daemon. Each daemon that calls adds its equal share, so that
// several pools together grant no more than a single one would.
type pool struct {
	config poolConfig

	mu      sync.Mutex
	members *recency           // by the last call
	buckets map[string]*bucket // by account; the level of a bucket may be negative
}

func newPool(config poolConfig) *pool {
	return &pool{config: config, members: newRecency(), buckets: map[string]*bucket{}}
}

// borrow grants all of the units or none.
func (p *pool) borrow(account *traffic.Account, daemon string, units float64) *coordinatorv1.BorrowResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.now()
	share := p.join(daemon, now)
	rate := account.Rate * fallbackShare * share
	b := p.buckets[account.Name]
	if b == nil {
		b = &bucket{refilled: now}
		p.buckets[account.Name] = b
	}
	b.level += rate * (now - b.refilled).Seconds()
	if now-b.refilled > poolMemberTTL {
		// The coordinator has granted the quota of this time, so none accumulates.
		b.level = min(b.level, 0)
	}
	b.refilled = now
	b.level = min(b.level, rate*fallbackBurst.Seconds())
	if b.level+p.config.slack()*share < units {
		return &coordinatorv1.BorrowResponse{WaitMs: quotaRetryAfter.Milliseconds()}
	}
	b.level -= units
	return &coordinatorv1.BorrowResponse{Units: units}
}

// register adds the daemon as a member without borrowing.
func (p *pool) register(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join(daemon, p.config.now())
}

// join registers the daemon as a member and returns the fraction of all daemons
// that are members. The caller holds the lock.
func (p *pool) join(daemon string, now time.Duration) float64 {
	p.members.touch(daemon, now)
	p.members.expire(now, poolMemberTTL)
	return min(float64(p.members.count())/float64(max(p.config.daemons(), 1)), 1)
}
