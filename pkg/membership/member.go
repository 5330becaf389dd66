// Package membership decides which daemons belong to the fleet and which of
// them receive items, watch the store, evaluate moves or appear in address
// answers. It holds no connection: a caller carries its messages.
//
// Failure detection follows SWIM as Serf's gossip page describes it: direct
// and indirect probes, suspicion that the suspect can refute, piggybacked
// updates, full state on join, and dead members that are kept for a time.
package membership

import "strings"

// State is the state of a member. The numbers equal those of the wire format.
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

// rank orders the states within one incarnation: the later one wins.
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
	DaemonID       string // unique for each process start
	Name           string // configured name
	PeerAddress    string // ip:port
	HTTPAddress    string // ip:port
	DataCentre     string
	Region         string
	Incarnation    uint64 // raised only by the member itself
	State          State
	Successor      string // daemon ID that took the order ledger, if any
	ConfigRevision int64  // not gossiped: known only of members that were in contact
	Overloaded     bool
}

// newer reports whether m replaces old, which has the same daemon ID. The
// order is total, so all members settle on the same record in whatever order
// records arrive.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State.rank() > old.State.rank()
}

// supersedes reports whether m is a later process than other at the same name
// and peer address.
func (m Member) supersedes(other Member) bool {
	if m.DaemonID == other.DaemonID || m.place() != other.place() {
		return false
	}
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.DaemonID > other.DaemonID
}

// place identifies what a process restart keeps.
func (m Member) place() string { return m.Name + "\x00" + m.PeerAddress }

// memberOverheadBytes covers tags, lengths and numbers of an encoded member.
const memberOverheadBytes = 36

// encodedBytes estimates the size of the member on the wire.
func (m Member) encodedBytes() int {
	return memberOverheadBytes + len(m.DaemonID) + len(m.Name) + len(m.PeerAddress) +
		len(m.HTTPAddress) + len(m.DataCentre) + len(m.Region) + len(m.Successor)
}

// Message is what two members exchange in a probe, in either direction.
type Message struct {
	Sender  Member
	Updates []Member
	Full    bool   // the updates are the whole list, and the reply shall be too
	Hash    uint64 // hash of the sender's live members
}

func compareIDs(a, b Member) int { return strings.Compare(a.DaemonID, b.DaemonID) }
