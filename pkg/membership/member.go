// Package membership maintains the list of daemons in the fleet and selects the
// ones that relay items, watch the store, evaluate moves or appear in answers to
// address lookups. It opens no connections: a Transport carries its messages.
//
// Failure detection follows SWIM as described in Serf's documentation of its
// gossip protocol: direct and indirect probes, suspicion that the suspect can
// refute, piggybacked updates, an exchange of the full state on join, and records
// of dead members that are retained for a time.
package membership

import "strings"

// State is the state of a member. The numbers equal those in the wire format.
type State int

// Member states.
const (
	Alive   State = 1
	Suspect State = 2
	Leaving State = 3
	Dead    State = 4
	Left    State = 5
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// rank orders the states within one incarnation: the higher rank wins.
func (s State) rank() int {
	switch s {
	case Alive:
		return 1
	case Leaving:
		return 2
	case Suspect:
		return 3
	case Dead:
		return 4
	case Left:
		return 5
	default:
		return 0
	}
}

// Gone reports whether the state is Dead or Left.
func (s State) Gone() bool { return s == Dead || s == Left }

// Member describes one daemon process.
type Member struct {
	DaemonID       string // unique for each start of a process
	Name           string // configured name
	PeerAddress    string // ip:port
	HTTPAddress    string // ip:port
	DataCentre     string
	Region         string
	Incarnation    uint64 // raised only by the member itself
	State          State
	Successor      string // ID of the daemon that took over the order ledger, if any
	ConfigRevision int64  // not gossiped, so known only for members that sent a message themselves
	Overloaded     bool
}

// overrides reports whether m replaces old, a record with the same daemon ID.
// The order is total, so all members converge on the same record regardless of
// the order in which records arrive.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State.rank() > old.State.rank()
}

// supersedes reports whether m is a later process than other with the same name
// and peer address.
func (m Member) supersedes(other Member) bool {
	if m.DaemonID == other.DaemonID || m.nodeKey() != other.nodeKey() {
		return false
	}
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.DaemonID > other.DaemonID
}

// nodeKey identifies a daemon across restarts of its process.
func (m Member) nodeKey() string { return m.Name + "\x00" + m.PeerAddress }

// memberOverheadBytes is the size of an encoded member without its strings.
const memberOverheadBytes = 36

// encodedBytes estimates the encoded size of the member.
func (m Member) encodedBytes() int {
	return memberOverheadBytes + len(m.DaemonID) + len(m.Name) + len(m.PeerAddress) +
		len(m.HTTPAddress) + len(m.DataCentre) + len(m.Region) + len(m.Successor)
}

// Message is the request or the reply of a probe.
type Message struct {
	Sender  Member
	Updates []Member
	Full    bool   // Updates is the whole list; the reply to such a request must be Full too
	Hash    uint64 // hash of the live members in the sender's list
}

func compareIDs(a, b Member) int { return strings.Compare(a.DaemonID, b.DaemonID) }
