package proxy

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/retry"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// bytesPerToken is the average size of a token, by which the number of tokens of
// a prompt is estimated.
const bytesPerToken = 4

// Base priorities sent to engines for the request classes. The priority of the
// client account is subtracted. Engines serve a lower number first.
const (
	priorityShort = 0
	priorityLong  = 10
)

// ChatCall is a chat completion request as received.
type ChatCall struct {
	Caller    Caller
	RequestID string    // empty: one is generated
	Session   string    // X-Session-Id; may be empty
	Deadline  time.Time // zero: the service's timeout applies
	Body      []byte
}

// Chat starts a model request. If the account already has a request with the
// same ID and body, Chat returns that one.
func (p *Proxy) Chat(ctx context.Context, call ChatCall) (*Inflight, error) {
	chat, err := parseChat(call.Body)
	if err != nil {
		return nil, err
	}
	if call.RequestID == "" {
		call.RequestID = newID()
	}
	if existing := p.registry.get(call.Caller.Account, call.RequestID); existing != nil {
		if string(existing.Body) != string(call.Body) {
			return nil, result.New(result.BadHeader, result.NotRun, "X-Request-Id is in use for another request")
		}
		return existing, nil
	}
	if err := p.refuseIfDraining(); err != nil {
		return nil, err
	}
	return p.startChat(ctx, call, chat)
}

// startChat registers and starts a model request.
func (p *Proxy) startChat(ctx context.Context, call ChatCall, chat *chatRequest) (*Inflight, error) {
	spec, err := p.serviceOf(chat.service, object.ProtocolOpenAI)
	if err != nil {
		return nil, err
	}
	if spec.MaxBodyBytes > 0 && int64(len(call.Body)) > spec.MaxBodyBytes {
		return nil, result.New(result.BodyTooLarge, result.NotRun, "the body is larger than %d bytes", spec.MaxBodyBytes)
	}
	deadline, err := p.deadlineOf(call.Deadline, spec)
	if err != nil {
		return nil, err
	}
	f := p.newInflight(call.RequestID, call.Caller.Account, chat, call.Body, deadline)
	f.Session = sessionOf(call, chat)
	f, created := p.registry.add(f)
	if !created {
		return f, nil
	}
	run := &chatRun{proxy: p, inflight: f, caller: call.Caller, spec: spec, class: classOf(spec, chat.promptBytes)}
	if err := run.start(ctx); err != nil {
		p.registry.remove(f)
		f.finish(result.From(err))
		return nil, err
	}
	return f, nil
}

// sessionOf returns the session key of a model request: the account with the
// caller's session, else with the field user, else with the conversation key.
func sessionOf(call ChatCall, chat *chatRequest) string {
	switch {
	case call.Session != "":
		return call.Caller.Account + "/" + call.Session
	case chat.user != "":
		return call.Caller.Account + "/" + chat.user
	}
	return call.Caller.Account + "/" + chat.conversationKey()
}

// classOf returns the class of a request by the size of its prompt.
func classOf(spec *object.Service, promptBytes int) object.RequestClass {
	limit := spec.ShortPromptBytes
	if limit == 0 {
		limit = defaultShortPromptBytes
	}
	if promptBytes <= limit {
		return object.ClassShort
	}
	return object.ClassLong
}

// defaultShortPromptBytes is the maximum prompt size of class short for services
// that set none. It is about 500 tokens, which separates questions from
// documents.
const defaultShortPromptBytes = 2048

// chatRun runs the attempts of one model request.
type chatRun struct {
	proxy    *Proxy
	inflight *Inflight
	caller   Caller
	spec     *object.Service
	class    object.RequestClass
	choice   VersionChoice
	failed   string   // version of the last attempt that failed
	blocks   []uint64 // hashes of the prompt's prefix blocks
	excluded []string // names of upstreams on which attempts failed
	attempts int      // number of attempts that count against the retry limit
	usage    usage
	// noUpstreamSince is the time since which no upstream could be picked; zero
	// if the last pick succeeded.
	noUpstreamSince time.Time

	kvMu sync.Mutex
	kv   []byte // KV cache exported from a leaving upstream
}

// start admits the request and runs it on the pool of upstream calls.
func (r *chatRun) start(ctx context.Context) error {
	p := r.proxy
	if err := r.chooseVersion(); err != nil {
		return err
	}
	cost := float64(r.inflight.chat.promptBytes) / bytesPerToken
	ticket, err := p.options.Admission.Admit(ctx, r.caller.Account, r.class, r.priority(), r.inflight.Deadline, cost)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithDeadline(context.Background(), r.inflight.Deadline)
	r.inflight.setCancel(cancel)
	if err := p.recheckDraining(); err != nil {
		cancel()
		ticket.Fail()
		return err
	}
	r.inflight.fire(eventAdmit)
	err = p.options.Calls.Submit(func() {
		defer cancel()
		slot := &slot{ticket: ticket}
		defer slot.release()
		r.run(runCtx, slot.firstByte)
	})
	if err != nil {
		cancel()
		ticket.Fail()
		return result.Wrap(err, result.Overloaded, result.NotRun, "too many upstream calls are running").WithRetryAfter(1)
	}
	return nil
}

// priority returns the priority of the client account.
func (r *chatRun) priority() int {
	if r.caller.Spec == nil {
		return 0
	}
	return r.caller.Spec.Priority
}

// enginePriority returns the priority that is sent to engines.
func (r *chatRun) enginePriority() int {
	if r.class == object.ClassShort {
		return priorityShort - r.priority()
	}
	return priorityLong - r.priority()
}

// chooseVersion sets the route and version for the next attempts.
func (r *chatRun) chooseVersion() error {
	choice, err := r.proxy.options.Versions.Choose(VersionQuery{
		Service: r.inflight.Service, Caller: r.caller, Class: r.class, Session: r.inflight.Session, Failed: r.failed,
	})
	if err != nil {
		return err
	}
	r.choice = choice
	r.blocks = routing.BlockHashes(choice.Version, r.inflight.chat.promptText(), upstreams.BlockBytes)
	return nil
}

// run makes attempts until the response is complete or no further attempt is
// allowed.
func (r *chatRun) run(ctx context.Context, firstByte func()) {
	policy := r.proxy.policyOf(r.inflight.Service, r.spec)
	policy.budget.AddRequest()
	for {
		r.inflight.fire(eventStart)
		end := r.attempt(ctx, firstByte)
		if end.err == nil {
			r.complete(ctx)
			return
		}
		r.inflight.fire(eventAttemptLost)
		if end.migrate {
			r.proxy.metrics.migrations.Inc()
			continue
		}
		if err := r.prepareRetry(ctx, policy, end); err != nil {
			r.fail(err)
			return
		}
	}
}

// prepareRetry waits until the next attempt may start. Its error is the reason
// why there is no further attempt.
func (r *chatRun) prepareRetry(ctx context.Context, policy *servicePolicy, end chatAttemptResult) error {
	if end.final {
		return end.err
	}
	if end.unavailable {
		return r.awaitUpstream(ctx, end.err)
	}
	r.attempts++
	tokens := r.inflight.emittedTokens()
	err := r.proxy.awaitRetry(ctx, policy.policy, retry.Attempt{
		Number: r.attempts, Idempotent: true, Class: r.class, BytesWritten: end.written,
		Refused: end.refused, Emitted: tokens > 0, Resumable: true, Deadline: r.inflight.Deadline,
	})
	if err != nil {
		return withCause(err, end.err)
	}
	if errors.Is(end.err, engine.ErrFailed) || errors.Is(end.err, engine.ErrIncomplete) {
		r.rechooseVersion()
	}
	return nil
}

// Times of the wait for an available upstream.
const (
	upstreamPollInterval = 50 * time.Millisecond
	// maxWaitWithoutOutput bounds the wait of a request that has emitted nothing.
	// A request with output waits until its deadline, because its caller already
	// has a partial response.
	maxWaitWithoutOutput = 5 * time.Second
)

// awaitUpstream waits for one poll interval before the next pick. It returns err,
// the error of the last pick, if a request without output has waited too long.
func (r *chatRun) awaitUpstream(ctx context.Context, err error) error {
	now := r.proxy.options.Clock.Now()
	if r.noUpstreamSince.IsZero() {
		r.noUpstreamSince = now
	}
	if len(r.inflight.After(0).Events) == 0 && now.Sub(r.noUpstreamSince) > maxWaitWithoutOutput {
		return err
	}
	select {
	case <-ctx.Done():
		return contextError(ctx)
	case <-r.proxy.options.Clock.After(upstreamPollInterval):
		return nil
	}
}

// rechooseVersion chooses the version again after a failure. A version with a
// larger share replaces the failed one, and verdicts on moves that were reached
// while the request was running take effect.
func (r *chatRun) rechooseVersion() {
	r.failed = r.choice.Version
	if err := r.chooseVersion(); err != nil {
		r.proxy.options.Log.Debug("version not chosen again; the previous one is kept", "request", r.inflight.ID, "error", err.Error())
	}
}

// withCause returns an error with the result code, execution state and detail of
// err and with the given cause.
func withCause(err, cause error) error {
	e := result.From(err)
	wrapped := result.Wrap(cause, e.Code, e.Execution, "%s", e.Detail)
	return wrapped.WithRetryAfter(e.RetryAfterSeconds)
}

// contextError returns the error of a request whose context ended: by its
// deadline, or because it had no reader for too long.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, result.Unknown, "the deadline passed before the response was complete")
	}
	return result.New(result.StreamGone, result.Unknown, "the request was cancelled because no caller was connected")
}

// fail logs the error and finishes the request with it.
func (r *chatRun) fail(err error) {
	e := result.From(err)
	r.proxy.options.Log.Info("request failed", "request", r.inflight.ID, "account", r.inflight.Account,
		"service", r.inflight.Service, "version", r.choice.Version, "state", r.inflight.State(), "code", int(e.Code), "execution", string(e.Execution),
		"error", e.Error())
	r.inflight.finish(e)
}

// complete emits the token counts, if the response needs them, and the end of
// the stream.
func (r *chatRun) complete(ctx context.Context) {
	f := r.inflight
	if f.chat.includeUsage || !f.chat.stream {
		chunk := usageChunk{
			ID: completionID(f.ID), Object: "chat.completion.chunk", Created: f.created.Unix(),
			Model: f.Service, Choices: []struct{}{}, Usage: r.usage,
		}
		if data, err := json.Marshal(chunk); err == nil {
			if err := f.emit(ctx, data, false); err != nil {
				r.fail(err)
				return
			}
		}
	}
	if err := f.emit(ctx, []byte("[DONE]"), true); err != nil {
		r.fail(err)
		return
	}
	f.finish(nil)
}

// completionID returns the ID of the completion that the caller sees.
func completionID(requestID string) string { return "chatcmpl-" + requestID }
