package move

import (
	"math"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Parameters of ramps.
const (
	// MaxUnprovedPercent is the largest share of a version that is not proved good.
	MaxUnprovedPercent = object.MaxFirstStepPercent
	// FirstPercent is the first share of the default ramp. It is below the
	// allowed share, so that random differences between the share and the
	// requests actually sent stay below it too.
	FirstPercent = 4.5
	// MaxClockDifference is the largest difference between the clocks of two
	// daemons for which a move that is on time ends before its deadline on both.
	MaxClockDifference = 2 * time.Second
	// ProofDelay is the time from the proof to the first share above the
	// unproved one. It lets the proof reach every daemon first.
	ProofDelay = 2 * time.Second

	fullPercent = 100.0
	// holdPart is the part of the default ramp spent at FirstPercent.
	holdPart = 0.3
	// marginPart is the part of the time that is left before the deadline.
	marginPart = 0.08
	// catchUpPart is the part of the time that the growth from FirstPercent to
	// 100 takes at least after a late proof.
	catchUpPart = 0.12
)

// Ramp gives the share of the new version. It is a value without state: equal
// ramps give equal shares at equal times on every daemon.
type Ramp struct {
	Start    time.Time
	Deadline time.Time
	// Steps replace the default ramp if there are any.
	Steps []object.Step
}

// NewRamp returns the ramp of a move.
func NewRamp(m *object.Move) Ramp {
	return Ramp{Start: m.Start, Deadline: m.Deadline, Steps: m.Steps}
}

func (r Ramp) duration() time.Duration { return r.Deadline.Sub(r.Start) }

func part(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }

// Margin is the time between the planned end of the ramp and the deadline: 8%
// of the time, and at least the bound on clock differences unless that
// is more than a quarter of the time.
func (r Ramp) Margin() time.Duration {
	return max(part(r.duration(), marginPart), min(MaxClockDifference, r.duration()/4))
}

// Finish is the time at which the planned ramp reaches 100 percent.
func (r Ramp) Finish() time.Time { return r.Deadline.Add(-r.Margin()) }

// CatchUp is the shortest time for the growth from FirstPercent to 100.
func (r Ramp) CatchUp() time.Duration { return part(r.duration(), catchUpPart) }

// LatestProof is the last time of a proof with which the move is on time.
func (r Ramp) LatestProof() time.Time {
	return r.Finish().Add(-r.CatchUp() - ProofDelay)
}

// Share returns the percentage of the new version at a time, 0 to 100. It
// passes MaxUnprovedPercent only after the proof in the verdict; then it follows the
// plan, and after a late proof it catches up with a bounded slope even if that
// makes the move late.
func (r Ramp) Share(now time.Time, v Verdict) float64 {
	switch {
	case v.Outcome == TakenBack || now.Before(r.Start):
		return 0
	case v.Outcome == Done:
		return fullPercent
	}
	planned := r.planned(now)
	if v.Proved.IsZero() {
		return min(planned, MaxUnprovedPercent)
	}
	return min(planned, growth(now.Sub(v.Proved.Add(ProofDelay)), r.CatchUp()))
}

// Complete reports whether the share has reached 100 percent and has stayed
// there for half the margin.
func (r Ramp) Complete(now time.Time, v Verdict) bool {
	return v.Outcome == Done || r.Share(now.Add(-r.Margin()/2), v) >= fullPercent
}

func (r Ramp) planned(now time.Time) float64 {
	if len(r.Steps) > 0 {
		return r.stepped(now)
	}
	holdEnd := r.Start.Add(part(r.duration(), holdPart))
	return growth(now.Sub(holdEnd), r.Finish().Sub(holdEnd))
}

// stepped follows the operator's steps. The last one is followed by 100
// percent at Finish.
func (r Ramp) stepped(now time.Time) float64 {
	if !now.Before(r.Finish()) {
		return fullPercent
	}
	share := 0.0
	for _, s := range r.Steps {
		if !now.Before(r.Start.Add(time.Duration(s.After))) {
			share = s.Percent
		}
	}
	return share
}

// growth rises exponentially from FirstPercent to 100 within length, so that
// each doubling has the same time to show faults that depend on load.
func growth(elapsed, length time.Duration) float64 {
	switch {
	case elapsed <= 0:
		return FirstPercent
	case elapsed >= length:
		return fullPercent
	}
	return FirstPercent * math.Pow(fullPercent/FirstPercent, float64(elapsed)/float64(length))
}
