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

// stallTime is how long a new version with a share may be without a request.
const stallTime = time.Minute

// Progress is the input of Assess.
type Progress struct {
	Now     time.Time
	Verdict Verdict
	// Requests counts those of the new version, Missing those that are still
	// needed for the proof.
	Requests uint64
	Missing  float64
	// LastRequest is the time of the new version's last request, zero if none.
	LastRequest time.Time
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
	case now.Sub(later(r.Start, p.LastRequest)) > stallTime:
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
	case p.Now.Sub(later(r.Start, p.LastRequest)) > stallTime:
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
