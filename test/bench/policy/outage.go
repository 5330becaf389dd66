package main

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

const (
	amplificationBound = 1.2
	outageRate         = 200 // requests per second
	outageLength       = 60 * time.Second
	// failedAttemptTime is the duration of a failed attempt.
	failedAttemptTime = 20 * time.Millisecond
)

// runOutage offers requests while every attempt fails and counts attempts.
func runOutage(r *report, o options) {
	full := outage(o.Seed, 1)
	r.atMost("attempts per request, full outage", full, amplificationBound, "", full, "no retries")
	half := outage(o.Seed, 0.5)
	r.atMost("attempts per request, half of the attempts fail", half, amplificationBound, "", half, "no retries")
}

func outage(seed uint64, failures float64) float64 {
	sim := newSimulation()
	random := rand.New(rand.NewPCG(seed, 4))
	budget := retry.NewBudget(retry.BudgetConfig{Clock: sim.clock})
	policy := retry.NewPolicy(retry.PolicyConfig{Clock: sim.clock}, budget)
	attempts := 0
	var attempt func(a retry.Attempt)
	attempt = func(a retry.Attempt) {
		attempts++
		sim.after(failedAttemptTime, func() {
			if random.Float64() >= failures {
				return
			}
			wait, err := policy.Next(a)
			if err != nil {
				return
			}
			a.Number++
			sim.after(wait, func() { attempt(a) })
		})
	}
	requests := int(outageRate * outageLength.Seconds())
	for i := range requests {
		sim.after(time.Duration(i)*time.Second/outageRate, func() {
			budget.AddRequest()
			attempt(retry.Attempt{Number: 1, Idempotent: true, BytesWritten: true, Class: object.ClassShort})
		})
	}
	sim.runUntil(2 * outageLength)
	return float64(attempts) / float64(requests)
}
