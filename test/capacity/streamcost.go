package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
)

// tokenSizes are the lengths of completions in tokens.
var tokenSizes = []int{100, 1000, 4000}

const promptBytes = 1600 // a question with about 400 tokens

func newChunk(id, content, finish string) []byte {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	return []byte(`{"id":"chatcmpl-` + id + `","object":"chat.completion.chunk","created":1893456000,"model":"model-s0",` +
		`"system_fingerprint":"v0","choices":[{"index":0,"delta":{"content":"` + content + `"},"finish_reason":` + reason + `}]}`)
}

func newUsageChunk(id string, tokens int) []byte {
	return fmt.Appendf(nil, `{"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1893456000,"model":"model-s0",`+
		`"choices":[],"usage":{"prompt_tokens":400,"completion_tokens":%d,"total_tokens":%d}}`, id, tokens, tokens+400)
}

// chatBody returns a request body; each number gives a different prompt.
func chatBody(tokens, number int) []byte {
	return fmt.Appendf(nil, `{"model":"s0","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d %s"}]}`,
		tokens+1, number, strings.Repeat("appraise ", promptBytes/9))
}

// stubEngine emits a number of tokens without a network. If hold is not nil, the
// stream then stays open until hold is closed.
type stubEngine struct {
	engine.Engine
	tokens int
	hold   chan struct{}
}

// Stream implements engine.Engine.
func (l *stubEngine) Stream(ctx context.Context, call engine.Call, onLoad func(engine.Load), f func(engine.Chunk) error) error {
	onLoad(engine.Load{})
	data := newChunk(call.AttemptID, " token", "")
	for range l.tokens {
		if err := f(engine.Chunk{Data: data, Content: " token", CompletionTokens: -1}); err != nil {
			return err
		}
	}
	if l.hold == nil {
		return nil
	}
	select {
	case <-l.hold:
	case <-ctx.Done():
	}
	return nil
}

func measureStream(r *run) error {
	for _, tokens := range tokenSizes {
		if err := measureStreamMemory(r, tokens); err != nil {
			return err
		}
		if err := measureEmit(r, tokens); err != nil {
			return err
		}
	}
	measureTokenSteps(r)
	// Little's law: the streams in flight are the tokens a second times the
	// time between the tokens of one stream.
	memory := r.find("stream.memory").fit()
	perStream := memory.intercept + memory.slope*meanCompletionTokens/2
	r.addLimit("stream: memory of the in-flight records of 600 streams, half of 430 tokens emitted",
		perStream*streamsInFlight/1e6, controlMemoryBytes/1e6, "MB")
	// A finished record is kept for proxy.DeliveredWindow after its delivery.
	finished := memory.slope * meanCompletionTokens * requestsPerSecondPerDaemon * proxy.DeliveredWindow.Seconds()
	r.addLimit("stream: memory of the finished records, kept for 5 s after delivery, events only, extrapolated",
		finished/1e6, controlMemoryBytes/1e6, "MB")
	return nil
}

// Load of one daemon at the target.
const (
	tokensPerSecondPerDaemon = 9e6 / 420
	interTokenSeconds        = 0.028
	streamsInFlight          = tokensPerSecondPerDaemon * interTokenSeconds
	meanCompletionTokens     = tokensPerSecondPerDaemon / requestsPerSecondPerDaemon
)

// measureStreamMemory measures the memory of streams that stay open after a
// number of tokens.
func measureStreamMemory(r *run, tokens int) error {
	const streams = 50
	stub := &stubEngine{tokens: tokens, hold: make(chan struct{})}
	path, err := newRequestPath(stub, "127.0.0.1:1")
	if err != nil {
		return err
	}
	defer path.close()
	memory := heapGrowth(func() any {
		for i := range streams {
			call := proxy.ChatCall{Caller: path.caller(), RequestID: fmt.Sprint("request-", i), Body: chatBody(tokens, i)}
			if err = startStream(path, call, tokens); err != nil {
				return nil
			}
		}
		return path
	})
	close(stub.hold)
	r.record("stream.memory", "tokens emitted", "bytes a stream", float64(tokens), memory/streams)
	return errors.Wrap(err, "start a stream")
}

// startStream starts a stream and waits until all its tokens are emitted.
func startStream(path *requestPath, call proxy.ChatCall, tokens int) error {
	f, err := path.proxy.Chat(context.Background(), call)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for last := 0; last < tokens; {
		progress, err := f.Next(ctx, int64(last))
		if err != nil {
			return errors.Wrapf(err, "wait for token %d of %d", last+1, tokens)
		}
		if progress.Failure != nil {
			return progress.Failure
		}
		last += len(progress.Events)
	}
	return nil
}

// measureEmit measures complete requests with a reader but no network.
func measureEmit(r *run, tokens int) error {
	path, err := newRequestPath(&stubEngine{tokens: tokens}, "127.0.0.1:1")
	if err != nil {
		return err
	}
	defer path.close()
	requests := max(2, r.repeat(40*1000/tokens))
	one := perCall(requests, func(i int) {
		f, chatErr := path.proxy.Chat(context.Background(), proxy.ChatCall{Caller: path.caller(), Body: chatBody(tokens, i)})
		if chatErr != nil {
			err = chatErr
			return
		}
		err = readAll(f)
	})
	r.record("stream.request_cpu", "tokens", "us a request, without network", float64(tokens), microseconds(one.cpu))
	r.record("stream.request_allocs", "tokens", "allocations a request, without network", float64(tokens), one.allocs)
	return err
}

// readAll reads a response as the HTTP server does.
func readAll(f *proxy.Inflight) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	last := int64(0)
	for {
		progress, err := f.Next(ctx, last)
		switch {
		case err != nil:
			return errors.Wrap(err, "read the response")
		case progress.Failure != nil:
			return progress.Failure
		case progress.Done:
			return nil
		}
		last += int64(len(progress.Events))
	}
}

// measureTokenSteps measures the parsing and the writing of one token separately,
// at three lengths of the content.
func measureTokenSteps(r *run) {
	for _, words := range []int{1, 8, 64} {
		content := strings.Repeat(" token", words)
		data := newChunk("0f9a4c7e-0000-4000-8000-000000000000", content, "")
		size := float64(len(data))
		parse := perCall(r.repeat(20_000), func(int) { _ = engine.ContentOf(data) })
		r.record("stream.parse_cpu", "bytes of a chunk", "us a token", size, microseconds(parse.cpu))
		r.record("stream.parse_allocs", "bytes of a chunk", "allocations a token", size, parse.allocs)
		c := app.NewContext(0)
		c.Response.HijackWriter(&discardWriter{})
		w := sse.NewWriter(c)
		write := perCall(r.repeat(20_000), func(i int) { _ = w.WriteEvent(fmt.Sprint(i), "", data) })
		r.record("stream.sse_cpu", "bytes of a chunk", "us a token, without network", size, microseconds(write.cpu))
		r.record("stream.sse_allocs", "bytes of a chunk", "allocations a token", size, write.allocs)
	}
}

// discardWriter is a response writer that discards the body.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return io.Discard.Write(p) }

func (discardWriter) Flush() error { return nil }

func (discardWriter) Finalize() error { return nil } //nolint:misspell // hertz declares the method under this name
