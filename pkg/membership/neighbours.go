package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// position returns the position of a daemon on one of the hash rings.
func position(daemonID string, ring int) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, daemonID...)
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(b, uint32(ring)))
}

func (e *entry) position(ring int) uint64 {
	for len(e.positions) <= ring {
		e.positions = append(e.positions, position(e.DaemonID, len(e.positions)))
	}
	return e.positions[ring]
}

// Targets returns the members that this daemon probes: its successor on each of
// k hash rings, where k is Config.Neighbours. The next k members on a single ring
// would also give k probes per member, but updates would then spread by only k
// positions per round.
func (l *List) Targets() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.targets == nil {
		l.targets = l.chooseTargets()
	}
	targets := make([]Member, 0, len(l.targets))
	for _, id := range l.targets {
		targets = append(targets, l.entries[id].Member)
	}
	return targets
}

func (l *List) chooseTargets() []string {
	candidates := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		if !e.State.Gone() {
			candidates = append(candidates, e)
		}
	}
	chosen := make([]string, 0, l.config.Neighbours)
	if len(candidates) <= l.config.Neighbours {
		for _, e := range candidates {
			chosen = append(chosen, e.DaemonID)
		}
		slices.Sort(chosen)
		return chosen
	}
	for ring := range l.config.Neighbours {
		chosen = append(chosen, l.successor(candidates, ring, chosen))
	}
	return chosen
}

// successor returns the first candidate after self on the ring that isn't chosen
// yet.
func (l *List) successor(candidates []*entry, ring int, chosen []string) string {
	own := position(l.self.DaemonID, ring)
	best, bestDistance := "", uint64(0)
	for _, e := range candidates {
		distance := e.position(ring) - own // wraps around the ring
		if best != "" && distance >= bestDistance || slices.Contains(chosen, e.DaemonID) {
			continue
		}
		best, bestDistance = e.DaemonID, distance
	}
	return best
}

// Helpers returns up to n random alive members other than the target that can
// probe it indirectly.
func (l *List) Helpers(target string, n int) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sample(n, func(e *entry) bool { return e.State == Alive && e.DaemonID != target })
}

// ReconnectTargets returns up to n random members that were declared dead but may
// only be partitioned from this one. A probe of one of them can reconnect two
// partitions that have no live member in common.
func (l *List) ReconnectTargets(n int) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sample(n, func(e *entry) bool { return e.State == Dead && !e.superseded })
}

// sample returns up to n random members for which keep returns true.
func (l *List) sample(n int, keep func(*entry) bool) []Member {
	var members []Member
	for _, e := range l.entries {
		if keep(e) {
			members = append(members, e.Member)
		}
	}
	slices.SortFunc(members, compareIDs) // the map's order is random, which would defeat a seeded generator
	l.config.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}
