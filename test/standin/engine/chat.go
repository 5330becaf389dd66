package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

// Response headers that report the engine's state.
const (
	HeaderLoadRunning  = "X-Load-Running"
	HeaderLoadWaiting  = "X-Load-Waiting"
	HeaderCachedTokens = "X-Cached-Tokens"
)

// ChatRequest is the body of POST /v1/chat/completions. Other members of the
// API are accepted and ignored.
type ChatRequest struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	Stream        bool      `json:"stream,omitempty"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options,omitzero"`
	MaxTokens           int `json:"max_tokens,omitempty"`
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
	// MinTokens is the minimum number of tokens of this response.
	MinTokens int `json:"min_tokens,omitempty"`
	// IgnoreEOS makes the response exactly max_tokens long.
	IgnoreEOS bool `json:"ignore_eos,omitempty"`
	// Priority orders waiting requests; lower values are served first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage with AddGenerationPrompt false continues the last
	// message, whose role must be "assistant".
	ContinueFinalMessage bool  `json:"continue_final_message,omitempty"`
	AddGenerationPrompt  *bool `json:"add_generation_prompt,omitempty"`
}

func (r *ChatRequest) validate() error {
	if len(r.Messages) == 0 {
		return fmt.Errorf("messages is empty")
	}
	if !r.ContinueFinalMessage {
		return nil
	}
	if r.AddGenerationPrompt == nil || *r.AddGenerationPrompt {
		return fmt.Errorf("continue_final_message needs add_generation_prompt false")
	}
	if r.Messages[len(r.Messages)-1].Role != "assistant" {
		return fmt.Errorf("continue_final_message needs a last message of the assistant")
	}
	return nil
}

// tokenLimit returns the maximum number of output tokens, or 0 for no limit.
func (r *ChatRequest) tokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// planOutput returns the tokens to emit and the finish reason.
func (r *ChatRequest) planOutput(prompt, emitted string) (output []string, finish string) {
	seed := xxhash.Sum64String(prompt)
	done, limit := len(tokenise(emitted)), r.tokenLimit()
	total := max(naturalLength(seed), done+r.MinTokens)
	if r.IgnoreEOS && limit > 0 {
		total = done + limit
	}
	output = continuation(seed, emitted, total)
	if limit > 0 && len(output) >= limit && (r.IgnoreEOS || len(output) > limit) {
		return output[:limit], "length"
	}
	return output, "stop"
}

// job is one accepted chat request.
type job struct {
	id      string // X-Request-Id
	version string
	request ChatRequest
	seq     *sequence
	finish  string
	faults  fault.Decision
}

func (s *Server) handleChat(ctx context.Context, c *app.RequestContext) {
	load := int(s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	s.update(func() { s.stats.Requests++ })
	if reason := s.refusal(); reason != "" {
		s.refuse(c, reason)
		return
	}
	j, status, err := s.newJob(c, load)
	if err != nil {
		fail(c, status, "invalid_request_error", err.Error())
		return
	}
	c.Response.Header.Set(fault.HeaderRequestID, j.id)
	if j.faults.Fail {
		s.update(func() { s.stats.Failed++ })
		fail(c, j.faults.Status, "server_error", "injected failure")
		return
	}
	s.serve(ctx, c, j)
}

// newJob parses and validates a request and builds its sequence. On an error it
// returns the HTTP status of the response.
func (s *Server) newJob(c *app.RequestContext, load int) (*job, int, error) {
	j := &job{id: string(c.GetHeader(fault.HeaderRequestID))}
	if err := json.Unmarshal(c.Request.Body(), &j.request); err != nil {
		return nil, http.StatusBadRequest, err
	}
	if err := j.request.validate(); err != nil {
		return nil, http.StatusBadRequest, err
	}
	state := s.ControlState()
	names := append(state.Adapters, "", state.Model, state.Version)
	if !slices.Contains(names, j.request.Model) {
		return nil, http.StatusNotFound, fmt.Errorf("model %q is not loaded", j.request.Model)
	}
	prompt, emitted, err := render(j.request.Messages, j.request.ContinueFinalMessage)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	j.version = state.Version
	j.faults = s.faults.Decide(fault.Request{Path: string(c.Path()), Body: c.Request.Body(), Load: load})
	var output []string
	output, j.finish = j.request.planOutput(prompt, emitted)
	j.seq = newSequence(j, state.Model+"@"+state.Version, prompt+emitted, output)
	return j, 0, nil
}

func newSequence(j *job, salt, prompt string, output []string) *sequence {
	seq := &sequence{
		request: j.id, priority: j.request.Priority, slow: j.faults.Slow,
		chain: newChain(salt), salt: saltHash(salt), output: output,
		resume: j.request.ContinueFinalMessage,
		tokens: make(chan string, len(output)), started: make(chan struct{}),
	}
	for _, token := range tokenise(prompt) {
		seq.chain.add(token)
	}
	seq.prompt = seq.chain.tokens()
	return seq
}

// serve runs the sequence and sends the response.
func (s *Server) serve(ctx context.Context, c *app.RequestContext, j *job) {
	s.scheduler.submit(j.seq)
	defer s.scheduler.cancel(j.seq)
	select {
	case <-j.seq.started:
	case <-ctx.Done():
		return
	}
	running, waiting := s.scheduler.load()
	c.Response.Header.Set(HeaderLoadRunning, strconv.Itoa(running))
	c.Response.Header.Set(HeaderLoadWaiting, strconv.Itoa(waiting))
	c.Response.Header.Set(HeaderCachedTokens, strconv.Itoa(j.seq.cached))
	before, instead := s.replies.Swap(s.http.Values(ctx), j.id, j.faults, j.wholeReply)
	switch {
	case before != nil:
		_ = before.WriteRaw(c)
	case instead != nil:
		instead.Send(c)
		return
	}
	if j.request.Stream {
		s.stream(ctx, c, j)
		return
	}
	s.complete(ctx, c, j)
}

// next returns the next token. ok is false after the last one; aborted means
// that the sequence did not complete or the client disconnected.
func (s *Server) next(ctx context.Context, j *job, sent int) (token string, ok, aborted bool) {
	select {
	case token, ok = <-j.seq.tokens:
	case <-ctx.Done():
		return "", false, true
	}
	if s.faults.WaitThaw(ctx) != nil {
		return "", false, true
	}
	if ok {
		return token, true, false
	}
	return "", false, sent < len(j.seq.output)
}

// stream sends the tokens as they are computed.
func (s *Server) stream(ctx context.Context, c *app.RequestContext, j *job) {
	w := sse.NewWriter(c)
	if w.WriteEvent("", "", j.chunk(delta{Role: "assistant"}, "")) != nil {
		return
	}
	for sent := 0; ; sent++ {
		if j.faults.Cut && sent == j.faults.CutAfter {
			closeConn(c)
			return
		}
		if j.faults.End && sent == j.faults.EndAfter {
			for _, data := range j.earlyEndEvents() {
				_ = w.WriteEvent("", "", data)
			}
			return
		}
		token, ok, aborted := s.next(ctx, j, sent)
		if aborted {
			closeConn(c)
			return
		}
		if !ok {
			break
		}
		if w.WriteEvent("", "", j.chunk(delta{Content: token}, "")) != nil {
			return
		}
	}
	for _, data := range j.finalEvents() {
		_ = w.WriteEvent("", "", data)
	}
	if j.faults.Repeat {
		_ = w.Close()
		_ = j.wholeReply().WriteRaw(c)
	}
}

// complete sends all tokens in one response.
func (s *Server) complete(ctx context.Context, c *app.RequestContext, j *job) {
	var text strings.Builder
	for sent := 0; ; sent++ {
		if j.faults.Cut && sent == j.faults.CutAfter {
			closeConn(c)
			return
		}
		if j.faults.End && sent == j.faults.EndAfter {
			break
		}
		token, ok, aborted := s.next(ctx, j, sent)
		if aborted {
			closeConn(c)
			return
		}
		if !ok {
			break
		}
		text.WriteString(token)
	}
	reply := j.plainReply(text.String())
	if j.faults.Repeat {
		_ = reply.WriteRaw(c)
	}
	reply.Send(c)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte(`{"error":{"message":"the reply cannot be encoded"}}`)
	}
	return data
}

func now() int64 { return time.Now().Unix() }
