package move

import (
	"math"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
)

// Parameters of ramps.
const (
	// MaxUnprovedPercent is the maximum share of a version that isn't proved good.
	MaxUnprovedPercent = object.MaxFirstStepPercent
	// FirstPercent is the first share of the default ramp. It is below
	// MaxUnprovedPercent, so that the share of requests actually sent, which
	// differs at random, stays below that too.
	FirstPercent = 4.5
	// MaxClockSkew is the maximum difference between the clocks of two daemons
	// with which a move that is on time ends before its deadline on both.
	MaxClockSkew = 2 * time.Second
	// ProofDelay is the time from the proof to the first share above the
	// unproved one. It lets the proof reach every daemon first.
	ProofDelay = 2 * time.Second

	fullPercent = 100.0
	// holdPart is the part of the move's duration that the default ramp
	// spends at FirstPercent.
	holdPart = 0.3
	// marginPart is the part of the move's duration that is left between
	// the end of the ramp and the deadline.
	marginPart = 0.08
	// minGrowthPart is the minimum part of the move's duration that the growth
	// from FirstPercent to 100 percent takes after a late proof.
	minGrowthPart = 0.12
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

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Margin is the time between the planned end of the ramp and the deadline: 8%
// of the move's duration, and at least MaxClockSkew or a quarter of the duration,
// whichever is less.
func (r Ramp) Margin() time.Duration {
	return max(scale(r.duration(), marginPart), min(MaxClockSkew, r.duration()/4))
}

// Finish is the time at which the planned ramp reaches 100 percent.
func (r Ramp) Finish() time.Time { return r.Deadline.Add(-r.Margin()) }

// MinGrowthTime is the minimum time for the growth from FirstPercent to 100
// percent.
func (r Ramp) MinGrowthTime() time.Duration { return scale(r.duration(), minGrowthPart) }

// ProofDeadline is the time until which the version must be proved good for the
// move to be on time.
func (r Ramp) ProofDeadline() time.Time {
	return r.Finish().Add(-r.MinGrowthTime() - ProofDelay)
}

// Share returns the percentage of requests for the new version at a time, 0 to
// 100. It exceeds MaxUnprovedPercent only after the proof in the verdict. Then
// it follows the planned ramp. After a late proof it catches up, but takes at
// least MinGrowthTime for the growth even if that makes the move late.
func (r Ramp) Share(now time.Time, v Verdict) float64 {
	switch {
	case v.Outcome == TakenBack || now.Before(r.Start):
		return 0
	case v.Outcome == Done:
		return fullPercent
	}
	planned := r.plannedShare(now)
	if v.Proved.IsZero() {
		return min(planned, MaxUnprovedPercent)
	}
	return min(planned, exponentialGrowth(now.Sub(v.Proved.Add(ProofDelay)), r.MinGrowthTime()))
}

// Complete reports whether the share has reached 100 percent and has stayed
// there for half the margin.
func (r Ramp) Complete(now time.Time, v Verdict) bool {
	return v.Outcome == Done || r.Share(now.Add(-r.Margin()/2), v) >= fullPercent
}

// plannedShare is the share without regard to the verdict.
func (r Ramp) plannedShare(now time.Time) float64 {
	if len(r.Steps) > 0 {
		return r.stepShare(now)
	}
	holdEnd := r.Start.Add(scale(r.duration(), holdPart))
	return exponentialGrowth(now.Sub(holdEnd), r.Finish().Sub(holdEnd))
}

// stepShare is the share by the operator's steps. It becomes 100 percent at
// Finish.
func (r Ramp) stepShare(now time.Time) float64 {
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

// exponentialGrowth returns a share that rises exponentially from FirstPercent
// to 100 within length. Each doubling takes the same time, in which faults that
// depend on load can show.
func exponentialGrowth(elapsed, length time.Duration) float64 {
	switch {
	case elapsed <= 0:
		return FirstPercent
	case elapsed >= length:
		return fullPercent
	}
	return FirstPercent * math.Pow(fullPercent/FirstPercent, float64(elapsed)/float64(length))
}
