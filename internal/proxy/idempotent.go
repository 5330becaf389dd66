package proxy

import (
	"context"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
)

// callIdempotent executes an idempotent call with retries and hedging.
func (p *Proxy) callIdempotent(ctx context.Context, call AppCall, spec *object.Service, operation *object.Operation) (AppReply, error) {
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
		end := run.attemptHedged(ctx, policy.policy, excluded, number)
		if end.err == nil {
			slot.firstByte()
			if end.reply.Status < minFailureStatus {
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
		run = run.withNextVersion()
	}
}

// minFailureStatus is the lowest HTTP status that counts as a failure of the
// service. An idempotent call with such a reply is retried if the retry policy
// allows it; otherwise the reply is returned.
const minFailureStatus = 500

// withNextVersion returns a copy of the run with the version for the next
// attempt. It is a copy because a hedged attempt of r may still be running.
func (r *appRun) withNextVersion() *appRun {
	next := *r
	choice, err := r.proxy.options.Versions.Choose(r.versionQuery(r.choice.Version))
	if err == nil {
		next.choice = choice
	}
	return &next
}

// retryAttempt describes an attempt for the retry policy.
func (r *appRun) retryAttempt(number int, outcome app.Outcome) retry.Attempt {
	return retry.Attempt{
		Number: number, Idempotent: true, Class: object.ClassShort, Deadline: r.call.Deadline,
		BytesWritten: outcome != app.NotSent, Refused: outcome == app.Refused,
	}
}

// attemptHedged makes one attempt. If the service enables hedging and the attempt
// has not ended after the hedge delay, it makes a second one in parallel. It
// returns the first success, or the last failure.
func (r *appRun) attemptHedged(ctx context.Context, policy *retry.Policy, excluded []string, number int) appAttemptResult {
	ends := make(chan appAttemptResult, 2)
	attempt := func(excluded []string) { ends <- r.attempt(ctx, excluded, r.attemptTimeout()) }
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

// attemptTimeout returns at most half of the remaining time, so that another
// attempt is possible if the upstream does not answer.
func (r *appRun) attemptTimeout() time.Duration {
	return min(r.remaining()/2, r.proxy.options.FirstByteTimeout)
}
