// Package crashguard finds the parts of prompts that crash instances, and decides which
// requests to refuse so that such a part doesn't crash one instance after the other.
//
// Each daemon has a Guard. The guards exchange what they know with Export and Merge.
// Their states only grow until entries expire, so that the order and number of the
// exchanges don't matter and no guard depends on another one.
package crashguard

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// quarantineAfter is the number of crashes after which a part that no request has
	// ever completed with is quarantined.
	quarantineAfter = 3
	// quarantineKnownAfter is the number of crashes without a completed request in between
	// after which a part is quarantined that requests have completed with before.
	quarantineKnownAfter = 6
	// repeatAfter is the number of crashes after which a request with a part that no
	// request has completed with isn't repeated at another instance.
	repeatAfter = 2
	// commonCauseTime is the time within which several crashes count once if all their
	// requests were sent before the first one: something else, such as a loss of power, may
	// have ended these instances at once.
	commonCauseTime = 100 * time.Millisecond
	// retention is how long a crash counts. clearedRetention is how long it is kept after it
	// was cleared: a guard that has no contact for longer would bring it back.
	retention        = time.Hour
	clearedRetention = 10 * time.Minute
	// trialInterval is the mean time between two requests of the whole fleet that are let
	// through although they hold a quarantined part, and minTrialWait the least time from
	// a crash to the next one. A part that was quarantined by mistake is released by the
	// first of them that completes.
	trialInterval = 2 * time.Minute
	minTrialWait  = time.Minute
	// maxParts, maxCrashes and maxAccounts bound the state: the parts that were there at
	// crashes, the crashes of a part, and the accounts of a crash. knownParts bounds the
	// parts that this daemon's requests have completed with.
	maxParts    = 256
	maxCrashes  = 16
	maxAccounts = 8
	knownParts  = 4096
	// maxNameBytes is the longest part or account that is kept as it is.
	maxNameBytes = 64
)

// Config holds the parameters of a Guard.
type Config struct {
	Now func() time.Duration // monotonic, includes time in suspension
	// Daemons returns the number of daemons that exchange their states.
	Daemons func() int
	// OnChange is called when a part, as "service/ID", or a prompt is quarantined or released. It must
	// not call the Guard. crashes is the number of crashes that count, and accounts lists
	// those whose requests are refused; it is nil if those of all are.
	OnChange func(part string, quarantined bool, crashes int, accounts []string)
}

// Guard holds what is known of the parts of prompts that were there at crashes. It is
// safe for concurrent use.
type Guard struct {
	config Config
	known  *lru.Cache[string, struct{}] // parts that requests of this daemon have completed with

	mu       sync.Mutex
	suspects map[string]*suspect      // by part
	verdicts map[string]verdict       // by part; only those that may lead to a refusal
	trials   map[string]time.Duration // when a request with a quarantined part is let through next
	digest   uint64                   // of suspects
	prompts  promptTable
	// expiresAt is when the next crash of suspects expires.
	expiresAt time.Duration
	// promptCount is the number of prompts that were there at crashes.
	promptCount atomic.Int64
}

// suspect is a part that was there at crashes. Its flags and sets only grow.
type suspect struct {
	// completed reports whether any request with the part has ever completed.
	completed bool
	crashes   map[uint64]*crash // by CrashID
}

// crash is a crash at which requests with a part broke off.
type crash struct {
	at time.Duration
	// sent is when the last of the requests with the part was sent to the instance.
	sent time.Duration
	// clearedAt is when a request with the part first completed after the crash; 0 if none
	// has.
	clearedAt time.Duration
	accounts  []string // of the requests with the part, sorted
}

func (c *crash) cleared() bool { return c.clearedAt != 0 }

// clear records that a request with the part completed after the crash.
func (c *crash) clear(at time.Duration) {
	if !c.cleared() || at < c.clearedAt {
		c.clearedAt = max(at, 1)
	}
}

// expiresAt returns when the crash no longer counts.
func (c *crash) expiresAt() time.Duration {
	if c.cleared() {
		return min(c.at+retention, c.clearedAt+clearedRetention)
	}
	return c.at + retention
}

// verdict is the decision on a part.
type verdict struct {
	quarantined bool // requests are refused, and not just not repeated
	crashes     int
	lastCrash   time.Duration
	// accounts are the accounts that had requests with the part at each crash; nil if there
	// are none.
	accounts []string
	// companions are the other parts that were there at each of the crashes. Any of them
	// may be the cause.
	companions []string
}

// New returns a Guard that knows of no crash.
func New(config Config) *Guard {
	known, err := lru.New[string, struct{}](knownParts)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Guard{config: config, known: known, suspects: map[string]*suspect{}, verdicts: map[string]verdict{}, trials: map[string]time.Duration{}, prompts: newPromptTable()}
}

// Crashed records the requests that broke off when an instance crashed.
func (g *Guard) Crashed(id uint64, at time.Duration, requests []Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var prompts []uint64
	for _, r := range requests {
		if prompt, known := r.promptKey(); known {
			g.prompts.add(prompt, id, at, r.Sent, false)
			prompts = append(prompts, prompt)
		}
		for _, part := range r.keys() {
			c := g.crashOf(part, id, at)
			c.sent = max(c.sent, r.Sent)
			c.addAccounts([]string{shortName(r.Account)})
		}
	}
	g.updatePrompts(prompts)
	g.update()
}

// Completed records a request whose instance has completed its reply: neither its prompt
// nor a part of it crashes instances.
func (g *Guard) Completed(r Request) {
	if !r.HasPrompt() {
		return
	}
	keys := r.keys()
	for _, part := range keys {
		g.known.Add(part, struct{}{})
	}
	prompt, whole := g.suspectPrompt(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		g.completedPrompt(prompt)
	}
	changed := false
	for _, part := range keys {
		s := g.suspects[part]
		if s == nil {
			continue
		}
		changed = changed || !s.completed
		s.completed = true
		for _, c := range s.crashes {
			changed = changed || !c.cleared()
			c.clear(g.config.Now())
		}
	}
	if changed {
		g.update()
	}
}

// Refuses reports whether a request must not be sent, and the time after which another
// request with its parts may be. repeat tells that the request has broken off at
// an instance before.
func (g *Guard) Refuses(r Request, repeat bool) (refused bool, retryAfter time.Duration) {
	if !r.HasPrompt() {
		return false, 0
	}
	prompt, whole := g.suspectPrompt(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		if refused, retryAfter := g.refusesPrompt(prompt, repeat); refused {
			return true, retryAfter
		}
	}
	if len(g.verdicts) == 0 {
		return false, 0
	}
	keys := r.keys()
	for _, part := range keys {
		v, found := g.verdicts[part]
		if !found || !v.quarantined && !repeat || !v.concerns(keys, shortName(r.Account)) {
			continue
		}
		if v.quarantined && !repeat && g.admitsTrial(part, v) {
			continue
		}
		return true, minTrialWait
	}
	return false, 0
}

// suspectPrompt returns the fingerprint of the request's prompt, and false if no prompt is
// suspected or the request doesn't tell its own part.
func (g *Guard) suspectPrompt(r Request) (uint64, bool) {
	if g.promptCount.Load() == 0 {
		return 0, false
	}
	return r.promptKey()
}

// concerns reports whether a request with these parts, of which one has the verdict, is
// refused or not repeated.
func (v verdict) concerns(parts []string, account string) bool {
	if len(v.accounts) > 0 && !slices.Contains(v.accounts, account) {
		return false
	}
	for _, companion := range v.companions {
		if !slices.Contains(parts, companion) {
			return false
		}
	}
	return true
}

// admitsTrial reports whether a request with a quarantined part is let through, to find out
// whether it still crashes instances. The caller holds the lock.
func (g *Guard) admitsTrial(part string, v verdict) bool {
	now := g.config.Now()
	spread := 2 * float64(trialInterval) * float64(max(g.config.Daemons(), 1))
	next, scheduled := g.trials[part]
	if !scheduled || next < v.lastCrash+minTrialWait {
		next = v.lastCrash + minTrialWait + time.Duration(rand.Float64()*spread)
		g.trials[part] = next
	}
	if now < next {
		return false
	}
	g.trials[part] = now + time.Duration(rand.Float64()*spread)
	return true
}

// crashOf returns the record of a crash for a part. The caller holds the lock.
func (g *Guard) crashOf(part string, id uint64, at time.Duration) *crash {
	s := g.suspect(part)
	c := s.crashes[id]
	if c == nil {
		c = &crash{at: at}
		s.crashes[id] = c
	}
	return c
}

// suspect returns the state of a part. The caller holds the lock.
func (g *Guard) suspect(part string) *suspect {
	s := g.suspects[part]
	if s == nil {
		s = &suspect{crashes: map[uint64]*crash{}}
		g.suspects[part] = s
	}
	if !s.completed && g.known.Contains(part) {
		s.completed = true
	}
	return s
}

// addAccounts adds accounts and keeps the first maxAccounts of them.
func (c *crash) addAccounts(accounts []string) {
	c.accounts = append(c.accounts, accounts...)
	slices.Sort(c.accounts)
	c.accounts = slices.Compact(c.accounts)
	c.accounts = c.accounts[:min(len(c.accounts), maxAccounts)]
}

// update drops what has expired or exceeds the bounds, and decides on each part anew.
// The caller holds the lock.
func (g *Guard) update() {
	g.expire()
	old := g.verdicts
	g.verdicts = map[string]verdict{}
	for part, s := range g.suspects {
		if v, found := g.judge(part, s); found {
			g.verdicts[part] = v
		}
	}
	g.digest = g.computeDigest()
	maps.DeleteFunc(g.trials, func(part string, _ time.Duration) bool { return !g.verdicts[part].quarantined })
	for part, v := range g.verdicts {
		if before := old[part]; v.quarantined && (!before.quarantined || !slices.Equal(before.accounts, v.accounts)) {
			g.config.OnChange(part, true, v.crashes, v.accounts)
		}
	}
	for part, v := range old {
		if v.quarantined && !g.verdicts[part].quarantined {
			g.config.OnChange(part, false, v.crashes, nil)
		}
	}
}

// judge returns the verdict on a part, or false if there is none.
func (g *Guard) judge(part string, s *suspect) (verdict, bool) {
	active := s.active()
	v := verdict{crashes: occasions(active)}
	limit := quarantineAfter
	if s.completed {
		limit = quarantineKnownAfter
	}
	v.quarantined = v.crashes >= limit
	if !v.quarantined && (s.completed || v.crashes < repeatAfter) {
		return v, false
	}
	first := true
	for _, c := range active {
		v.lastCrash = max(v.lastCrash, c.at)
		if first {
			v.accounts, first = slices.Clone(c.accounts), false
		} else {
			v.accounts = slices.DeleteFunc(v.accounts, func(a string) bool { return !slices.Contains(c.accounts, a) })
		}
	}
	for other, o := range g.suspects {
		if other != part && containsAll(o.active(), active) {
			v.companions = append(v.companions, other)
		}
	}
	return v, true
}

// active returns the crashes that the part may have caused.
func (s *suspect) active() map[uint64]*crash {
	active := make(map[uint64]*crash, len(s.crashes))
	for id, c := range s.crashes {
		if !c.cleared() {
			active[id] = c
		}
	}
	return active
}

func containsAll(crashes, wanted map[uint64]*crash) bool {
	for id := range wanted {
		if crashes[id] == nil {
			return false
		}
	}
	return true
}

// occasions returns the number of crashes, where those that may have a common cause other
// than the part count once.
func occasions(crashes map[uint64]*crash) int {
	inOrder := slices.SortedFunc(maps.Values(crashes), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	count := 0
	var began time.Duration
	for _, c := range inOrder {
		if count == 0 || c.at-began > commonCauseTime || c.sent > began {
			count, began = count+1, c.at
		}
	}
	return count
}

// expire drops old crashes, and the least important parts and crashes beyond the bounds.
// It drops the same ones at all guards, as far as their states are equal. The caller
// holds the lock.
func (g *Guard) expire() {
	now := g.config.Now()
	g.expiresAt = now + retention
	for part, s := range g.suspects {
		maps.DeleteFunc(s.crashes, func(_ uint64, c *crash) bool {
			if c.expiresAt() < now {
				return true
			}
			g.expiresAt = min(g.expiresAt, c.expiresAt())
			return false
		})
		if len(s.crashes) == 0 {
			delete(g.suspects, part)
			continue
		}
		ids := slices.SortedFunc(maps.Keys(s.crashes), func(a, b uint64) int {
			return cmp.Or(compareBool(s.crashes[a].cleared(), s.crashes[b].cleared()), cmp.Compare(a, b))
		})
		for _, id := range ids[min(len(ids), maxCrashes):] {
			delete(s.crashes, id)
		}
	}
	if len(g.suspects) <= maxParts {
		return
	}
	parts := slices.SortedFunc(maps.Keys(g.suspects), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(g.suspects[b].active()), len(g.suspects[a].active())), cmp.Compare(a, b))
	})
	for _, part := range parts[maxParts:] {
		delete(g.suspects, part)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Quarantined returns the number of parts and of whole prompts whose requests are refused.
func (g *Guard) Quarantined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := len(g.prompts.refused)
	for _, v := range g.verdicts {
		if v.quarantined {
			count++
		}
	}
	return count
}
