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
	OrderKey  string // Idempotency-Key
	Session   string
	Deadline  time.Time
}

// AppReply is the answer to an AppCall.
type AppReply struct {
	app.Reply
	// Replayed means that the reply was stored for an earlier call with the
	// same key.
	Replayed bool
}

// Orders executes non-idempotent calls at most once.
type Orders interface {
	// Execute runs the call on the daemon that owns its key. The error is a
	// *result.Error that tells whether the call ran.
	Execute(ctx context.Context, call AppCall) (AppReply, error)
}

// App runs a call to an application service.
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
	return p.lookup(ctx, call, spec, operation)
}

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

// appRun is one call to an application service with what its attempts share.
type appRun struct {
	proxy     *Proxy
	call      AppCall
	spec      *object.Service
	operation *object.Operation
	choice    VersionChoice
}

func (p *Proxy) newAppRun(call AppCall, spec *object.Service, operation *object.Operation) (*appRun, error) {
	run := &appRun{proxy: p, call: call, spec: spec, operation: operation}
	choice, err := p.options.Versions.Choose(run.versionQuery(""))
	if err != nil {
		return nil, err
	}
	run.choice = choice
	return run, nil
}

func (r *appRun) versionQuery(failed string) VersionQuery {
	return VersionQuery{
		Service: r.call.Service, Caller: r.call.Caller, Class: object.ClassShort,
		Operation: r.operation.Name, Session: versionSession(r.call), Failed: failed,
	}
}

// versionSession is the key by which a call gets its version. A call without a
// session is one of its own: otherwise all such calls of an account would go to
// the same version, and the share of a large account could exceed the ramp's.
func versionSession(call AppCall) string {
	session := call.Session
	if session == "" {
		session = call.RequestID
	}
	return call.Caller.Account + "/" + session
}

// once makes one attempt on an upstream that is not excluded. A reply with
// status 5xx counts as an answer of the service but as a failure in health and
// move evidence.
func (r *appRun) once(ctx context.Context, excluded []string, timeout time.Duration) attemptResult {
	upstream, err := r.pick(ctx, excluded)
	if err != nil {
		return attemptResult{outcome: app.NotSent, err: err}
	}
	reply, outcome, err := r.proxy.options.App.Call(ctx, app.Call{
		Address: upstream.Address, AttemptID: newID(), Method: r.call.Method, Path: r.call.Path,
		Headers: r.upstreamHeaders(), Body: r.call.Body, Timeout: timeout,
	})
	if outcome == app.Answered {
		upstream.FirstByte()
	}
	r.account(upstream, reply, outcome, err)
	return attemptResult{reply: reply, outcome: outcome, err: err, upstream: upstream.Name}
}

// attemptResult is the end of one attempt on an application service.
type attemptResult struct {
	reply    app.Reply
	outcome  app.Outcome
	err      error
	upstream string // empty if none could be picked
}

func (r *appRun) remaining() time.Duration {
	return r.call.Deadline.Sub(r.proxy.options.Clock.Now())
}

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

func (r *appRun) upstreamHeaders() []app.Header {
	headers := append([]app.Header{}, r.call.Headers...)
	if r.call.OrderKey != "" {
		headers = append(headers, app.Header{Name: "Idempotency-Key", Value: r.call.OrderKey})
	}
	return headers
}

func (r *appRun) account(u *upstreams.Attempt, reply app.Reply, outcome app.Outcome, err error) {
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

// SendOrder makes the single attempt of a non-idempotent call. markSent is
// called directly before the request is sent; its error stops the attempt.
// refused attempts on one upstream are followed by others, because a refusal
// and a failed connection prove that nothing ran.
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
	reply, outcome, err := run.untilSent(ctx, policy.policy)
	if outcome == app.Answered {
		slot.firstByte()
	}
	return reply, outcome, err
}

// untilSent repeats attempts that provably did not run.
func (r *appRun) untilSent(ctx context.Context, policy *retry.Policy) (app.Reply, app.Outcome, error) {
	var excluded []string
	for number := 1; ; number++ {
		end := r.once(ctx, excluded, r.remaining())
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
