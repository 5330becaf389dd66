package proxy

import (
	"context"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

// lookup runs an idempotent call with retries and hedging.
func (p *Proxy) lookup(ctx context.Context, call AppCall, spec *object.Service, operation *object.Operation) (AppReply, error) {
	run, err := p.newAppRun(call, spec, operation)
	if err != nil {
		return AppReply{}, err
	}
	ticket, err := p.options.Admission.Admit(ctx, call.Caller.Account, object.ClassShort, 0, call.Deadline, 1)
	if err != nil {
		return AppReply{}, err
	}
	slot := &slot{ticket: ticket}
	defer slot.release()
	policy := p.policyOf(call.Service, spec)
	policy.budget.AddRequest()
	var excluded []string
	for number := 1; ; number++ {
		end := run.hedged(ctx, policy.policy, excluded, number)
		if end.err == nil {
			slot.firstByte()
			if end.reply.Status < failureStatus {
				return AppReply{Reply: end.reply}, nil
			}
		}
		excluded = append(excluded, end.upstream)
		if err := p.awaitRetry(ctx, policy.policy, run.retryAttempt(number, end.outcome)); err != nil {
			if end.err == nil {
				return AppReply{Reply: end.reply}, nil
			}
			return AppReply{}, withCause(err, end.err)
		}
		run = run.afterFailure()
	}
}

// failureStatus is the lowest HTTP status by which a service says that it
// failed. Such a reply to an idempotent call is tried again if it may be.
const failureStatus = 500

// afterFailure returns the run with the version for the next attempt. It is a
// copy, because a hedged attempt of the old one may still be running.
func (r *appRun) afterFailure() *appRun {
	next := *r
	choice, err := r.proxy.options.Versions.Choose(r.versionQuery(r.choice.Version))
	if err == nil {
		next.choice = choice
	}
	return &next
}

func (r *appRun) retryAttempt(number int, outcome app.Outcome) retry.Attempt {
	return retry.Attempt{
		Number: number, Idempotent: true, Class: object.ClassShort, Deadline: r.call.Deadline,
		BytesWritten: outcome != app.NotSent, Refused: outcome == app.Refused,
	}
}

// hedged makes one attempt and, if the service asks for it and the first has
// not been answered in time, a second one beside it. The first success wins.
func (r *appRun) hedged(ctx context.Context, policy *retry.Policy, excluded []string, number int) attemptResult {
	ends := make(chan attemptResult, 2)
	attempt := func(excluded []string) { ends <- r.once(ctx, excluded, r.attemptTimeout()) }
	go attempt(excluded)
	pending := 1
	var hedge <-chan time.Time
	state := r.retryAttempt(number, app.Lost)
	if after, ok := policy.HedgeAfter(state); ok {
		hedge = r.proxy.options.Clock.After(after)
	}
	for {
		select {
		case end := <-ends:
			if pending--; end.err == nil || pending == 0 {
				return end
			}
		case <-hedge:
			hedge = nil
			if policy.Hedge(state) {
				pending++
				go attempt(excluded)
			}
		}
	}
}

// attemptTimeout leaves time for another attempt on an upstream that answers.
func (r *appRun) attemptTimeout() time.Duration {
	return min(r.remaining()/2, r.proxy.options.FirstByteTimeout)
}
