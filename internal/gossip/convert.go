package gossip

import (
	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
)

func toProto(m membership.Member) *peerv1.Member {
	return &peerv1.Member{
		DaemonId:       m.DaemonID,
		Name:           m.Name,
		PeerAddress:    m.PeerAddress,
		HttpAddress:    m.HTTPAddress,
		DataCentre:     m.DataCentre,
		Region:         m.Region,
		Incarnation:    m.Incarnation,
		State:          peerv1.MemberState(m.State),
		Successor:      m.Successor,
		ConfigRevision: m.ConfigRevision,
		Overloaded:     m.Overloaded,
	}
}

func fromProto(m *peerv1.Member) membership.Member {
	return membership.Member{
		DaemonID:       m.GetDaemonId(),
		Name:           m.GetName(),
		PeerAddress:    m.GetPeerAddress(),
		HTTPAddress:    m.GetHttpAddress(),
		DataCentre:     m.GetDataCentre(),
		Region:         m.GetRegion(),
		Incarnation:    m.GetIncarnation(),
		State:          membership.State(m.GetState()),
		Successor:      m.GetSuccessor(),
		ConfigRevision: m.GetConfigRevision(),
		Overloaded:     m.GetOverloaded(),
	}
}

// updatesToProto omits the configuration revision: a member reports only its own,
// in the sender's record of its messages.
func updatesToProto(members []membership.Member) []*peerv1.Member {
	updates := make([]*peerv1.Member, 0, len(members))
	for _, m := range members {
		m.ConfigRevision = 0
		updates = append(updates, toProto(m))
	}
	return updates
}

func updatesFromProto(updates []*peerv1.Member) []membership.Member {
	members := make([]membership.Member, 0, len(updates))
	for _, m := range updates {
		members = append(members, fromProto(m))
	}
	return members
}

// RequestToProto returns the wire form of a probe message.
func RequestToProto(daemonID string, m membership.Message) *peerv1.ProbeRequest {
	return &peerv1.ProbeRequest{
		Sender:         toProto(m.Sender),
		Updates:        updatesToProto(m.Updates),
		FullState:      m.Full,
		StateHash:      m.Hash,
		TargetDaemonId: daemonID,
	}
}

// ResponseToProto returns the wire form of the reply to a probe.
func ResponseToProto(m membership.Message) *peerv1.ProbeResponse {
	return &peerv1.ProbeResponse{
		Responder: toProto(m.Sender),
		Updates:   updatesToProto(m.Updates),
		StateHash: m.Hash,
	}
}
