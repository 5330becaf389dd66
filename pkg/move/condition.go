package move

import "time"

// Condition tells an operator how a move proceeds.
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

// A move is stalled if no version had a request for stallTime, or if the ramp
// would have given the new version maxMissed requests since its last one; by
// chance that happens with a probability of exp(-8) = 0.03%.
const (
	stallTime = time.Minute
	maxMissed = 8.0
)

// Progress is the input of Assess.
type Progress struct {
	Now     time.Time
	Verdict Verdict
	// Requests counts those of the new version, Missing those that are still
	// needed for the proof.
	Requests uint64
	Missing  float64
	// LastRequest is the time of the last request of either version, zero if
	// there was none.
	LastRequest time.Time
	// Missed is the number of requests that the ramp would have given the new
	// version since its last one.
	Missed float64
}

func (r Ramp) stalled(p Progress) bool {
	return p.Missed >= maxMissed || p.Now.Sub(later(r.Start, p.LastRequest)) > stallTime
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
	case now.After(r.LatestProof()):
		return Impossible
	case r.stalled(p):
		return Stalled
	case p.Requests > 0 && now.Add(r.untilProof(p)).After(r.LatestProof()):
		return Late
	}
	return OnTime
}

func (r Ramp) assessProved(p Progress) Condition {
	switch {
	case p.Verdict.Proved.After(r.LatestProof()):
		return Late
	case r.stalled(p):
		return Stalled
	}
	return OnTime
}

// untilProof estimates the time until the proof from the rate of the new
// version's requests so far.
func (r Ramp) untilProof(p Progress) time.Duration {
	return time.Duration(float64(p.Now.Sub(r.Start)) * p.Missing / float64(p.Requests))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
