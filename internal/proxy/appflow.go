package proxy

import (
	"context"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// AppCall is a request to an application service as received.
type AppCall struct {
	Caller    Caller
	RequestID string
	Service   string
	Method    string
	Path      string // path and query below /app/{service}
	Headers   []app.Header
	Body      []byte
	OrderKey  string    // Idempotency-Key
	Session   string    // X-Session-Id; may be empty
	Deadline  time.Time // zero: the service's timeout applies
}

// AppReply is the response to an AppCall.
type AppReply struct {
	app.Reply
	// Replayed means that the call was not executed again: the reply is the
	// stored one of an earlier call with the same idempotency key.
	Replayed bool
}

// Orders executes non-idempotent calls at most once.
type Orders interface {
	// Execute runs the call on the daemon that owns its key. The error is a
	// *result.Error whose execution state says whether the call was executed.
	Execute(ctx context.Context, call AppCall) (AppReply, error)
}

// App executes a call to an application service. Idempotent operations are
// retried and hedged; the others are executed through Options.Orders and need
// an idempotency key.
func (p *Proxy) App(ctx context.Context, call AppCall) (AppReply, error) {
	spec, err := p.serviceOf(call.Service, object.ProtocolHTTP)
	if err != nil {
		return AppReply{}, err
	}
	operation, err := operationOf(spec, call)
	if err != nil {
		return AppReply{}, err
	}
	if call.Deadline, err = p.deadlineOf(call.Deadline, spec); err != nil {
		return AppReply{}, err
	}
	if call.RequestID == "" {
		call.RequestID = newID()
	}
	if !operation.Idempotent {
		if call.OrderKey == "" {
			return AppReply{}, result.New(result.OrderKeyMissing, result.NotRun,
				"header Idempotency-Key: operation %s needs a key built from the order token of /v1/address", operation.Name)
		}
		return p.options.Orders.Execute(ctx, call)
	}
	if err := p.refuseIfDraining(); err != nil {
		return AppReply{}, err
	}
	return p.callIdempotent(ctx, call, spec, operation)
}

// operationOf returns the operation of the service that matches the method and
// path of a call. A path that ends with "*" matches by prefix.
func operationOf(spec *object.Service, call AppCall) (*object.Operation, error) {
	path, _, _ := strings.Cut(call.Path, "?")
	for i := range spec.Operations {
		o := &spec.Operations[i]
		prefix, wildcard := strings.CutSuffix(o.Path, "*")
		if o.Method == call.Method && (path == o.Path || wildcard && strings.HasPrefix(path, prefix)) {
			return o, nil
		}
	}
	return nil, result.New(result.NotFound, result.NotRun, "service %s has no operation %s %s", call.Service, call.Method, path)
}

// appRun holds the state that the attempts of one call to an application service
// share.
type appRun struct {
	proxy     *Proxy
	call      AppCall
	spec      *object.Service
	operation *object.Operation
	choice    VersionChoice
}

// newAppRun returns a run with the version for the first attempt.
func (p *Proxy) newAppRun(call AppCall, spec *object.Service, operation *object.Operation) (*appRun, error) {
	run := &appRun{proxy: p, call: call, spec: spec, operation: operation}
	choice, err := p.options.Versions.Choose(run.versionQuery(""))
	if err != nil {
		return nil, err
	}
	run.choice = choice
	return run, nil
}

// versionQuery returns the query for the version of the next attempt. failed is
// the version on which the last attempt failed, empty before the first one.
func (r *appRun) versionQuery(failed string) VersionQuery {
	return VersionQuery{
		Service: r.call.Service, Caller: r.call.Caller, Class: object.ClassShort,
		Operation: r.operation.Name, Session: versionSessionKey(r.call), Failed: failed,
	}
}

// versionSessionKey returns the key whose hash selects the version of a call. A
// call without a session uses its request ID. With one common key, all calls of
// an account without a session would go to the same version, and a large account
// could give a new version more traffic than the share of its roll-out step.
func versionSessionKey(call AppCall) string {
	session := call.Session
	if session == "" {
		session = call.RequestID
	}
	return call.Caller.Account + "/" + session
}

// attempt makes one attempt on an upstream that is not excluded. A reply with
// status 5xx has the outcome app.Answered, but is reported as a failure to the
// health checks and in the evidence of moves.
func (r *appRun) attempt(ctx context.Context, excluded []string, timeout time.Duration) appAttemptResult {
	upstream, err := r.pick(ctx, excluded)
	if err != nil {
		return appAttemptResult{outcome: app.NotSent, err: err}
	}
	reply, outcome, err := r.proxy.options.App.Call(ctx, app.Call{
		Address: upstream.Address, AttemptID: newID(), Method: r.call.Method, Path: r.call.Path,
		Headers: r.upstreamHeaders(), Body: r.call.Body, Timeout: timeout,
	})
	if outcome == app.Answered {
		upstream.FirstByte()
	}
	r.reportAttempt(upstream, reply, outcome, err)
	return appAttemptResult{reply: reply, outcome: outcome, err: err, upstream: upstream.Name}
}

// appAttemptResult is the result of one attempt on an application service.
type appAttemptResult struct {
	reply    app.Reply
	outcome  app.Outcome
	err      error
	upstream string // empty if none could be picked
}

// remaining returns the time until the deadline of the call.
func (r *appRun) remaining() time.Duration {
	return r.call.Deadline.Sub(r.proxy.options.Clock.Now())
}

// pick chooses an upstream. If only excluded upstreams are left, it chooses one
// of those.
func (r *appRun) pick(ctx context.Context, excluded []string) (*upstreams.Attempt, error) {
	request := routing.Request{
		Service: r.call.Service, Version: r.choice.Version, Class: object.ClassShort,
		Account: r.call.Caller.Account, Work: 1, Deadline: r.call.Deadline, Excluded: excluded,
	}
	upstream, err := r.proxy.options.Directory.Pick(ctx, request)
	if err != nil && len(excluded) > 0 {
		request.Excluded = nil
		return r.proxy.options.Directory.Pick(ctx, request)
	}
	return upstream, err
}

// upstreamHeaders returns the headers of an attempt.
func (r *appRun) upstreamHeaders() []app.Header {
	headers := append([]app.Header{}, r.call.Headers...)
	if r.call.OrderKey != "" {
		headers = append(headers, app.Header{Name: "Idempotency-Key", Value: r.call.OrderKey})
	}
	return headers
}

// reportAttempt reports the end of an attempt to the upstream's health and
// concurrency limit and, unless the upstream refused it, to Options.Observe. A
// refusal with the reason "leaving" is treated as a leaving notice.
func (r *appRun) reportAttempt(u *upstreams.Attempt, reply app.Reply, outcome app.Outcome, err error) {
	failed := outcome == app.Lost || outcome == app.NotSent || reply.Status >= 500
	switch {
	case outcome == app.Refused:
		u.End(upstreams.FailureOverload)
		if strings.HasSuffix(err.Error(), ": leaving") {
			r.proxy.options.Directory.Leave(u.RefusalNotice())
		}
		return
	case failed:
		u.End(upstreams.FailureError)
	default:
		u.End(upstreams.FailureNone)
	}
	r.proxy.options.Observe(Observation{
		Service: r.call.Service, Route: r.choice.Route, Version: u.Version, DataCentre: u.DataCentre,
		Upstream: u.Name, Account: r.call.Caller.Account, Failed: failed, Latency: u.FirstByteLatency(),
	})
}

// SendOrder executes a non-idempotent call at most once. markSent is called
// before the first attempt is sent; if it returns an error, nothing is sent. An
// attempt that was refused or whose connection failed is followed by another
// one, because the upstream can't have executed it.
func (p *Proxy) SendOrder(ctx context.Context, call AppCall, markSent func() error) (app.Reply, app.Outcome, error) {
	spec, err := p.serviceOf(call.Service, object.ProtocolHTTP)
	if err != nil {
		return app.Reply{}, app.NotSent, err
	}
	operation, err := operationOf(spec, call)
	if err != nil {
		return app.Reply{}, app.NotSent, err
	}
	run, err := p.newAppRun(call, spec, operation)
	if err != nil {
		return app.Reply{}, app.NotSent, err
	}
	ticket, err := p.options.Admission.Admit(ctx, call.Caller.Account, object.ClassShort, 0, call.Deadline, 1)
	if err != nil {
		return app.Reply{}, app.NotSent, err
	}
	slot := &slot{ticket: ticket}
	defer slot.release()
	if err := markSent(); err != nil {
		return app.Reply{}, app.NotSent, err
	}
	policy := p.policyOf(call.Service, spec)
	policy.budget.AddRequest()
	reply, outcome, err := run.attemptUntilSent(ctx, policy.policy)
	if outcome == app.Answered {
		slot.firstByte()
	}
	return reply, outcome, err
}

// attemptUntilSent makes attempts until one may have been executed. It repeats
// only attempts that were refused or not sent.
func (r *appRun) attemptUntilSent(ctx context.Context, policy *retry.Policy) (app.Reply, app.Outcome, error) {
	var excluded []string
	for number := 1; ; number++ {
		end := r.attempt(ctx, excluded, r.remaining())
		if end.outcome == app.Answered || end.outcome == app.Lost {
			return end.reply, end.outcome, end.err
		}
		excluded = append(excluded, end.upstream)
		if err := r.proxy.awaitRetry(ctx, policy, retry.Attempt{
			Number: number, BytesWritten: end.outcome == app.Refused, Refused: end.outcome == app.Refused,
			Class: object.ClassShort, Deadline: r.call.Deadline,
		}); err != nil {
			return end.reply, end.outcome, withCause(err, end.err)
		}
	}
}
