// Package move decides about moves of traffic from one version of a service to
// another. It holds the ramp of the new version's share, the sequential tests
// that compare both versions, and the verdict and condition of a move.
package move

import "time"

// Outcome is the result so far for the new version in one generation of a move.
type Outcome int

// Outcomes in ascending order of precedence. A later one replaces an earlier
// one, never the reverse.
const (
	// Unproved means that the new version stays at its first share.
	Unproved Outcome = iota
	// Proved means that the evidence so far shows no fault.
	Proved
	// Done means that the ramp is complete. The new version is still watched.
	Done
	// TakenBack means that the new version is bad and gets no more traffic.
	TakenBack
)

var outcomeNames = [...]string{"", "proved", "done", "taken back"}

// String returns the name used in messages and in the store.
func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome returns the outcome of a name, Unproved if it is unknown.
func ParseOutcome(name string) Outcome {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i)
		}
	}
	return Unproved
}

// Verdict is the outcome of one generation of a move. The zero value means that
// nothing is known yet.
type Verdict struct {
	Outcome Outcome
	// Proved is when the version was proved good, zero if it was not.
	Proved time.Time
	// Decided is the time of the decision for Outcome.
	Decided time.Time
	// By names the daemon that decided.
	By string
	// Evidence describes the reason for the outcome as text.
	Evidence string
}

// Merge combines two verdicts of the same generation. Except for the evidence
// text it is commutative and idempotent, so daemons that receive the same
// verdicts in any order have the same outcome and the same time of proof.
func (v Verdict) Merge(other Verdict) Verdict {
	winner, loser := v, other
	if other.Outcome > v.Outcome || other.Outcome == v.Outcome && other.Decided.Before(v.Decided) {
		winner, loser = other, v
	}
	if winner.Proved.IsZero() || !loser.Proved.IsZero() && loser.Proved.Before(winner.Proved) {
		winner.Proved = loser.Proved
	}
	return winner
}
