package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDataCentre is the number of relays per item, and of store watchers, in
// each data centre. With two, one can fail without delaying delivery.
const RelaysPerDataCentre = 2

// Overlay selects members for tasks such that all daemons with the same member
// list select the same ones. Each selection uses rendezvous hashing, so a change
// of one member only affects the selections that include it. It is immutable.
type Overlay struct {
	self        Member
	present     []Member // alive, suspect and leaving members
	alive       []Member
	dataCentres map[string][]Member // alive members by data centre
}

// NewOverlay returns the overlay of the given members for the daemon selfID.
func NewOverlay(selfID string, members []Member) *Overlay {
	o := &Overlay{dataCentres: make(map[string][]Member)}
	for _, m := range members {
		if m.DaemonID == selfID {
			o.self = m
		}
		if m.State.Gone() {
			continue
		}
		o.present = append(o.present, m)
		if m.State == Alive {
			o.alive = append(o.alive, m)
			o.dataCentres[m.DataCentre] = append(o.dataCentres[m.DataCentre], m)
		}
	}
	return o
}

// ranked returns the members in descending order of their rendezvous hash for key.
func ranked(members []Member, key string) []Member {
	type scored struct {
		Member
		score uint64
	}
	scores := make([]scored, len(members))
	for i, m := range members {
		scores[i] = scored{m, score(key, m)}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	sorted := make([]Member, len(members))
	for i, s := range scores {
		sorted[i] = s.Member
	}
	return sorted
}

func score(key string, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.DaemonID)
	return d.Sum64()
}

func first(members []Member, n int) []Member { return members[:min(n, len(members))] }

// DataCentres returns the names of the data centres that have an alive member.
func (o *Overlay) DataCentres() []string { return slices.Sorted(maps.Keys(o.dataCentres)) }

// RelayOrder returns the alive members of a data centre in the order in which
// they serve as relays of the item key: first the relays, then the replacements.
func (o *Overlay) RelayOrder(dataCentre, key string) []Member {
	return ranked(o.dataCentres[dataCentre], key)
}

// Relays returns the relays of the item key in all data centres.
func (o *Overlay) Relays(key string) []Member {
	var relays []Member
	for _, dataCentre := range o.DataCentres() {
		relays = append(relays, first(o.RelayOrder(dataCentre, key), RelaysPerDataCentre)...)
	}
	return relays
}

// Neighbours returns the members to which this daemon forwards an item as a
// relay: all other members of its data centre that are not gone. Suspects are
// included because they may still be running.
func (o *Overlay) Neighbours() []Member {
	var neighbours []Member
	for _, m := range o.present {
		if m.DataCentre == o.self.DataCentre && m.DaemonID != o.self.DaemonID {
			neighbours = append(neighbours, m)
		}
	}
	return neighbours
}

// WatchesStore reports whether the daemon is one of the two members of its
// data centre that watch the store.
func (o *Overlay) WatchesStore(daemonID string) bool {
	for _, m := range o.alive {
		if m.DaemonID == daemonID {
			watchers := first(o.RelayOrder(m.DataCentre, "store watch"), RelaysPerDataCentre)
			return contains(watchers, daemonID)
		}
	}
	return false
}

func contains(members []Member, daemonID string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.DaemonID == daemonID })
}

// Evaluators returns the n alive members that combine the daemons' counters of
// key.
func (o *Overlay) Evaluators(key string, n int) []Member {
	return first(ranked(o.alive, "evaluate "+key), n)
}

// Candidate reports whether this daemon is one of the n alive members that
// campaign for a duty.
func (o *Overlay) Candidate(duty string, n int) bool {
	return contains(first(ranked(o.alive, "campaign "+duty), n), o.self.DaemonID)
}

// PeersOutside returns up to n alive members outside a data centre, in the
// order in which they should receive the in-flight records of key. Members
// that aren't overloaded come first.
func (o *Overlay) PeersOutside(dataCentre, key string, n int) []Member {
	var peers []Member
	for _, m := range o.alive {
		if m.DataCentre != dataCentre && m.DaemonID != o.self.DaemonID {
			peers = append(peers, m)
		}
	}
	peers = ranked(peers, key)
	slices.SortStableFunc(peers, func(a, b Member) int { return compareBools(a.Overloaded, b.Overloaded) })
	return first(peers, n)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// CallerAddresses returns HTTP addresses for the address lookup: first those in
// ownDataCentre, then those in its region, then the others. Each daemon orders
// the addresses within a group differently, to spread the callers.
func (o *Overlay) CallerAddresses(ownDataCentre string) []string {
	return o.CallerAddressesFor(ownDataCentre, o.self.DaemonID)
}

// CallerAddressesFor is CallerAddresses with an order that depends on key, such
// as the client account. It lists alive members that aren't overloaded. If there
// are none, it lists the overloaded ones, because a caller needs an address that
// tells it when to retry.
func (o *Overlay) CallerAddressesFor(ownDataCentre, key string) []string {
	addresses := o.addresses(ownDataCentre, key, func(m Member) bool { return !m.Overloaded })
	if len(addresses) > 0 {
		return addresses
	}
	return o.addresses(ownDataCentre, key, func(Member) bool { return true })
}

func (o *Overlay) addresses(dataCentre, key string, keep func(Member) bool) []string {
	region := ""
	if members := o.dataCentres[dataCentre]; len(members) > 0 {
		region = members[0].Region
	}
	distance := func(m Member) int {
		switch {
		case m.DataCentre == dataCentre:
			return 0
		case region != "" && m.Region == region:
			return 1
		default:
			return 2
		}
	}
	members := ranked(o.alive, key)
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(distance(a), distance(b)) })
	var addresses []string
	for _, m := range members {
		if m.HTTPAddress != "" && keep(m) {
			addresses = append(addresses, m.HTTPAddress)
		}
	}
	return addresses
}
