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

// chatAttemptResult is the result of one attempt of a model request.
type chatAttemptResult struct {
	err         error // nil: the response is complete
	migrate     bool  // the upstream is leaving: continue on another one without a retry
	final       bool  // the request fails or ends; no retry on another upstream
	written     bool  // bytes may have reached the upstream
	refused     bool  // the upstream refused without executing the request
	unavailable bool  // no upstream could be picked
}

var errUpstreamLeaving = errors.New("upstream is leaving")

// attempt runs one attempt, from the pick of an upstream to the last chunk.
// firstByte is called when the first chunk arrives.
func (r *chatRun) attempt(ctx context.Context, firstByte func()) chatAttemptResult {
	if ctx.Err() != nil {
		return chatAttemptResult{err: contextError(ctx), final: true, written: true}
	}
	text, tokens := r.inflight.emitted()
	if r.inflight.chat.maxTokens > 0 && tokens >= r.inflight.chat.maxTokens {
		return r.finishAtLimit(ctx)
	}
	upstream, err := r.pick(ctx)
	if err != nil {
		return chatAttemptResult{err: err, unavailable: true}
	}
	r.noUpstreamSince = time.Time{}
	body, err := r.inflight.chat.upstreamBody(r.model(), r.enginePriority(), text, tokens)
	if err != nil {
		upstream.End(upstreams.FailureNone)
		return chatAttemptResult{err: err, final: true}
	}
	attemptID := newID()
	r.importKV(ctx, upstream, attemptID)
	end := r.stream(ctx, upstream, attemptID, body, firstByte)
	r.reportAttempt(upstream, end)
	return end
}

// finishAtLimit ends a stream that was interrupted after the caller's token
// limit had been reached. It emits the chunk with the finish reason that the
// lost upstream would have sent.
func (r *chatRun) finishAtLimit(ctx context.Context) chatAttemptResult {
	chunk := `{"id":"` + completionID(r.inflight.ID) +
		`","object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`
	return chatAttemptResult{err: r.inflight.emit(ctx, []byte(chunk), false), final: true}
}

// model returns the model name of the chosen version, or the service name if
// the version sets none.
func (r *chatRun) model() string {
	version, _, ok := object.Lookup[*object.Version](r.proxy.options.Config().Set, object.KindVersion, r.choice.Version)
	if !ok || version.Model == "" {
		return r.inflight.Service
	}
	return version.Model
}

// pick chooses an upstream. If only excluded upstreams are left, it chooses one
// of those.
func (r *chatRun) pick(ctx context.Context) (*upstreams.Attempt, error) {
	work := float64(r.inflight.chat.promptBytes) / bytesPerToken
	request := routing.Request{
		Service: r.inflight.Service, Version: r.choice.Version, Class: r.class, Priority: r.priority(),
		Account: r.inflight.Account, Blocks: r.blocks, BlockWork: upstreams.BlockBytes / bytesPerToken,
		Work: work, Session: r.inflight.Session, Deadline: r.inflight.Deadline, Excluded: r.excluded,
	}
	upstream, err := r.proxy.options.Directory.Pick(ctx, request)
	if err != nil && len(r.excluded) > 0 {
		// Every other upstream is unavailable: try those again that failed
		// earlier.
		r.excluded, request.Excluded = nil, nil
		upstream, err = r.proxy.options.Directory.Pick(ctx, request)
	}
	return upstream, err
}

// stream emits the upstream's chunks until the attempt ends. When the upstream
// announces that it is leaving, stream exports its KV cache and cancels the
// attempt.
func (r *chatRun) stream(ctx context.Context, u *upstreams.Attempt, attemptID string, body []byte, firstByte func()) chatAttemptResult {
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
	relay := &chunkRelay{run: r, upstream: u, ctx: ctx, firstByte: firstByte, machine: r.proxy.charts.attempt.Machine()}
	err := r.proxy.options.Engine.Stream(ctx, call, u.ObserveLoad, relay.forward)
	end := r.classify(ctx, relay.machine, err)
	end.written = end.err != nil && relay.machine.State() != stateNotRun
	if end.err != nil && !end.final {
		r.exclude(u)
	}
	return end
}

// classify fires the events of the attempt's statechart that correspond to err
// and returns the attempt's result.
func (r *chatRun) classify(ctx context.Context, m *statechart.Machine, err error) chatAttemptResult {
	switch {
	case err == nil:
		fireAll(m, eventEnd)
		return chatAttemptResult{}
	case errors.Is(context.Cause(ctx), errUpstreamLeaving):
		fireAll(m, eventConnect, eventSend, eventLeaving, eventAbandon)
		return chatAttemptResult{err: errUpstreamLeaving, migrate: true}
	case ctx.Err() != nil:
		fireAll(m, eventConnect, eventSend, eventAbandon)
		return chatAttemptResult{err: contextError(ctx), final: true}
	case errors.Is(err, engine.ErrNotSent):
		fireAll(m, eventBreak)
		return chatAttemptResult{err: err}
	case errors.Is(err, engine.ErrRejected):
		fireAll(m, eventConnect, eventSend, eventRefuse)
		return chatAttemptResult{err: result.Wrap(err, result.BadRequest, result.NotRun, "the upstream rejected the request"), final: true}
	case errors.Is(err, engine.ErrRefused):
		fireAll(m, eventConnect, eventSend, eventRefuse)
		return chatAttemptResult{err: err, refused: true, migrate: errors.Is(err, engine.ErrLeaving)}
	case errors.Is(err, engine.ErrForeignReply):
		r.proxy.metrics.foreignReplies.Inc()
	}
	fireAll(m, eventConnect, eventSend, eventBreak)
	code := result.CodeOf(err)
	return chatAttemptResult{err: err, final: code == result.BodyTooLarge || code == result.StreamMoved}
}

// exclude keeps later attempts of the request away from an upstream.
func (r *chatRun) exclude(u *upstreams.Attempt) { r.excluded = append(r.excluded, u.Name) }

// reportAttempt reports the end of an attempt to the upstream's health and
// concurrency limit and to Options.Observe, and logs it.
func (r *chatRun) reportAttempt(u *upstreams.Attempt, end chatAttemptResult) {
	failed := end.err != nil && !end.migrate && !end.refused && !end.final
	switch {
	case end.refused:
		u.End(upstreams.FailureOverload)
		r.proxy.handleRefusal(u, end.err)
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

// errorText returns the text of err, empty if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// exportKV reads the KV cache of a leaving upstream while the stream is still
// running. If that fails, the next upstream computes the prompt again.
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

// importKV sends the exported KV cache, if there is one, to the next upstream.
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

// chunkRelay emits the chunks of one attempt to the readers of the request.
type chunkRelay struct {
	run       *chatRun
	upstream  *upstreams.Attempt
	ctx       context.Context
	firstByte func()
	machine   *statechart.Machine
	started   bool // a chunk has arrived
}

// forward emits a chunk under the request's completion ID. Chunks with only
// token counts are recorded and not emitted.
func (l *chunkRelay) forward(c engine.Chunk) error {
	if !l.started {
		l.started = true
		fireAll(l.machine, eventConnect, eventSend, eventReply)
		l.upstream.FirstByte()
		l.firstByte()
	}
	r := l.run
	if c.CompletionTokens >= 0 {
		r.updateUsage(c)
		if c.Content == "" && c.FinishReason == "" {
			return nil
		}
	}
	if c.Content == "" && c.FinishReason == "" && len(r.inflight.After(0).Events) > 0 {
		// The first chunk of a continuation contains only the role, which the
		// caller already has.
		return nil
	}
	if r.inflight.size() > r.proxy.options.MaxStreamBytes {
		return result.New(result.BodyTooLarge, result.Unknown, "the response is larger than %d bytes", r.proxy.options.MaxStreamBytes)
	}
	if err := r.inflight.emit(l.ctx, withID(c.Data, r.inflight.ID), false); err != nil {
		return err
	}
	if c.Content != "" {
		r.inflight.countTokens(1)
	}
	return nil
}

// updateUsage sets the token counts for the caller: the prompt tokens of the
// first report, because a continuation's prompt includes emitted text, and the
// number of emitted chunks with content.
func (r *chatRun) updateUsage(c engine.Chunk) {
	tokens := r.inflight.emittedTokens()
	if r.usage.PromptTokens == 0 {
		r.usage.PromptTokens = c.PromptTokens
	}
	r.usage.CompletionTokens = tokens
	r.usage.TotalTokens = r.usage.PromptTokens + tokens
}

// withID replaces the engine's completion ID by that of the request, so that
// all chunks have the same ID even if they come from several attempts.
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

// handleRefusal treats a refusal with reason "leaving" as a leaving notice.
func (p *Proxy) handleRefusal(u *upstreams.Attempt, err error) {
	if errors.Is(err, engine.ErrLeaving) {
		p.options.Directory.Leave(u.RefusalNotice())
	}
}
