package membership

import (
	"context"

	"github.com/pkg/errors"
)

// Transport carries messages to other members. Calls must return within a
// time-out that is shorter than the probe interval.
type Transport interface {
	// Exchange sends a message to a peer address and returns the reply. If
	// daemonID is empty, any process at the address may answer.
	Exchange(ctx context.Context, address, daemonID string, message Message) (Message, error)
	// Indirect asks helpers to probe the target and reports whether any of
	// them got an answer.
	Indirect(ctx context.Context, helpers []Member, target Member) bool
}

// Probe probes one target, directly and then through helpers, and marks it as
// suspect if it doesn't answer. It reports whether the target answered.
func (l *List) Probe(ctx context.Context, transport Transport, target Member) bool {
	reply, err := transport.Exchange(ctx, target.PeerAddress, target.DaemonID, l.Request(target.DaemonID))
	if err == nil {
		l.Merge(reply)
		if reply.Sender.DaemonID == target.DaemonID {
			return true
		}
	}
	if ctx.Err() != nil {
		return false
	}
	helpers := l.Helpers(target.DaemonID, l.config.Helpers)
	if err != nil && len(helpers) > 0 && transport.Indirect(ctx, helpers, target) {
		return true
	}
	if ctx.Err() == nil {
		l.suspect(target)
	}
	return false
}

// suspect marks the target as suspect unless its record changed during the
// probe.
func (l *List) suspect(target Member) {
	l.mu.Lock()
	defer l.unlock()
	e, ok := l.entries[target.DaemonID]
	if !ok || e.Incarnation != target.Incarnation || e.State.rank() >= Suspect.rank() {
		return
	}
	m := e.Member
	m.State = Suspect
	l.setRecord(m, "")
}

// Join exchanges the full state with whichever process serves the address.
func (l *List) Join(ctx context.Context, transport Transport, address string) error {
	reply, err := transport.Exchange(ctx, address, "", l.JoinRequest())
	if err != nil {
		return errors.Wrapf(err, "join through %s", address)
	}
	l.Merge(reply)
	return nil
}
