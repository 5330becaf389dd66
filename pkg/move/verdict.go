// Package move holds the decisions about moves of traffic from one version of
// a service to another: the ramp of the new version's share, the sequential
// tests that compare both versions, the verdict and the condition of a move.
package move

import "time"

// Outcome is what is known about the new version of a move generation.
type Outcome int

// Outcomes in the order of precedence. A later one replaces an earlier one and
// never the other way round.
const (
	// Unproved holds the new version at the first share.
	Unproved Outcome = iota
	// Proved means that the evidence so far shows no fault.
	Proved
	// Done means that the ramp is complete. The new version is still watched.
	Done
	// TakenBack means that the new version is bad and gets no traffic.
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

// Verdict is the outcome of one generation of a move. Zero means that nothing
// is known yet.
type Verdict struct {
	Outcome Outcome
	// Proved is when the version was proved good, zero if it was not.
	Proved time.Time
	// Decided is the time of the decision for Outcome.
	Decided  time.Time
	By       string
	Evidence string
}

// Merge returns the verdict that follows from two. It is commutative and
// idempotent up to the evidence text, so daemons that got the same verdicts in
// any order have the same outcome and the same time of proof.
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
