package fleet_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/fleet"
)

// A simulated engine processes prompts one after the other and caches shared
// prefixes. The values are those of the deployments' specifications.
const (
	tokensPerMs    = 140.0
	reuseWindow    = 5600 * time.Millisecond // a prefix used within it counts as cached by some engine
	decodeTime     = 1200 * time.Millisecond // of a long answer after its first event
	copyTime       = 7 * time.Millisecond    // of a shared prefix between two engines
	cacheRetention = 10 * time.Second        // of a shared prefix after its last use
)

type engine struct {
	freeAt time.Time            // when the waiting prompts are processed
	cache  map[string]time.Time // last use by shared prefix
}

// pattern is a load pattern.
type pattern struct {
	rate     float64 // requests per second
	daemons  int
	engines  int
	hotShare float64 // share of the requests that use one hot prefix
	// reclaimShare is the share of the engines that leave at 10 s with a notice
	// of 2.5 s; as many new engines start 2 s after they are gone.
	reclaimShare float64
}

// outcome is the result of a simulation.
type outcome struct {
	late       float64 // share of first events that take longer than 800 ms
	p99        time.Duration
	recomputed float64 // share of shared tokens recomputed although an engine had them cached
}

// choice is the instance for a request, the instance that it copies the shared
// prefix from, and the functions to call at the first event and at the end.
type choice struct {
	id, source         string
	firstEvent, finish func()
}

type chooser func(sets []*fleet.Set, q fleet.Query, daemon int) choice

// simulation is the state that the daemons and engines of one run share.
type simulation struct {
	clock   *clockwork.FakeClock
	sets    []*fleet.Set
	engines map[string]*engine
}

func newSimulation(p pattern) *simulation {
	sim := &simulation{clock: clockwork.NewFakeClock(), sets: make([]*fleet.Set, p.daemons), engines: map[string]*engine{}}
	for d := range sim.sets {
		sim.sets[d] = fleet.NewSet(sim.clock, slog.New(slog.DiscardHandler))
		sim.sets[d].DaemonCount = func() int { return p.daemons }
	}
	for e := range p.engines {
		sim.start(fmt.Sprintf("e%d", e))
	}
	return sim
}

func (sim *simulation) start(id string) {
	sim.engines[id] = &engine{cache: map[string]time.Time{}}
	sim.announce(id, false)
}

func (sim *simulation) announce(id string, leaving bool) {
	for _, s := range sim.sets {
		s.Put(fleet.Description{ID: id, Service: "s", Address: id, Slots: 24, Leaving: leaving, RemainingLifetime: notice})
	}
}

const (
	notice  = 2500 * time.Millisecond // from the announcement until the engine is gone
	startup = 2 * time.Second         // from then until its replacement is announced
)

// reclaim returns the events by which a share of the engines leaves at a time
// and is replaced.
func (sim *simulation) reclaim(p pattern, at time.Time) []event {
	var events []event
	for e := range int(p.reclaimShare * float64(p.engines)) {
		id := fmt.Sprintf("e%d", e)
		events = append(events,
			event{at, func() { sim.announce(id, true) }},
			event{at.Add(notice), func() {
				for _, s := range sim.sets {
					s.Remove(id)
				}
				delete(sim.engines, id)
			}},
			event{at.Add(notice + startup), func() { sim.start("new-" + id) }})
	}
	return events
}

// prefill returns the number of tokens that the engine has to compute and the
// time that it waits for a copy of the shared prefix.
func (sim *simulation) prefill(c choice, prefix string, q fleet.Query) (tokens float64, wait time.Duration) {
	now := sim.clock.Now()
	cached := func(e *engine) bool { return e != nil && now.Sub(e.cache[prefix]) <= cacheRetention }
	switch {
	case cached(sim.engines[c.id]):
		return float64(q.PromptTokens - q.SharedTokens), 0
	case cached(sim.engines[c.source]):
		return float64(q.PromptTokens - q.SharedTokens), copyTime
	}
	return float64(q.PromptTokens), 0
}

// event is a function that is called at a simulated time.
type event struct {
	at  time.Time
	run func()
}

// simulate runs 20 s of a pattern. choose returns the instance for a request.
func simulate(p pattern, seed uint64, choose chooser) outcome {
	sim := newSimulation(p)
	random := rand.New(rand.NewPCG(seed, 3))
	events := sim.reclaim(p, sim.clock.Now().Add(10*time.Second))
	// Times from the arrival of a request until its first event.
	var latencies []time.Duration
	sharedTokens, recomputed := 0.0, 0.0
	lastUse := map[string]time.Time{}
	step := time.Duration(float64(time.Second) / p.rate)
	lastReport := sim.clock.Now()
	for range int(20 * p.rate) {
		sim.clock.Advance(step)
		now := sim.clock.Now()
		events = slices.DeleteFunc(events, func(e event) bool {
			if e.at.After(now) {
				return false
			}
			e.run()
			return true
		})
		// Daemons report their load every 150 ms.
		if now.Sub(lastReport) > 150*time.Millisecond {
			lastReport = now
			exchangeLoads(sim.sets)
		}
		// There are 215 prefixes of 5,382 tokens. The rest of a prompt has 1,000 tokens
		// and an exponentially distributed part with a mean of 5,600.
		prefix := fmt.Sprintf("p%d", random.IntN(215))
		if random.Float64() < p.hotShare {
			prefix = "hot"
		}
		ownTokens := 1000 + int(random.ExpFloat64()*5600)
		q := fleet.Query{Service: "s", AffinityKey: prefix, PromptTokens: ownTokens + 5382, SharedTokens: 5382}
		c := choose(sim.sets, q, random.IntN(p.daemons))
		e := sim.engines[c.id]
		tokens, wait := sim.prefill(c, prefix, q)
		sharedTokens += 5382
		if tokens > float64(ownTokens) && now.Sub(lastUse[prefix]) < reuseWindow {
			recomputed += 5382
		}
		e.cache[prefix], lastUse[prefix] = now, now
		e.freeAt = maxTime(e.freeAt, now.Add(wait)).Add(time.Duration(tokens / tokensPerMs * float64(time.Millisecond)))
		latencies = append(latencies, e.freeAt.Sub(now))
		events = append(events, event{e.freeAt, c.firstEvent}, event{e.freeAt.Add(decodeTime), c.finish})
	}
	slices.Sort(latencies)
	late := 0
	for _, latency := range latencies {
		if latency > 800*time.Millisecond {
			late++
		}
	}
	return outcome{
		late: float64(late) / float64(len(latencies)), p99: latencies[len(latencies)*99/100], recomputed: recomputed / sharedTokens,
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// exchangeLoads gives each daemon the load of the others, as the reports to the
// coordinator do.
func exchangeLoads(sets []*fleet.Set) {
	loads := make([]map[string]fleet.Load, len(sets))
	for d, s := range sets {
		loads[d] = s.LocalLoads()
	}
	for d, s := range sets {
		sum := map[string]fleet.Load{}
		for other, l := range loads {
			if other == d {
				continue
			}
			for id, load := range l {
				total := sum[id]
				total.Inflight += load.Inflight
				total.PrefillTokens += load.PrefillTokens
				sum[id] = total
			}
		}
		s.SetRemoteLoads(sum)
	}
}

// choosePicked chooses as the daemons do.
func choosePicked(sets []*fleet.Set, q fleet.Query, daemon int) choice {
	reservation, err := sets[daemon].Pick(q)
	if err != nil {
		panic(err)
	}
	return choice{
		id: reservation.ID, source: reservation.PromptSource,
		firstEvent: reservation.FirstEventArrived, finish: reservation.Release,
	}
}

// chooseWithoutCopies chooses as the daemons do, but no prefix is copied between
// engines.
func chooseWithoutCopies(sets []*fleet.Set, q fleet.Query, daemon int) choice {
	c := choosePicked(sets, q, daemon)
	c.source = ""
	return c
}

// chooseAtRandom and chooseByLoad are the baselines.
func chooseAtRandom(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 5))
	return func(sets []*fleet.Set, _ fleet.Query, daemon int) choice {
		instances := sets[daemon].Snapshot("s")
		for {
			if i := instances[random.IntN(len(instances))]; !i.Leaving {
				return choice{id: i.ID, firstEvent: func() {}, finish: func() {}}
			}
		}
	}
}

func chooseByLoad(sets []*fleet.Set, q fleet.Query, daemon int) choice {
	q.AffinityKey = ""
	return choosePicked(sets, q, daemon)
}

var patterns = map[string]pattern{
	"steady load":                        {rate: 33, daemons: 7, engines: 12},
	"hot key":                            {rate: 33, daemons: 7, engines: 12, hotShare: 0.28},
	"burst at 1.7 times the steady rate": {rate: 56, daemons: 7, engines: 14},
	"large site":                         {rate: 130, daemons: 62, engines: 50},
	"large site, few daemons":            {rate: 130, daemons: 6, engines: 50},
	"mass reclaim":                       {rate: 130, daemons: 6, engines: 50, reclaimShare: 0.3},
	"large site, planned engine count":   {rate: 130, daemons: 6, engines: 20},
}

// Guards against prompts that queue while other instances are idle, against
// recomputing shared prefixes that are cached, and against daemons that all pick
// the same instance because they have the same load reports. Bounds: at most half
// as many late first events as with random choice, and at most half as many
// recomputed tokens as with choice by load alone.
func TestPicksUnderLoad(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(3) {
				own, random, load := simulate(p, seed, choosePicked), simulate(p, seed, chooseAtRandom(seed)), simulate(p, seed, chooseByLoad)
				t.Logf("seed %d: late %.4f (random %.4f, load %.4f), p99 %s (%s, %s), recomputed %.3f (%.3f, %.3f)", seed,
					own.late, random.late, load.late, own.p99, random.p99, load.p99, own.recomputed, random.recomputed, load.recomputed)
				g.Expect(own.late).To(BeNumerically("<=", random.late/2+0.001))
				g.Expect(own.recomputed).To(BeNumerically("<=", load.recomputed/2))
			}
		})
	}
}

// Guards against recomputing a shared prefix that another engine has cached:
// after many engines were reclaimed at once, and when load moves requests to an
// engine other than the first for their prefix. Bound: half of what is recomputed
// without copies.
func TestSharedPromptsAreCopied(t *testing.T) {
	for _, name := range []string{"burst at 1.7 times the steady rate", "large site, few daemons", "mass reclaim"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(3) {
				own, without := simulate(patterns[name], seed, choosePicked), simulate(patterns[name], seed, chooseWithoutCopies)
				t.Logf("seed %d: recomputed %.4f (without copies %.4f), late %.4f (%.4f)",
					seed, own.recomputed, without.recomputed, own.late, without.late)
				g.Expect(own.recomputed).To(BeNumerically("<=", without.recomputed/2+0.001))
			}
		})
	}
}

// Guards against copying a prompt from an instance that is about to stop or runs
// another version: the copy fails, and the first event waits for it.
func TestPromptSources(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	set := fleet.NewSet(clock, slog.New(slog.DiscardHandler))
	d := fleet.Description{ID: "old", Service: "s", Address: "old", Version: "v1", Slots: 24}
	set.Put(d)
	d.Leaving, d.RemainingLifetime = true, notice
	set.Put(d)
	set.Put(fleet.Description{ID: "new", Service: "s", Address: "new", Version: "v1", Slots: 24})
	source := func() string {
		reservation, err := set.Pick(fleet.Query{Service: "s", AffinityKey: "p", PromptTokens: 9000, SharedTokens: 5382})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reservation.ID).To(Equal("new"))
		return reservation.PromptSource
	}
	g.Expect(source()).To(Equal("old"))
	clock.Advance(2200 * time.Millisecond)
	g.Expect(source()).To(BeEmpty(), "the source stops in 0.3 s")
	set.Put(fleet.Description{ID: "other", Service: "s", Address: "other", Version: "v2", Slots: 1, WarmupTime: time.Hour})
	g.Expect(source()).To(BeEmpty(), "the other instance runs another version")
}
