package fleet

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNoInstance means that no instance of the service can take the request.
var ErrNoInstance = errors.New("no instance available")

// Query describes a request for Pick.
type Query struct {
	Service string
	// Affinity groups requests that share a long part of their prompt; empty if none.
	Affinity string
	// Prompt is the number of prompt tokens, Shared that of the part which
	// Affinity names.
	Prompt, Shared int
	// Excluded instances have failed the request.
	Excluded []string
	// Accept filters by version; nil accepts all.
	Accept func(version string) bool
	// DataCentre is that of the daemon.
	DataCentre string
}

// Lease is one request's place on an instance. Done must be called.
type Lease struct {
	Description
	set    *Set
	prompt int
	began  bool
	// Load is the instance's load as known when it was picked, without the request.
	Load Load
	// PromptSource is the address of the instance that probably keeps the shared
	// part of the prompt beside the picked one; empty if none is known.
	PromptSource string
}

// Weights of the score, in units of one running request.
const (
	// prefillUnit is the number of waiting prompt tokens that cost as much as
	// one running request: 100 ms of prefill at 140 tokens a ms delay an event
	// of a stream about as much as a fully used place.
	prefillUnit = 6000.0
	// sharedUnit is the number of cached prompt tokens that are worth one
	// running request. Reading a token again costs about three times what it
	// costs others to wait for it, and copying it from another engine a sixth of
	// reading it. With 1,200, short shared parts were spread over all instances.
	sharedUnit = 400.0
	// secondRank is the part of that worth which the second instance in
	// rendezvous order has: it takes over when the first is busy.
	secondRank = 0.5
	// sampledDaemons is the number of daemons up to which each chooses among all
	// instances.
	sampledDaemons = 10.0
	// sickPenalty ranks an ejected instance behind every healthy one.
	sickPenalty = 1000.0
	// coldPenalty ranks an instance that is still slow after its start.
	coldPenalty = 4.0
	// distancePenalty breaks ties in favour of the own data centre, because
	// bytes between data centres are paid for.
	distancePenalty = 0.7
	// sourceMargin is how long before the end of a leaving instance no more
	// prompts are copied from it. With copies up to the end, the first events of
	// the requests that waited for them came late.
	sourceMargin = 500 * time.Millisecond
	// jitter keeps daemons with the same view from choosing alike.
	jitter = 0.5
)

// Pick reserves a place on the instance with the lowest score.
func (s *Set) Pick(q Query) (*Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *Instance
	homes := s.homesOf(q)
	sample := s.sampleShare()
	for round := 0; round < 2 && best == nil; round++ {
		// The second round takes all, if the sample had no eligible instance.
		best = s.bestOf(q, homes, sample)
		sample = 1
	}
	if best == nil {
		return nil, ErrNoInstance
	}
	lease := &Lease{
		Description: best.Description, set: s, prompt: q.Prompt, Load: best.load(), PromptSource: homes.source(best),
	}
	best.inflight++
	best.prefill += q.Prompt
	return lease, nil
}

// bestOf returns the eligible instance with the lowest score among the homes
// and a random share of the others.
func (s *Set) bestOf(q Query, homes promptHomes, sample float64) *Instance {
	var best *Instance
	bestScore := 0.0
	for _, i := range s.byService[q.Service] {
		if !s.eligible(i, q) || sample < 1 && i != homes.takers.first && i != homes.takers.second && rand.Float64() >= sample {
			continue
		}
		score := s.score(i, q)
		switch i {
		case homes.takers.first:
			score -= float64(q.Shared) / sharedUnit
		case homes.takers.second:
			score -= float64(q.Shared) / sharedUnit * secondRank
		}
		if best == nil || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// sampleShare returns the share of instances to choose from. Many daemons with
// the same reports would otherwise all choose the same instance.
func (s *Set) sampleShare() float64 {
	if s.Daemons == nil {
		return 1
	}
	return min(sampledDaemons/float64(max(s.Daemons(), 1)), 1)
}

func (i *Instance) load() Load {
	return Load{Inflight: i.inflight + i.inflightThere, Prefill: i.prefill + i.prefillThere}
}

func (s *Set) eligible(i *Instance, q Query) bool { return !i.Leaving && s.present(i, q) }

// present reports whether an instance that fits the request is at its address.
func (s *Set) present(i *Instance, q Query) bool {
	return !i.displaced && s.addresses[i.Address] == i.ID && !slices.Contains(q.Excluded, i.ID) &&
		(q.Accept == nil || q.Accept(i.Version))
}

func (s *Set) score(i *Instance, q Query) float64 {
	load := i.load()
	running := float64(load.Inflight)
	if over := load.Inflight - i.Slots; over >= 0 {
		running += float64(over + 1)
	}
	score := running*24/float64(i.Slots) + float64(load.Prefill)/prefillUnit + rand.Float64()*jitter
	if i.weight <= 0 {
		score += sickPenalty
	} else {
		score += (1 - i.weight) * 10
	}
	if i.ColdFor > 0 && s.clock.Since(i.SeenAt) < i.ColdFor {
		score += coldPenalty
	}
	if i.DataCentre != q.DataCentre {
		score += distancePenalty
	}
	return score
}

// promptHomes are the instances that rank first in rendezvous order for a shared
// prompt. Every daemon with the same view finds the same ones.
type promptHomes struct {
	// takers can take the request.
	takers topTwo
	// sources may keep the shared part. Leaving instances are among them: they
	// were homes until their notice.
	sources topTwo
}

// topTwo are the two instances with the highest hashes of those added.
type topTwo struct {
	first, second *Instance
	most, next    uint64
}

func (t *topTwo) add(i *Instance, hash uint64) {
	switch {
	case t.first == nil || hash > t.most:
		t.second, t.next = t.first, t.most
		t.first, t.most = i, hash
	case t.second == nil || hash > t.next:
		t.second, t.next = i, hash
	}
}

// source returns the address from which an instance can get the shared part. An
// instance that has just become the home gets it from the one before, which
// ranks next.
func (h promptHomes) source(picked *Instance) string {
	for _, i := range []*Instance{h.sources.first, h.sources.second} {
		if i != nil && i != picked && i.Version == picked.Version {
			return i.Address
		}
	}
	return ""
}

// homesOf ranks the instances of the service for the request's shared prompt.
func (s *Set) homesOf(q Query) promptHomes {
	var h promptHomes
	if q.Affinity == "" {
		return h
	}
	for _, i := range s.byService[q.Service] {
		if i.weight <= 0 || !s.present(i, q) {
			continue
		}
		hash := rendezvous(q.Affinity, i.ID)
		if s.keepsPrompts(i) {
			h.sources.add(i, hash)
		}
		if !i.Leaving {
			h.takers.add(i, hash)
		}
	}
	return h
}

// keepsPrompts reports whether other instances can still copy from one.
func (s *Set) keepsPrompts(i *Instance) bool {
	return !i.Leaving || s.clock.Since(i.LeftAt) < i.LeavesIn-sourceMargin
}

func rendezvous(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Began records that the first event has arrived, so that the prompt is read.
func (l *Lease) Began() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.began {
		return
	}
	l.began = true
	if i := l.set.instances[l.ID]; i != nil {
		i.prefill = max(i.prefill-l.prompt, 0)
	}
}

// Done gives the place back.
func (l *Lease) Done() {
	l.Began()
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if i := l.set.instances[l.ID]; i != nil {
		i.inflight = max(i.inflight-1, 0)
	}
}

// Displaced records that another instance answered at the address.
func (l *Lease) Displaced() { l.set.Displaced(l.ID) }

// Observe records the outcome of the attempt in the instance's health.
func (l *Lease) Observe(failed bool, latency, expected time.Duration) {
	l.set.Observe(l.ID, failed, latency, expected)
}
