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

	mu sync.Mutex
	// digest and promptDigest are those of the other guard, as it said last.
	digest, promptDigest uint64
}

// request returns the message for the other daemon: what that daemon doesn't know.
func (e *crashExchange) request() *coordinatorv1.PromptCrashes {
	e.mu.Lock()
	defer e.mu.Unlock()
	return exportCrashes(e.guard, e.digest, e.promptDigest)
}

// apply applies the answer of the other daemon.
func (e *crashExchange) apply(m *coordinatorv1.PromptCrashes) {
	mergeCrashes(e.guard, m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.digest, e.promptDigest = m.GetDigest(), m.GetPromptsDigest()
}

// answerCrashes adds what a caller knows to the guard, and returns what the caller lacks.
func answerCrashes(guard *crashguard.Guard, m *coordinatorv1.PromptCrashes) *coordinatorv1.PromptCrashes {
	mergeCrashes(guard, m)
	return exportCrashes(guard, m.GetDigest(), m.GetPromptsDigest())
}

func mergeCrashes(guard *crashguard.Guard, m *coordinatorv1.PromptCrashes) {
	guard.Merge(DecodeCrashes(m.GetParts(), 0))
	if prompts := m.GetPrompts(); len(prompts) > 0 {
		guard.MergePrompts(decodePrompts(prompts))
	}
}

// exportCrashes returns what the guard knows, for a daemon whose guard has the given digests.
func exportCrashes(guard *crashguard.Guard, digest, promptDigest uint64) *coordinatorv1.PromptCrashes {
	m := &coordinatorv1.PromptCrashes{Digest: guard.Digest(), PromptsDigest: guard.PromptDigest()}
	if m.Digest != digest {
		var state crashguard.State
		state, m.Digest = guard.Export()
		m.Parts = EncodeCrashes(state)
	}
	if m.PromptsDigest != promptDigest {
		var prompts []crashguard.PromptState
		prompts, m.PromptsDigest = guard.ExportPrompts()
		m.Prompts = encodePrompts(prompts)
	}
	return m
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

func encodePrompts(states []crashguard.PromptState) []*coordinatorv1.SuspectPrompt {
	prompts := make([]*coordinatorv1.SuspectPrompt, 0, len(states))
	for _, s := range states {
		p := &coordinatorv1.SuspectPrompt{Prompt: s.Prompt}
		for _, c := range s.Crashes {
			p.Crashes = append(p.Crashes, &coordinatorv1.PromptCrash{
				Id: c.ID, AgeMs: c.Age.Milliseconds(), SentAgeMs: c.SentAge.Milliseconds(), Cleared: c.Cleared,
			})
		}
		prompts = append(prompts, p)
	}
	return prompts
}

func decodePrompts(prompts []*coordinatorv1.SuspectPrompt) []crashguard.PromptState {
	states := make([]crashguard.PromptState, 0, len(prompts))
	for _, p := range prompts {
		s := crashguard.PromptState{Prompt: p.Prompt}
		for _, c := range p.Crashes {
			s.Crashes = append(s.Crashes, crashguard.PromptCrash{
				ID: c.Id, Age: time.Duration(c.AgeMs) * time.Millisecond, SentAge: time.Duration(c.SentAgeMs) * time.Millisecond, Cleared: c.Cleared,
			})
		}
		states = append(states, s)
	}
	return states
}

// shareWithDeputy exchanges what is known of crashes with the deputy, and adds this
// daemon's share of the quotas to the deputy's pool before a request needs it.
func (a *Agent) shareWithDeputy(ctx context.Context) {
	request := &coordinatorv1.BorrowRequest{Daemon: a.config.Daemon, Crashes: a.crashes.request()}
	if response, ok := a.askDeputy(ctx, reportTimeout, request); ok {
		a.crashes.apply(response.Crashes)
	}
}
