// Package engine talks to model engines. Engine is the interface; OpenAI is
// the adapter for engines with the OpenAI-compatible API.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of an attempt. Each is returned wrapped with details.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused means that the engine refused the request without running it.
	ErrRefused = errors.New("engine refused the request")
	// ErrLeaving is an ErrRefused of an engine that is about to stop.
	ErrLeaving = errors.WithMessage(ErrRefused, "engine is leaving")
	// ErrRejected means that the request itself is invalid (4xx).
	ErrRejected = errors.New("engine rejected the request")
	// ErrFailed means that the engine answered with a failure.
	ErrFailed = errors.New("engine failed")
	// ErrIncomplete means that the stream ended before the answer was whole.
	ErrIncomplete = errors.New("stream ended early")
	// ErrForeign means that the reply belongs to another attempt.
	ErrForeign = errors.New("reply of another attempt")
)

// Call is one attempt to generate a completion.
type Call struct {
	Address   string // ip:port
	AttemptID string
	Body      []byte // JSON of a streaming chat completion request
	// FirstByteTimeout bounds the wait for the first event.
	FirstByteTimeout time.Duration
	// TokenTimeout bounds the gap between two events.
	TokenTimeout time.Duration
}

// Chunk is one event of a stream.
type Chunk struct {
	// Data is the JSON of a chat.completion.chunk; it is only valid during
	// the callback.
	Data []byte
	// FinishReason is set on the chunk that ends the answer.
	FinishReason string
	// Content is the text of the chunk.
	Content string
	// CompletionTokens is the count reported in the usage member, -1 if absent.
	CompletionTokens int
	// PromptTokens is reported together with CompletionTokens.
	PromptTokens int
}

// Load is an engine's load, from a reply or a report.
type Load struct {
	Running      int
	Waiting      int
	CachedTokens int // prompt tokens found in the cache; replies only
	Leaving      bool
	Known        bool
}

// Order is a declarative control order: it states the wanted end state and can
// be repeated. Empty fields leave things as they are. Set either Version or
// Model: an engine gives up a load when another one is ordered.
type Order struct {
	FencingToken int64
	Role         string
	Version      string
	Model        string
	Adapters     []string
}

// ControlState is what an engine has loaded.
type ControlState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Loading  bool     `json:"loading"`
}

// Engine is a model engine.
type Engine interface {
	// Stream runs a call and passes each chunk to f until the answer is
	// whole. An error of f, or the end of ctx, cancels the call on the engine.
	// The load is that of the reply's header.
	Stream(ctx context.Context, call Call, onLoad func(Load), f func(Chunk) error) error
	// Load reads the engine's load report.
	Load(ctx context.Context, address string) (Load, error)
	// ExportKV returns the KV cache of an attempt.
	ExportKV(ctx context.Context, address, attemptID string) ([]byte, error)
	// ImportKV makes an exported KV cache available under attemptID.
	ImportKV(ctx context.Context, address, attemptID string, data []byte) error
	// Control sends a control order. ErrRefused means that the fencing token
	// is outdated.
	Control(ctx context.Context, address string, order Order) error
	// ControlState reads what the engine has loaded.
	ControlState(ctx context.Context, address string) (ControlState, error)
}
