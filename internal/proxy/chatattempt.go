package proxy

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// attemptEnd says how an attempt ended.
type attemptEnd struct {
	err     error // nil: the answer is whole
	migrate bool  // the upstream leaves; go on elsewhere at once
	final   bool  // no other upstream would do better
	written bool  // bytes may have reached the upstream
	refused bool  // the upstream refused without running the request
	// unavailable: no upstream could be picked.
	unavailable bool
}

var errUpstreamLeaving = errors.New("upstream is leaving")

// attempt runs one attempt, from the pick to the last chunk.
func (r *chatRun) attempt(ctx context.Context, firstByte func()) attemptEnd {
	if ctx.Err() != nil {
		return attemptEnd{err: deadlineError(ctx), final: true, written: true}
	}
	text, tokens := r.inflight.emitted()
	if r.inflight.chat.maxTokens > 0 && tokens >= r.inflight.chat.maxTokens {
		return r.finishAtLimit(ctx)
	}
	upstream, err := r.pick(ctx)
	if err != nil {
		return attemptEnd{err: err, unavailable: true}
	}
	r.waiting = time.Time{}
	body, err := r.inflight.chat.upstreamBody(r.model(), r.enginePriority(), text, tokens)
	if err != nil {
		upstream.End(upstreams.FailureNone)
		return attemptEnd{err: err, final: true}
	}
	attemptID := newID()
	r.importKV(ctx, upstream, attemptID)
	end := r.stream(ctx, upstream, attemptID, body, firstByte)
	r.account(upstream, end)
	return end
}

// finishAtLimit ends a stream whose token limit was reached before a cut.
func (r *chatRun) finishAtLimit(ctx context.Context) attemptEnd {
	chunk := `{"id":"` + completionID(r.inflight.ID) +
		`","object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`
	return attemptEnd{err: r.inflight.emit(ctx, []byte(chunk), false), final: true}
}

func (r *chatRun) model() string {
	version, _, ok := object.Lookup[*object.Version](r.proxy.options.Config().Set, object.KindVersion, r.choice.Version)
	if !ok || version.Model == "" {
		return r.inflight.Service
	}
	return version.Model
}

func (r *chatRun) pick(ctx context.Context) (*upstreams.Attempt, error) {
	work := float64(r.inflight.chat.promptBytes) / bytesPerToken
	request := routing.Request{
		Service: r.inflight.Service, Version: r.choice.Version, Class: r.class, Priority: r.priority(),
		Account: r.inflight.Account, Blocks: r.blocks, BlockWork: upstreams.BlockBytes / bytesPerToken,
		Work: work, Session: r.inflight.Session, Deadline: r.inflight.Deadline, Excluded: r.excluded,
	}
	upstream, err := r.proxy.options.Directory.Pick(ctx, request)
	if err != nil && len(r.excluded) > 0 {
		// An upstream that failed once is better than none.
		r.excluded, request.Excluded = nil, nil
		upstream, err = r.proxy.options.Directory.Pick(ctx, request)
	}
	return upstream, err
}

// stream relays chunks until the attempt ends or the upstream begins to leave.
func (r *chatRun) stream(ctx context.Context, u *upstreams.Attempt, attemptID string, body []byte, firstByte func()) attemptEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-u.Leaving:
			r.exportKV(ctx, u, attemptID)
			cancel(errUpstreamLeaving)
		case <-stop:
		}
	}()
	call := engine.Call{
		Address: u.Address, AttemptID: attemptID, Body: body,
		FirstByteTimeout: r.proxy.options.FirstByteTimeout, TokenTimeout: r.proxy.options.TokenTimeout,
	}
	relay := &relay{run: r, upstream: u, ctx: ctx, firstByte: firstByte, machine: r.proxy.charts.attempt.Machine()}
	err := r.proxy.options.Engine.Stream(ctx, call, u.ObserveLoad, relay.chunk)
	end := r.classify(ctx, relay.machine, err)
	end.written = end.err != nil && relay.machine.State() != stateNotRun
	if end.err != nil && !end.final {
		r.exclude(u)
	}
	return end
}

// classify passes the events that err stands for to the attempt's chart and
// says how the request goes on.
func (r *chatRun) classify(ctx context.Context, m *statechart.Machine, err error) attemptEnd {
	switch {
	case err == nil:
		fireAll(m, eventEnd)
		return attemptEnd{}
	case errors.Is(context.Cause(ctx), errUpstreamLeaving):
		fireAll(m, eventConnect, eventSend, eventLeaving, eventAbandon)
		return attemptEnd{err: errUpstreamLeaving, migrate: true}
	case ctx.Err() != nil:
		fireAll(m, eventConnect, eventSend, eventAbandon)
		return attemptEnd{err: deadlineError(ctx), final: true}
	case errors.Is(err, engine.ErrNotSent):
		fireAll(m, eventBreak)
		return attemptEnd{err: err}
	case errors.Is(err, engine.ErrRejected):
		fireAll(m, eventConnect, eventSend, eventRefuse)
		return attemptEnd{err: result.Wrap(err, result.BadRequest, result.NotRun, "the upstream rejected the request"), final: true}
	case errors.Is(err, engine.ErrRefused):
		fireAll(m, eventConnect, eventSend, eventRefuse)
		return attemptEnd{err: err, refused: true, migrate: errors.Is(err, engine.ErrLeaving)}
	case errors.Is(err, engine.ErrForeign):
		r.proxy.metrics.foreignReplies.Inc()
	}
	fireAll(m, eventConnect, eventSend, eventBreak)
	code := result.CodeOf(err)
	return attemptEnd{err: err, final: code == result.BodyTooLarge || code == result.StreamMoved}
}

func (r *chatRun) exclude(u *upstreams.Attempt) { r.excluded = append(r.excluded, u.Name) }

// account reports the end of an attempt to health, limits and move evidence.
func (r *chatRun) account(u *upstreams.Attempt, end attemptEnd) {
	failed := end.err != nil && !end.migrate && !end.refused && !end.final
	switch {
	case end.refused:
		u.End(upstreams.FailureOverload)
		r.proxy.noteRefusal(u, end.err)
	case failed:
		u.End(upstreams.FailureError)
	default:
		u.End(upstreams.FailureNone)
	}
	if end.err == nil || failed {
		r.proxy.options.Observe(Observation{
			Service: r.inflight.Service, Route: r.choice.Route, Version: u.Version, DataCentre: u.DataCentre,
			Upstream: u.Name, Account: r.inflight.Account, Failed: failed, Latency: u.FirstByteLatency(),
		})
	}
	r.proxy.options.Log.Debug("attempt ended", "request", r.inflight.ID, "upstream", u.Name,
		"version", u.Version, "elapsed", u.Elapsed().String(), "error", errorText(end.err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// exportKV reads the KV cache of a leaving upstream while the stream still
// runs. A failure only means that the prompt is computed again.
func (r *chatRun) exportKV(ctx context.Context, u *upstreams.Attempt, attemptID string) {
	ctx, cancel := context.WithTimeout(ctx, r.proxy.options.MigrationDeadline)
	defer cancel()
	data, err := r.proxy.options.Engine.ExportKV(ctx, u.Address, attemptID)
	if err != nil {
		r.proxy.options.Log.Debug("KV cache not exported", "request", r.inflight.ID, "error", err.Error())
		return
	}
	r.kvMu.Lock()
	defer r.kvMu.Unlock()
	r.kv = data
}

// importKV gives the exported KV cache to the next upstream.
func (r *chatRun) importKV(ctx context.Context, u *upstreams.Attempt, attemptID string) {
	r.kvMu.Lock()
	data := r.kv
	r.kv = nil
	r.kvMu.Unlock()
	if data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.proxy.options.MigrationDeadline)
	defer cancel()
	if err := r.proxy.options.Engine.ImportKV(ctx, u.Address, attemptID, data); err != nil {
		r.proxy.options.Log.Debug("KV cache not imported", "request", r.inflight.ID, "error", err.Error())
		return
	}
	r.proxy.metrics.kvMoves.Inc()
}

// relay passes the chunks of one attempt to the in-flight record.
type relay struct {
	run       *chatRun
	upstream  *upstreams.Attempt
	ctx       context.Context
	firstByte func()
	machine   *statechart.Machine
	started   bool
}

func (l *relay) chunk(c engine.Chunk) error {
	if !l.started {
		l.started = true
		fireAll(l.machine, eventConnect, eventSend, eventReply)
		l.upstream.FirstByte()
		l.firstByte()
	}
	r := l.run
	if c.CompletionTokens >= 0 {
		r.noteUsage(c)
		if c.Content == "" && c.FinishReason == "" {
			return nil
		}
	}
	if c.Content == "" && c.FinishReason == "" && len(r.inflight.After(0).Events) > 0 {
		// A continuation repeats the opening chunk with the role.
		return nil
	}
	if r.inflight.size() > r.proxy.options.MaxStreamBytes {
		return result.New(result.BodyTooLarge, result.Unknown, "the answer is larger than %d bytes", r.proxy.options.MaxStreamBytes)
	}
	if err := r.inflight.emit(l.ctx, withID(c.Data, r.inflight.ID), false); err != nil {
		return err
	}
	if c.Content != "" {
		r.inflight.countTokens(1)
	}
	return nil
}

func (r *chatRun) noteUsage(c engine.Chunk) {
	tokens := r.inflight.emittedTokens()
	if r.usage.PromptTokens == 0 {
		r.usage.PromptTokens = c.PromptTokens
	}
	r.usage.CompletionTokens = tokens
	r.usage.TotalTokens = r.usage.PromptTokens + tokens
}

// withID replaces the engine's completion ID by that of the request, so that
// the caller sees one ID although attempts change.
func withID(data []byte, requestID string) []byte {
	const prefix = `{"id":"`
	if !bytes.HasPrefix(data, []byte(prefix)) {
		return data
	}
	end := bytes.IndexByte(data[len(prefix):], '"')
	if end < 0 {
		return data
	}
	id := completionID(requestID)
	out := make([]byte, 0, len(data)+len(id))
	out = append(out, prefix...)
	out = append(out, id...)
	return append(out, data[len(prefix)+end:]...)
}

// noteRefusal treats a refusal with reason "leaving" as a leaving notice.
func (p *Proxy) noteRefusal(u *upstreams.Attempt, err error) {
	if errors.Is(err, engine.ErrLeaving) {
		p.options.Directory.Leave(u.RefusalNotice())
	}
}
