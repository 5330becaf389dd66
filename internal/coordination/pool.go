package coordination

import (
	"sync"
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/internal/traffic"
)

// poolMember is the time for which a daemon that asked a pool counts as its
// member: on a busy fleet every daemon asks several times a second.
const poolMember = 2 * time.Second

// poolConfig holds the parameters of a pool.
type poolConfig struct {
	now     func() time.Duration // suspensions included
	daemons func() int           // number of live daemons
	slack   func() float64       // of each quota, for all daemons without a coordinator
}

// pool puts together the shares of quotas that daemons may use without a
// coordinator. One daemon's share seldom covers a long prompt; the shares of
// all cover what arrives anywhere. A daemon that asks brings in its equal
// share, so that several pools together don't grant more than one.
type pool struct {
	config poolConfig

	mu      sync.Mutex
	members map[string]time.Duration // when each daemon asked last
	levels  map[string]*bucket       // by account; a level may be negative
}

func newPool(config poolConfig) *pool {
	return &pool{config: config, members: map[string]time.Duration{}, levels: map[string]*bucket{}}
}

// borrow grants all of the units or none.
func (p *pool) borrow(account *traffic.Account, daemon string, units float64) *coordinatorv1.BorrowResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.now()
	share := p.join(daemon, now)
	rate := account.Rate * fallbackShare * share
	b := p.levels[account.Name]
	if b == nil {
		b = &bucket{filled: now}
		p.levels[account.Name] = b
	}
	b.level += rate * (now - b.filled).Seconds()
	if now-b.filled > poolMember {
		// The coordinator has granted the quota meanwhile: nothing was saved up.
		b.level = min(b.level, 0)
	}
	b.filled = now
	b.level = min(b.level, rate*fallbackDepth.Seconds())
	if b.level+p.config.slack()*share < units {
		return &coordinatorv1.BorrowResponse{WaitMs: quotaRetry.Milliseconds()}
	}
	b.level -= units
	return &coordinatorv1.BorrowResponse{Units: units}
}

// announce counts the daemon as a member.
func (p *pool) announce(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join(daemon, p.config.now())
}

// join counts the daemon as a member and returns the members' part of the fleet.
func (p *pool) join(daemon string, now time.Duration) float64 {
	p.members[daemon] = now
	for name, asked := range p.members {
		if now-asked > poolMember {
			delete(p.members, name)
		}
	}
	return min(float64(len(p.members))/float64(max(p.config.daemons(), 1)), 1)
}
