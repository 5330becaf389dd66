package coordination

import (
	"context"
	"sync"
	"time"

	coordinatorv1 "github.com/dogwoodrudder/dogwoodrudder/api/coordinator/v1"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

// crashExchange keeps the guard of a daemon equal to that of the daemon that it calls.
type crashExchange struct {
	guard *crashguard.Guard

	mu     sync.Mutex
	digest uint64 // of the other guard, as it said last
}

// request returns the message for the other daemon: the whole state, unless that daemon
// has the same.
func (e *crashExchange) request() *coordinatorv1.PromptCrashes {
	e.mu.Lock()
	defer e.mu.Unlock()
	if digest := e.guard.Digest(); digest == e.digest {
		return &coordinatorv1.PromptCrashes{Digest: digest}
	}
	state, digest := e.guard.Export()
	return &coordinatorv1.PromptCrashes{Digest: digest, Parts: EncodeCrashes(state)}
}

// apply applies the answer of the other daemon.
func (e *crashExchange) apply(m *coordinatorv1.PromptCrashes) {
	e.guard.Merge(DecodeCrashes(m.GetParts(), 0))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.digest = m.GetDigest()
}

// answerCrashes adds what a caller knows to the guard, and returns what the caller lacks.
func answerCrashes(guard *crashguard.Guard, m *coordinatorv1.PromptCrashes) *coordinatorv1.PromptCrashes {
	guard.Merge(DecodeCrashes(m.GetParts(), 0))
	if digest := guard.Digest(); digest == m.GetDigest() {
		return &coordinatorv1.PromptCrashes{Digest: digest}
	}
	state, digest := guard.Export()
	return &coordinatorv1.PromptCrashes{Digest: digest, Parts: EncodeCrashes(state)}
}

// EncodeCrashes encodes the state of a guard.
func EncodeCrashes(state crashguard.State) []*coordinatorv1.SuspectPart {
	parts := make([]*coordinatorv1.SuspectPart, 0, len(state))
	for _, p := range state {
		part := &coordinatorv1.SuspectPart{Part: p.Part, Completed: p.Completed}
		for _, c := range p.Crashes {
			part.Crashes = append(part.Crashes, &coordinatorv1.PartCrash{
				Id: c.ID, AgeMs: c.Age.Milliseconds(), SentAgeMs: c.SentAge.Milliseconds(),
				Cleared: c.Cleared, ClearedAgeMs: c.ClearedAge.Milliseconds(), Accounts: c.Accounts,
			})
		}
		parts = append(parts, part)
	}
	return parts
}

// DecodeCrashes decodes the state of a guard that was encoded before the given time.
func DecodeCrashes(parts []*coordinatorv1.SuspectPart, age time.Duration) crashguard.State {
	state := make(crashguard.State, 0, len(parts))
	for _, part := range parts {
		p := crashguard.PartState{Part: part.Part, Completed: part.Completed}
		for _, c := range part.Crashes {
			p.Crashes = append(p.Crashes, crashguard.CrashState{
				ID: c.Id, Accounts: c.Accounts, Cleared: c.Cleared, ClearedAge: age + time.Duration(c.ClearedAgeMs)*time.Millisecond,
				Age: age + time.Duration(c.AgeMs)*time.Millisecond, SentAge: age + time.Duration(c.SentAgeMs)*time.Millisecond,
			})
		}
		state = append(state, p)
	}
	return state
}

// shareWithDeputy exchanges what is known of crashes with the deputy, and adds this
// daemon's share of the quotas to the deputy's pool before a request needs it.
func (a *Agent) shareWithDeputy(ctx context.Context) {
	request := &coordinatorv1.BorrowRequest{Daemon: a.config.Daemon, Crashes: a.crashes.request()}
	if response, ok := a.askDeputy(ctx, reportTimeout, request); ok {
		a.crashes.apply(response.Crashes)
	}
}
