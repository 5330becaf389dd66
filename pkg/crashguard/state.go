package crashguard

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a Guard tells others.
type State []PartState

// PartState is the state of one part of a prompt that was there at crashes.
type PartState struct {
	Part      string // service/ID, or a hash
	Completed bool   // a request with the part has completed at some time
	Crashes   []CrashState
}

// CrashState is a crash at which requests with the part broke off.
type CrashState struct {
	ID      uint64
	Age     time.Duration
	SentAge time.Duration // since the last of the requests with the part was sent
	// Cleared tells that a request with the part has completed since the crash, and
	// ClearedAge for how long that is known.
	Cleared    bool
	ClearedAge time.Duration
	Accounts   []string // of the requests with the part
}

// Digest returns a checksum of the state. Guards with equal digests need no exchange. It
// is 0 if nothing is known. It also drops what has expired, so that it should be called
// now and then.
func (g *Guard) Digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) > 0 && g.config.Now() > g.expiresAt {
		g.update()
	}
	return g.digest
}

// Export returns the whole state, of limited size, and its digest.
func (g *Guard) Export() (State, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	state := make(State, 0, len(g.suspects))
	for part, s := range g.suspects {
		p := PartState{Part: part, Completed: s.completed}
		for id, c := range s.crashes {
			exported := CrashState{ID: id, Age: now - c.at, SentAge: now - c.sent, Cleared: c.cleared(), Accounts: slices.Clone(c.accounts)}
			if exported.Cleared {
				exported.ClearedAge = now - c.clearedAt
			}
			p.Crashes = append(p.Crashes, exported)
		}
		state = append(state, p)
	}
	return state, g.digest
}

// Merge adds the state of another guard. What exceeds the bounds is ignored.
func (g *Guard) Merge(state State) {
	if len(state) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	for _, p := range state[:min(len(state), maxParts)] {
		part := shortName(p.Part)
		for _, c := range p.Crashes[:min(len(p.Crashes), maxCrashes)] {
			age := max(c.Age, 0)
			if age > retention || c.Cleared && c.ClearedAge > clearedRetention {
				continue
			}
			own := g.crashOf(part, c.ID, now-age)
			own.sent = max(own.sent, now-max(c.SentAge, 0))
			if c.Cleared {
				own.clear(now - max(c.ClearedAge, 0))
			}
			own.addAccounts(shortNames(c.Accounts))
		}
		if s := g.suspects[part]; s != nil {
			s.completed = s.completed || p.Completed
		}
	}
	g.update()
}

func shortNames(names []string) []string {
	names = names[:min(len(names), maxAccounts)]
	short := make([]string, len(names))
	for i, name := range names {
		short[i] = shortName(name)
	}
	return short
}

// computeDigest returns the checksum of the state, which depends neither on the order of
// its entries nor on times. The caller holds the lock.
func (g *Guard) computeDigest() uint64 {
	var digest uint64
	for part, s := range g.suspects {
		digest ^= xxhash.Sum64String(part + "\x00" + strconv.FormatBool(s.completed))
		for id, c := range s.crashes {
			text := part + "\x00" + strconv.FormatUint(id, 16) + strconv.FormatBool(c.cleared())
			for _, account := range c.accounts {
				text += "\x00" + account
			}
			digest ^= xxhash.Sum64String(text)
		}
	}
	return digest
}
