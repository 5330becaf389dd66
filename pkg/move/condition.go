package move

import "time"

// Condition is the progress of an open move, as shown to operators.
type Condition string

// Conditions of moves.
const (
	OnTime Condition = "on time"
	// Late means that the end is expected after the deadline, or that the
	// deadline has passed.
	Late Condition = "late"
	// Stalled means that the new version should get requests and gets none.
	Stalled Condition = "stalled"
	// Impossible means that no proof can come early enough for the deadline.
	Impossible Condition = "impossible"
)

// A move is stalled if neither version had a request for stallTimeout, or if
// the ramp would have given the new version maxMissedRequests requests since
// its last one. The latter happens by chance with a probability of
// exp(-8) = 0.03%.
const (
	stallTimeout      = time.Minute
	maxMissedRequests = 8.0
)

// Progress is the input of Assess.
type Progress struct {
	Now     time.Time
	Verdict Verdict
	// Requests is the number of requests that the new version has served.
	Requests uint64
	// RemainingRequests is the number of requests of the new version that the
	// proof still needs.
	RemainingRequests float64
	// LastRequest is the time of the last request of either version, zero if
	// there was none.
	LastRequest time.Time
	// MissedRequests is the number of requests that the ramp would have given
	// the new version since its last one.
	MissedRequests float64
}

func (r Ramp) stalled(p Progress) bool {
	return p.MissedRequests >= maxMissedRequests || p.Now.Sub(later(r.Start, p.LastRequest)) > stallTimeout
}

// Assess returns the condition of an open move.
func (r Ramp) Assess(p Progress) Condition {
	now := p.Now
	switch {
	case p.Verdict.Outcome >= Done || now.Before(r.Start):
		return OnTime
	case !now.Before(r.Deadline):
		return Late
	case !p.Verdict.Proved.IsZero():
		return r.assessProved(p)
	case now.After(r.ProofDeadline()):
		return Impossible
	case r.stalled(p):
		return Stalled
	case p.Requests > 0 && now.Add(r.untilProof(p)).After(r.ProofDeadline()):
		return Late
	}
	return OnTime
}

func (r Ramp) assessProved(p Progress) Condition {
	switch {
	case p.Verdict.Proved.After(r.ProofDeadline()):
		return Late
	case r.stalled(p):
		return Stalled
	}
	return OnTime
}

// untilProof estimates the time until the proof from the rate of the new
// version's requests so far.
func (r Ramp) untilProof(p Progress) time.Duration {
	return time.Duration(float64(p.Now.Sub(r.Start)) * p.RemainingRequests / float64(p.Requests))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
