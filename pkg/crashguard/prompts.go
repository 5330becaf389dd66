package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// promptQuarantineAfter is the number of crashes after which a prompt is refused,
	// whatever is known of its parts.
	promptQuarantineAfter = 3
	// promptRepeatAfter is the number of crashes after which a request that has just broken
	// off isn't repeated at another instance.
	promptRepeatAfter = 2
	// promptRetention is how long a crash is kept; callers repeat a request within their
	// deadlines, which are shorter. quarantineRetention is how long one is kept that belongs
	// to a quarantined prompt, from which on its callers may try again.
	promptRetention     = 2 * time.Minute
	quarantineRetention = 10 * time.Minute
	// promptMergeMargin is how long before its end a crash is no longer taken over from
	// other guards. They keep it a little longer, by the age of their messages, and would
	// otherwise bring it back.
	promptMergeMargin = 15 * time.Second
	// maxPrompts bounds the prompts that are kept, maxPromptCrashes the crashes of each.
	// A crash adds all prompts that the instance was running.
	maxPrompts       = 2048
	maxPromptCrashes = 8
)

// PromptState is what a Guard tells others of one prompt that was running at crashes.
type PromptState struct {
	Prompt  uint64 // fingerprint
	Crashes []PromptCrash
}

// PromptCrash is a crash at which requests with a prompt broke off.
type PromptCrash struct {
	ID      uint64 // as returned by CrashID
	Age     time.Duration
	SentAge time.Duration // since the last of the requests was sent
	Cleared bool          // a request with the prompt has completed since the crash
}

// promptTable holds the prompts that were running at crashes. Unlike a part, a prompt is
// the same only in repeats of one request, so that its crashes need no comparison with
// those of others. The table only grows until its entries expire.
type promptTable struct {
	crashes map[uint64]map[uint64]*crash // by prompt and CrashID
	refused map[uint64]int               // crashes that count, of the quarantined prompts
	digest  uint64
	// expiresAt is when the next crash expires.
	expiresAt time.Duration
}

func newPromptTable() promptTable {
	return promptTable{crashes: map[uint64]map[uint64]*crash{}, refused: map[uint64]int{}}
}

// add adds a crash, or what else is known of one.
func (t *promptTable) add(prompt, id uint64, at, sent time.Duration, cleared bool) {
	crashes := t.crashes[prompt]
	if crashes == nil {
		crashes = map[uint64]*crash{}
		t.crashes[prompt] = crashes
	}
	c := crashes[id]
	if c == nil {
		c = &crash{at: at}
		crashes[id] = c
		t.digest ^= promptDigest(prompt, id, false)
	}
	c.sent = max(c.sent, sent)
	if cleared {
		t.clear(prompt, id, c, at)
	}
	if len(crashes) > maxPromptCrashes {
		// All guards drop the same one, so that their tables become equal.
		ids := slices.SortedFunc(maps.Keys(crashes), func(a, b uint64) int {
			return cmp.Or(compareBool(crashes[a].cleared(), crashes[b].cleared()), cmp.Compare(a, b))
		})
		t.remove(prompt, ids[maxPromptCrashes])
	}
}

func (t *promptTable) clear(prompt, id uint64, c *crash, at time.Duration) {
	if !c.cleared() {
		c.clear(at)
		t.digest ^= promptDigest(prompt, id, false) ^ promptDigest(prompt, id, true)
	}
}

func (t *promptTable) remove(prompt, id uint64) {
	t.digest ^= promptDigest(prompt, id, t.crashes[prompt][id].cleared())
	delete(t.crashes[prompt], id)
	if len(t.crashes[prompt]) == 0 {
		delete(t.crashes, prompt)
	}
}

func promptDigest(prompt, id uint64, cleared bool) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(prompt, 16) + "\x00" + strconv.FormatUint(id, 16) + strconv.FormatBool(cleared))
}

// count returns the number of crashes that the prompt may have caused. Those that may have
// a common cause count once.
func (t *promptTable) count(prompt uint64) int {
	active := make(map[uint64]*crash, len(t.crashes[prompt]))
	for id, c := range t.crashes[prompt] {
		if !c.cleared() {
			active[id] = c
		}
	}
	return occasions(active)
}

// retention returns how long the crashes of a prompt are kept.
func (t *promptTable) retention(prompt uint64) time.Duration {
	if _, refused := t.refused[prompt]; refused {
		return quarantineRetention
	}
	return promptRetention
}

// expire drops old crashes, and the prompts with the fewest crashes beyond the bound: the
// same ones at all guards, as far as their tables are equal.
func (t *promptTable) expire(now time.Duration) {
	t.expiresAt = now + quarantineRetention
	for prompt, crashes := range t.crashes {
		for id, c := range crashes {
			if end := c.at + t.retention(prompt); end <= now {
				t.remove(prompt, id)
			} else {
				t.expiresAt = min(t.expiresAt, end)
			}
		}
	}
	if len(t.crashes) <= maxPrompts {
		return
	}
	counts := make(map[uint64]int, len(t.crashes))
	for prompt := range t.crashes {
		counts[prompt] = t.count(prompt)
	}
	prompts := slices.SortedFunc(maps.Keys(t.crashes), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, prompt := range prompts[maxPrompts:] {
		for id := range t.crashes[prompt] {
			t.remove(prompt, id)
		}
	}
}

// promptName returns the name of a prompt in logs.
func promptName(prompt uint64) string { return "prompt/" + strconv.FormatUint(prompt, 16) }

// PromptDigest returns a checksum of what is known of whole prompts. Guards with equal
// digests need no exchange. It is 0 if nothing is known. It also drops what has expired.
func (g *Guard) PromptDigest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.Now() >= g.prompts.expiresAt {
		g.updatePrompts(slices.Collect(maps.Keys(g.prompts.refused)))
	}
	return g.prompts.digest
}

// ExportPrompts returns what is known of whole prompts, of limited size, and its digest.
func (g *Guard) ExportPrompts() ([]PromptState, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	states := make([]PromptState, 0, len(g.prompts.crashes))
	for prompt, crashes := range g.prompts.crashes {
		s := PromptState{Prompt: prompt}
		for id, c := range crashes {
			s.Crashes = append(s.Crashes, PromptCrash{ID: id, Age: now - c.at, SentAge: now - c.sent, Cleared: c.cleared()})
		}
		states = append(states, s)
	}
	return states, g.prompts.digest
}

// MergePrompts adds what another guard knows of whole prompts. What exceeds the bounds is
// ignored.
func (g *Guard) MergePrompts(states []PromptState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	changed := make([]uint64, 0, len(states))
	for _, s := range states[:min(len(states), maxPrompts)] {
		end := promptRetention
		if len(s.Crashes) >= promptQuarantineAfter {
			end = quarantineRetention
		}
		for _, c := range s.Crashes[:min(len(s.Crashes), maxPromptCrashes)] {
			if age := max(c.Age, 0); age < end-promptMergeMargin || g.prompts.crashes[s.Prompt][c.ID] != nil {
				g.prompts.add(s.Prompt, c.ID, now-age, now-max(c.SentAge, 0), c.Cleared)
			}
		}
		changed = append(changed, s.Prompt)
	}
	g.updatePrompts(changed)
}

// updatePrompts drops what has expired and decides on the given prompts anew. The caller
// holds the lock.
func (g *Guard) updatePrompts(prompts []uint64) {
	for _, prompt := range prompts {
		g.judgePrompt(prompt)
	}
	g.prompts.expire(g.config.Now())
	for prompt := range g.prompts.refused {
		g.judgePrompt(prompt)
	}
	g.promptCount.Store(int64(len(g.prompts.crashes)))
}

// judgePrompt decides whether a prompt is quarantined. The caller holds the lock.
func (g *Guard) judgePrompt(prompt uint64) {
	count := g.prompts.count(prompt)
	_, before := g.prompts.refused[prompt]
	if count < promptQuarantineAfter {
		if before {
			delete(g.prompts.refused, prompt)
			g.config.OnChange(promptName(prompt), false, count, nil)
		}
		return
	}
	g.prompts.refused[prompt] = count
	if !before {
		g.config.OnChange(promptName(prompt), true, count, nil)
	}
}

// completedPrompt records that a request with the prompt has completed. The caller holds
// the lock.
func (g *Guard) completedPrompt(prompt uint64) {
	crashes := g.prompts.crashes[prompt]
	if len(crashes) == 0 {
		return
	}
	for id, c := range crashes {
		g.prompts.clear(prompt, id, c, g.config.Now())
	}
	g.updatePrompts([]uint64{prompt})
}

// refusesPrompt reports whether the prompt has crashed too many instances, and the time
// after which requests with it are admitted again. The caller holds the lock.
func (g *Guard) refusesPrompt(prompt uint64, repeat bool) (refused bool, retryAfter time.Duration) {
	limit := promptQuarantineAfter
	if repeat {
		limit = promptRepeatAfter
	}
	if g.prompts.count(prompt) < limit {
		return false, 0
	}
	var last time.Duration
	for _, c := range g.prompts.crashes[prompt] {
		last = max(last, c.at)
	}
	return true, max(last+g.prompts.retention(prompt)-g.config.Now(), 0)
}
