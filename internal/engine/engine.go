// Package engine is the client for model engines. Engine is the interface; OpenAI
// implements it for engines with the OpenAI-compatible API.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of calls to an engine. They are returned wrapped with details.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused means that the engine refused the request without executing it.
	ErrRefused = errors.New("engine refused the request")
	// ErrLeaving is the ErrRefused of an engine that is about to stop.
	ErrLeaving = errors.WithMessage(ErrRefused, "engine is leaving")
	// ErrRejected means that the request itself is invalid (4xx).
	ErrRejected = errors.New("engine rejected the request")
	// ErrFailed means that the engine could not be called or replied with a failure
	// or with invalid data.
	ErrFailed = errors.New("engine failed")
	// ErrIncomplete means that the stream ended before the completion was complete.
	ErrIncomplete = errors.New("stream ended early")
	// ErrForeignReply means that the reply, or a chunk of it, belongs to another
	// attempt.
	ErrForeignReply = errors.New("reply of another attempt")
)

// Call is one attempt to generate a completion.
type Call struct {
	Address   string // ip:port
	AttemptID string // sent as upstreamhttp.HeaderAttempt
	Body      []byte // JSON of a streaming chat completion request
	// FirstByteTimeout bounds the wait for the first event.
	FirstByteTimeout time.Duration
	// TokenTimeout bounds the gap between two events.
	TokenTimeout time.Duration
}

// Chunk is one event of a completion stream.
type Chunk struct {
	// Data is the JSON of a chat.completion.chunk. It is only valid during the
	// callback.
	Data []byte
	// FinishReason is set on the chunk that ends the completion.
	FinishReason string
	// Content is the text of the chunk.
	Content string
	// CompletionTokens is the number in the usage member, -1 if there is none.
	CompletionTokens int
	// PromptTokens is the number in the usage member, 0 if there is none.
	PromptTokens int
}

// Load is an engine's load, as stated in a reply or in its load report.
type Load struct {
	Running      int  // requests in execution
	Waiting      int  // requests in the queue
	CachedTokens int  // prompt tokens found in the KV cache; only in replies
	Leaving      bool // the engine is about to stop
	Known        bool // Running and Waiting are set
}

// ControlOrder is a declarative order to change what an engine has loaded. It states
// the desired state and can be repeated. Empty fields leave that part of the state
// unchanged. Set either Version or Model: an engine cancels a load in progress when it
// receives an order for another one.
type ControlOrder struct {
	// FencingToken orders the senders: an engine refuses an order whose token is lower
	// than the highest one that it has accepted.
	FencingToken int64
	Role         string
	Version      string
	Model        string
	Adapters     []string
}

// ControlState states what an engine has loaded and in which role it serves.
type ControlState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Loading  bool     `json:"loading"` // a load is in progress
}

// Engine is the client for model engines. Addresses are ip:port.
type Engine interface {
	// Stream runs a call and passes each chunk to f until the completion is
	// complete. An error of f, or the end of ctx, cancels the call on the engine.
	// onLoad is called with the load in the reply's header.
	Stream(ctx context.Context, call Call, onLoad func(Load), f func(Chunk) error) error
	// Load reads the engine's load report.
	Load(ctx context.Context, address string) (Load, error)
	// ExportKV returns the KV cache of an attempt.
	ExportKV(ctx context.Context, address, attemptID string) ([]byte, error)
	// ImportKV makes an exported KV cache available under attemptID.
	ImportKV(ctx context.Context, address, attemptID string, data []byte) error
	// Control sends a control order. ErrRefused means that the engine has accepted a
	// higher fencing token.
	Control(ctx context.Context, address string, order ControlOrder) error
	// ControlState reads the state that control orders change.
	ControlState(ctx context.Context, address string) (ControlState, error)
}
