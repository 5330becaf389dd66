package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/eventstream"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
)

// Limits for replies of engines.
const (
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds the part of an error reply that is put into the error.
	maxErrorBytes = 4 << 10
	// exchangeTimeout bounds a request other than Stream.
	exchangeTimeout = 5 * time.Second
)

// OpenAI implements Engine for engines with the OpenAI-compatible API.
type OpenAI struct {
	http *upstreamhttp.Client
}

// NewOpenAI returns an OpenAI that sends its requests with client.
func NewOpenAI(client *upstreamhttp.Client) *OpenAI { return &OpenAI{http: client} }

// Stream implements Engine.
func (o *OpenAI) Stream(ctx context.Context, call Call, onLoad func(Load), f func(Chunk) error) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + call.Address + "/v1/chat/completions")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.Header.Set(upstreamhttp.HeaderAttempt, call.AttemptID)
	req.SetBody(call.Body)
	if err := o.http.Do(ctx, req, resp, call.FirstByteTimeout); err != nil {
		return classifySendError(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	onLoad(loadOf(resp))
	if err := checkReply(resp, call.AttemptID); err != nil {
		return err
	}
	return readStream(ctx, resp, call, f)
}

// classifySendError returns ErrNotSent if no byte of the request was sent, otherwise
// ErrFailed.
func classifySendError(err error) error {
	if errors.Is(err, upstreamhttp.ErrNotConnected) {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	return errors.Wrapf(ErrFailed, "%v", err)
}

// checkReply checks the attempt ID and the status of a reply.
func checkReply(resp *protocol.Response, attemptID string) error {
	if got := resp.Header.Get(upstreamhttp.HeaderAttempt); got != "" && got != attemptID {
		return errors.Wrapf(ErrForeignReply, "got a reply for attempt %s", got)
	}
	status := resp.StatusCode()
	switch {
	case status == consts.StatusOK:
		return nil
	case resp.Header.Get(upstreamhttp.HeaderRefused) == upstreamhttp.RefusedLeaving:
		return errors.Wrapf(ErrLeaving, "status %d", status)
	case resp.Header.Get(upstreamhttp.HeaderRefused) != "":
		return errors.Wrapf(ErrRefused, "status %d: %s", status, resp.Header.Get(upstreamhttp.HeaderRefused))
	case status >= 400 && status < 500 && status != consts.StatusTooManyRequests && status != consts.StatusRequestTimeout:
		return errors.Wrapf(ErrRejected, "status %d: %s", status, bodyStart(resp))
	}
	return errors.Wrapf(ErrFailed, "status %d: %s", status, bodyStart(resp))
}

// bodyStart returns the start of the body of an error reply.
func bodyStart(resp *protocol.Response) string {
	buf := make([]byte, maxErrorBytes)
	n, _ := resp.BodyStream().Read(buf)
	return string(buf[:n])
}

// readStream passes the chunks of a reply to f and enforces the time-outs of the call.
func readStream(ctx context.Context, resp *protocol.Response, call Call, f func(Chunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(call.FirstByteTimeout, cancel)
	defer watchdog.Stop()
	state := streamState{callback: f, reportedTokens: -1}
	err := eventstream.Read(ctx, resp, maxEventBytes, func(e *sse.Event) error {
		watchdog.Reset(call.TokenTimeout)
		return state.event(e.Data)
	})
	return state.result(err)
}

// streamState checks that the chunks of one attempt form a complete completion.
type streamState struct {
	callback       func(Chunk) error
	chunkID        []byte // "id" member of the first chunk
	finished       bool   // a finish reason has arrived
	done           bool   // [DONE] has arrived
	tokens         int    // chunks with content; a complete stream has at least reportedTokens
	reportedTokens int    // completion tokens in the usage member, -1 before it
}

// errDone ends the reading of a stream after [DONE].
var errDone = errors.New("stream is complete")

// event handles the data of one event.
func (s *streamState) event(data []byte) error {
	if bytes.Equal(data, []byte("[DONE]")) {
		s.done = true
		return errDone
	}
	if err := s.checkID(data); err != nil {
		return err
	}
	chunk, err := parseChunk(data)
	if err != nil {
		return err
	}
	if chunk.Content != "" {
		s.tokens++
	}
	if chunk.FinishReason != "" {
		s.finished = true
	}
	if chunk.CompletionTokens >= 0 {
		s.reportedTokens = chunk.CompletionTokens
	}
	return s.callback(chunk)
}

// checkID compares the "id" member with that of the first chunk. All chunks of a
// completion have the same one.
func (s *streamState) checkID(data []byte) error {
	id := chunkID(data)
	if s.chunkID == nil {
		s.chunkID = append([]byte{}, id...)
		return nil
	}
	if !bytes.Equal(id, s.chunkID) {
		return errors.Wrapf(ErrForeignReply, "chunk %q in completion %q", id, s.chunkID)
	}
	return nil
}

// chunkID returns the "id" member of a chunk if it is the first member, otherwise an
// empty slice.
func chunkID(data []byte) []byte {
	const prefix = `{"id":"`
	if !bytes.HasPrefix(data, []byte(prefix)) {
		return []byte{}
	}
	rest := data[len(prefix):]
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return []byte{}
	}
	return rest[:end]
}

// result returns nil if the stream was complete. err is the error that ended the
// reading, nil at the end of the connection.
func (s *streamState) result(err error) error {
	switch {
	case s.done && s.finished && s.reportedTokens < 0:
		return errors.Wrap(ErrIncomplete, "the stream ended without the usage that was asked for")
	case s.done && s.finished && s.reportedTokens > s.tokens:
		return errors.Wrapf(ErrIncomplete, "%d of %d tokens arrived", s.tokens, s.reportedTokens)
	case s.done && s.finished:
		return nil
	case s.done:
		return errors.Wrap(ErrIncomplete, "the stream ended without a finish reason")
	case err == nil:
		return errors.Wrap(ErrIncomplete, "the connection ended before [DONE]")
	case errors.Is(err, ErrForeignReply) || errors.Is(err, ErrFailed):
		return err
	}
	return errors.Wrapf(ErrIncomplete, "%v", err)
}

// chunkJSON has the members of a chat.completion.chunk that are decoded.
type chunkJSON struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// parseChunk decodes the members of a chunk that the request path needs.
func parseChunk(data []byte) (Chunk, error) {
	var c chunkJSON
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, errors.Wrapf(ErrFailed, "malformed chunk: %v", err)
	}
	if len(c.Error) > 0 {
		return Chunk{}, errors.Wrapf(ErrFailed, "error event: %s", c.Error)
	}
	chunk := Chunk{Data: data, CompletionTokens: -1}
	if c.Usage != nil {
		chunk.CompletionTokens, chunk.PromptTokens = c.Usage.CompletionTokens, c.Usage.PromptTokens
	}
	if len(c.Choices) > 0 {
		chunk.Content = c.Choices[0].Delta.Content
		if c.Choices[0].FinishReason != nil {
			chunk.FinishReason = *c.Choices[0].FinishReason
		}
	}
	return chunk, nil
}

// ContentOf returns the text of a chunk, empty if the chunk is malformed.
func ContentOf(data []byte) string {
	chunk, err := parseChunk(data)
	if err != nil {
		return ""
	}
	return chunk.Content
}

// loadOf returns the load in the header of a reply.
func loadOf(resp *protocol.Response) Load {
	running, err := strconv.Atoi(resp.Header.Get("X-Load-Running"))
	waiting, _ := strconv.Atoi(resp.Header.Get("X-Load-Waiting"))
	cached, _ := strconv.Atoi(resp.Header.Get("X-Cached-Tokens"))
	return Load{
		Running: running, Waiting: waiting, CachedTokens: cached, Known: err == nil,
		Leaving: resp.Header.Get(upstreamhttp.HeaderRefused) == upstreamhttp.RefusedLeaving,
	}
}
