package object

import (
	"math"
	"time"
)

func (c validator) route(r *Route) error {
	if r.Service == "" {
		return c.invalid("spec.service", "is missing")
	}
	if r.Class != "" && r.Class != ClassShort && r.Class != ClassLong {
		return c.invalid("spec.class", "%q must be %q, %q or empty", r.Class, ClassShort, ClassLong)
	}
	if err := c.selector("spec.accounts", r.Accounts); err != nil {
		return err
	}
	sum := 0.0
	seen := make(map[string]bool, len(r.Shares))
	for _, share := range r.Shares {
		if share.Version == "" {
			return c.invalid("spec.shares.version", "is missing")
		}
		if seen[share.Version] {
			return c.invalid("spec.shares.version", "%q appears twice", share.Version)
		}
		seen[share.Version] = true
		if !isPercent(share.Percent) {
			return c.invalid("spec.shares.percent", "%v of version %q must be 0 to 100", share.Percent, share.Version)
		}
		sum += share.Percent
	}
	if math.Abs(sum-totalPercent) > shareTolerance {
		return c.invalid("spec.shares", "add up to %v and not to 100", sum)
	}
	return nil
}

// isPercent is false for NaN.
func isPercent(p float64) bool { return p >= 0 && p <= totalPercent }

func (c validator) move(m *Move) error {
	for field, value := range map[string]string{"service": m.Service, "from": m.From, "to": m.To} {
		if value == "" {
			return c.invalid("spec."+field, "is missing")
		}
	}
	if m.From == m.To {
		return c.invalid("spec.to", "%q is the same version as spec.from", m.To)
	}
	if m.Start.IsZero() {
		return c.invalid("spec.start", "is missing")
	}
	if m.Deadline.IsZero() {
		return c.invalid("spec.deadline", "is missing")
	}
	if !m.Deadline.After(m.Start) {
		return c.invalid("spec.deadline", "%s is not after spec.start %s",
			m.Deadline.Format(time.RFC3339), m.Start.Format(time.RFC3339))
	}
	switch m.State {
	case "", MoveOpen, MoveCancelled, MoveDone, MoveTakenBack:
	default:
		return c.invalid("spec.state", "%q must be %q, %q, %q or %q", m.State, MoveOpen, MoveCancelled, MoveDone, MoveTakenBack)
	}
	if m.Generation < 0 {
		return c.invalid("spec.generation", "%d is negative", m.Generation)
	}
	if err := c.selector("spec.accounts", m.Accounts); err != nil {
		return err
	}
	return c.steps(m)
}

func (c validator) steps(m *Move) error {
	duration := m.Deadline.Sub(m.Start)
	for i, step := range m.Steps {
		if !isPercent(step.Percent) {
			return c.invalid("spec.steps.percent", "%v of step %d must be 0 to 100", step.Percent, i+1)
		}
		if i == 0 && step.Percent > MaxFirstStepPercent {
			return c.invalid("spec.steps.percent", "%v of the first step must be at most %v", step.Percent, MaxFirstStepPercent)
		}
		if step.After < 0 || time.Duration(step.After) > duration {
			return c.invalid("spec.steps.after", "%s of step %d must be between the start and the deadline", time.Duration(step.After), i+1)
		}
		if i > 0 && step.After <= m.Steps[i-1].After {
			return c.invalid("spec.steps.after", "%s of step %d must be later than the step before", time.Duration(step.After), i+1)
		}
		if i > 0 && step.Percent < m.Steps[i-1].Percent {
			return c.invalid("spec.steps.percent", "%v of step %d must not be below the step before", step.Percent, i+1)
		}
	}
	return nil
}
